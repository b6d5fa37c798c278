#!/usr/bin/env bash
# A request whose body is still arriving when a stop closes its connection is run and never answered. TROUBLE=0: no SIGTERM; writes record.txt.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec python3 review/2/case.py
