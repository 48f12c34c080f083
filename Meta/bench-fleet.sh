#!/usr/bin/env bash
# Measures fleets of real processes on loopback: Meta/bench-fleet.sh [--steady_s S] [--pause_s S] [VMS...], by default
# 3 and 16 entry daemons. Each size takes about two minutes. Prints one JSON object a line; `missed` names the bars that
# were missed, and the exit status is 1 when there are any. Bytes are those of peers and platform without TCP and IP
# headers; the processor time is that of the control thread and of ZeroMQ's.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh wigeonlift-entry wigeonlift-standin-platform wigeonlift-standin-upstream >&2
exec python3 Meta/bench_fleet.py "$@"
