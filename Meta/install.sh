#!/usr/bin/env bash
# Installs the packages that the build and the tests need, if any is missing.
set -euo pipefail
packages=(g++ cmake ninja-build clang clang-format clang-tidy pkg-config python3
  libboost1.81-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler libyaml-cpp-dev
  libgflags-dev liblog4cxx-dev libabsl-dev librapidcheck-dev libxxhash-dev libgtest-dev
  libsodium-dev libfmt-dev libtomlplusplus-dev zlib1g-dev ccache)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if ((${#missing[@]})); then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
fi
