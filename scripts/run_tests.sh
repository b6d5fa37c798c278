#!/usr/bin/env bash
# Installs missing packages, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_packages.sh
scripts/build.sh build
ctest --test-dir build --output-on-failure -j 4
