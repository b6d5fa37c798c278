#!/usr/bin/env bash
# A request inside the body of another one is run. TROUBLE=0: the same body with sound framing; writes record.txt.
cd "$(dirname "$0")/../../.." || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec python3 review/other/smuggled/case.py
