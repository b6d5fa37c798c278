#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 runs it without the crashes.
here=$(cd "$(dirname "$0")" && pwd)
root=$here
while [ "$root" != / ] && [ ! -f "$root/deploy/system.toml" ]; do root=$(dirname "$root"); done
cd "$root" || exit 2
[ -x target/bin/clementinefall-node ] || { echo "target/bin/clementinefall-node is missing" >&2; exit 2; }
exec python3 "$here/crash_marks.py" "$root"
