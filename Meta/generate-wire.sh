#!/usr/bin/env bash
# Generates the committed protobuf code from the .proto files.
set -euo pipefail
cd "$(dirname "$0")/../Libraries"
for proto in LibWire/Peer.proto LibFleet/Fleet.proto; do
  (cd "${proto%/*}" && protoc --cpp_out=Generated "${proto##*/}")
done
