#!/usr/bin/env bash
# Measures what listed upstreams and catalogue changes cost an entry daemon: Meta/bench-state.sh [SERVICES...]. Takes
# about five minutes, or less with only some numbers of services. WIGEONLIFT_FIRST_PORT sets the first port.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh wigeonlift-ctl wigeonlift-entry wigeonlift-standin-platform >&2
exec timeout --kill-after=20 540 python3 Meta/bench_state.py "$@"
