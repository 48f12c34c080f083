#!/usr/bin/env bash
# Runs the stateful tests for a time with one seed after the other: Meta/fuzz.sh MINUTES SEED
# [FILTER]. FILTER is one of GoogleTest; CASES in the environment sets the sequences for each seed.
# Stops with 1 at the first failure, whose seed and shrunk steps it prints.
set -euo pipefail
cd "$(dirname "$0")/.."
if (($# < 2)); then
  echo "usage: Meta/fuzz.sh MINUTES SEED [FILTER]" >&2
  exit 2
fi
end=$((SECONDS + $1 * 60))
seed=$2
filter=${3:-*}
Meta/build.sh TestFuzz >/dev/null
while ((SECONDS < end)); do
  if ! output=$(WIGEONLIFT_FUZZ_SEED=$seed WIGEONLIFT_FUZZ_CASES=${CASES:-500} \
    build/Tests/Fuzz/TestFuzz --gtest_filter="$filter" 2>&1); then
    printf '%s\nseed %s failed\n' "$output" "$seed"
    exit 1
  fi
  seed=$((seed + 1))
done
echo "seeds $2 to $((seed - 1)) passed"
