#!/usr/bin/env bash
# The stand-ins of the scripts in review/6 to review/10 are Python programs, with the standard library alone: nothing has
# to be built. This checks that they can be read. Run it in any folder, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib2/*.py lib3/*.py [0-9]*/case.py other-2/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
