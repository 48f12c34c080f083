#!/usr/bin/env bash
# Breaks a fleet in random ways and judges the histories: Meta/bench-faults.sh [--user USER] [SEED
# [NEW-FOLDER-FOR-LOGS]], with the user obiyama or kapokki. Takes about 90 seconds; fails when an invariant is violated.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh wigeonlift-entry wigeonlift-load wigeonlift-standin-platform wigeonlift-standin-upstream \
  wigeonlift-check >&2
exec timeout --kill-after=20 300 python3 Meta/bench_faults.py "$@"
