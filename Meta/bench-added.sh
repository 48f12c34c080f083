#!/usr/bin/env bash
# Measures what an entry daemon adds to a call: Meta/bench-added.sh. Takes about 80 seconds; fails when the bar is missed.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh wigeonlift-entry wigeonlift-load wigeonlift-standin-platform wigeonlift-standin-upstream >&2
exec timeout --kill-after=20 240 python3 Meta/bench_added.py
