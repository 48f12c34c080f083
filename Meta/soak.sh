#!/usr/bin/env bash
# Builds the gateway and runs the fault soak with the seeds that are named, each for 20 s: six VMs, twelve of which some fall
# silent round changes, a store that is restored from older copies, planned stops beside callers that have much time,
# evacuations of data centres, and another writer who fills the store.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
Meta/build.sh wigeonlift-gateway
cd Meta
for seed in "${@:-1}"; do
  python3 -m soak --seed "$seed" --seconds 20
  python3 -m soak --seed "$seed" --seconds 20 --silence --vms 12
  python3 -m soak --seed "$seed" --seconds 20 --restores
  python3 -m soak --seed "$seed" --seconds 20 --patient
  python3 -m soak --seed "$seed" --seconds 20 --evacuate
  python3 -m soak --seed "$seed" --seconds 20 --flood
done
