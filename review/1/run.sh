#!/usr/bin/env bash
# One spoiled answer of a backend server ends the entry process. TROUBLE=0: no spoiled answer; writes record.txt.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec python3 review/1/case.py
