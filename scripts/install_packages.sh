#!/usr/bin/env bash
# Installs the packages that the build, the tests and the checks need on Debian 12. Does nothing if all are installed.
set -euo pipefail

packages=(
    g++ clang cmake ninja-build ccache clang-format clang-tidy pkg-config git curl jq procps python3
    libboost1.81-dev libboost-json1.81-dev libcapnp-dev capnproto prometheus-cpp-dev libgflags-dev
    libfmt-dev catch2 librapidcheck-dev libxxhash-dev libssl-dev libsodium-dev libclang-rt-14-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
