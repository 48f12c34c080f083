#!/usr/bin/env bash
# The stand-ins of the scripts in review/6 to review/10 are Python programs: those of review/common-2, and of the project's own the
# store in Meta/soak. There is nothing to compile; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; sys.path.insert(0, "review/common-2"); import fleet'
echo "stand-ins of review/6 to review/10 load"
