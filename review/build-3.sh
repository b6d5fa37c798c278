#!/usr/bin/env bash
# The stand-ins of review/11 and later are Python scripts of review/common-3 and need no build. This checks that they
# can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "review/common-3"); import standins'
