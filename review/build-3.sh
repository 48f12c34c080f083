#!/usr/bin/env bash
# The scripts of review/11 to review/15 start the command of the deploy file and stand-ins in Python's standard library, those
# of Meta/soak among them, which need no build. Checks that they are there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'P'
import ast, glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for name in ["Meta/soak/store.py", "Meta/soak/wire.py", *glob.glob("review/common-3/*.py"), *glob.glob("review/standins/*.py"), *glob.glob("review/1[1-5]/*.py")]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
P
