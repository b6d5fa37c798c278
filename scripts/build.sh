#!/usr/bin/env bash
# Configures and builds: scripts/build.sh [build folder] [cmake options...].
set -euo pipefail
cd "$(dirname "$0")/.."

build_folder=${1:-build}
shift || true
cmake -S . -B "$build_folder" -G Ninja "$@" >/dev/null
cmake --build "$build_folder"
