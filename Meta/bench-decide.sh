#!/usr/bin/env bash
# Measures time and allocations of a decision at 14, 300 and 3,000 upstreams: Meta/bench-decide.sh [FLAG...]
set -euo pipefail
cd "$(dirname "$0")/.."
CMAKE_BUILD_PARALLEL_LEVEL=${CMAKE_BUILD_PARALLEL_LEVEL:-4} Meta/build.sh wigeonlift-bench-decide >&2
exec build/Benchmarks/Decide/wigeonlift-bench-decide "$@"
