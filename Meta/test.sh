#!/usr/bin/env bash
# Installs what is needed, builds, checks format and lint, and runs the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
Meta/build.sh
Meta/lint.sh
# Tests of known faults are listed in KNOWN-RED.txt, one line "test: NAME" each. All others must pass.
mapfile -t known_red < <(sed -n 's/^test: //p' KNOWN-RED.txt)
excluded=()
if ((${#known_red[@]})); then
  printf 'known red, not run: %s\n' "${known_red[@]}"
  excluded=(-E "^($(IFS='|'; echo "${known_red[*]//./[.]}"))\$")
fi
ctest --test-dir build --output-on-failure -j "$(nproc)" "${excluded[@]}"
