#!/usr/bin/env bash
# Runs one benchmark: Meta/bench.sh NAME [ARGUMENT...]
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-}
script=Meta/bench-$name.sh
if [[ ! -x $script ]]; then
  echo "usage: Meta/bench.sh NAME, where NAME is one of:" Meta/bench-*.sh >&2
  exit 2
fi
shift
exec "$script" "$@"
