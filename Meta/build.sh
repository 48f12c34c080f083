#!/usr/bin/env bash
# Configures and builds everything in build/, or only the targets that are named.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
rm -f build-configure.log
cmake --build build ${1:+--target "$@"}
