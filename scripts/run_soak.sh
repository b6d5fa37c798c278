#!/usr/bin/env bash
# Builds the entry instance and runs the fault soak: scripts/run_soak.sh [--seeds A-B] [--minutes N] [--plant FAULT].
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh build --log-level=ERROR >/dev/null
exec python3 platform/soak/soak.py "$@"
