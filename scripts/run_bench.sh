#!/usr/bin/env bash
# Builds and runs one benchmark: scripts/run_bench.sh <name>. The last line of its output is
# `RESULT <name> pass|fail <figure>`. Exit status 0 for pass, 1 for fail, 2 for an unknown name.
# CLEMENTINEFALL_BUILD names the build folder, by default `build`.
set -euo pipefail
cd "$(dirname "$0")/.."

names="at-most-once membership bundle shift-cap headroom drain cold decision-cost capacity lookups"

usage() {
    echo "usage: scripts/run_bench.sh <name>" >&2
    echo "names: $names" >&2
    exit 2
}

[ $# -eq 1 ] || usage
name=$1
arguments=()
case "$name" in
at-most-once) target=bench_at_most_once ;;
membership) target=bench_membership ;;
bundle) target=bench_dissemination ;;
shift-cap | headroom | drain | cold | decision-cost) target=bench_steering arguments=("$name") ;;
capacity) target=bench_capacity arguments=(--page=docs/CAPACITY.md) ;;
lookups) target=bench_capacity arguments=(--lookups) ;;
*) usage ;;
esac

folder=${CLEMENTINEFALL_BUILD:-build}
program=$folder/bin/$target
if [ ! -x "$program" ]; then
    # Build output goes to standard error, so that standard output holds only the lines of the benchmark.
    scripts/build.sh "$folder" >&2 || { echo "RESULT $name fail build"; exit 1; }
fi
if [ ! -x "$program" ]; then
    echo "the build has no target $target" >&2
    echo "RESULT $name fail no-program"
    exit 1
fi

output=$(mktemp)
trap 'rm -f "$output"' EXIT
status=0
# Drops the program's result line, because the script prints its own below.
"$program" "${arguments[@]}" | tee "$output" | sed -u '/^RESULT /d' || status=$?
# The name in the program's result line is ignored: bench_dissemination reports bundle-spread instead of bundle.
result=$(tail -n 1 "$output" | sed -n -E 's/^RESULT [^ ]+ (pass|fail)( .*)?$/\1\2/p')
if [ -z "$result" ]; then
    echo "RESULT $name fail exit-status-$status"
    exit 1
fi
echo "RESULT $name $result"
[ "$status" -eq 0 ] && [ "${result%% *}" = pass ]
