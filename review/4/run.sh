#!/usr/bin/env bash
# A backend server that says in its answers that it leaves still gets work, which is lost. TROUBLE=0: the store serves every machine; writes record.txt.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec python3 review/4/case.py
