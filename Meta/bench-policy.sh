#!/usr/bin/env bash
# Measures the choice policies in virtual time: Meta/bench-policy.sh [FLAG...]
# Without flags it runs a bounded default set; flags such as --users, --scenarios, --loads, --policies, --seeds and
# --per_call (see --help) choose the runs. Prints a JSON object a line and a table at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
CMAKE_BUILD_PARALLEL_LEVEL=${CMAKE_BUILD_PARALLEL_LEVEL:-4} Meta/build.sh wigeonlift-bench-policy >&2
bench=build/Benchmarks/Policy/wigeonlift-bench-policy
processes=${BENCH_PROCESSES:-5}
lines=$(mktemp)
trap 'rm -f "$lines"' EXIT
if (($#)); then
  runs=("$*")
else
  runs=()
  for user in obiyama kapokki; do
    for load in 50 70 85 95 150; do
      runs+=("--users $user --scenarios steady --loads $load")
    done
    for scenario in burst straggler fast-failure drain cold-start lagging-reports noisy-neighbour cut-off; do
      runs+=("--users $user --scenarios $scenario --loads 70")
    done
  done
fi
# Each run is split by seed, so that the processes share the work.
seeds=(1 2 3 4 5)
[[ "$*" =~ --seeds[\ =]([0-9,]+) ]] && IFS=, read -ra seeds <<<"${BASH_REMATCH[1]}"
for run in "${runs[@]}"; do
  for seed in "${seeds[@]}"; do
    echo "$run --seeds $seed"
  done
done | xargs -P "$processes" -I{} sh -c "$bench {}" >"$lines"
sort "$lines"
python3 Benchmarks/Policy/summarize.py <"$lines" | (read -r header; echo "$header"; sort)
