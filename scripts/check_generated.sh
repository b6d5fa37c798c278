#!/usr/bin/env bash
# Checks that the committed Cap'n Proto code equals what `capnp compile` makes from each schema.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t schemas < <(git ls-files --cached --others --exclude-standard 'src/*.capnp')
[ "${#schemas[@]}" -gt 0 ]
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for schema in "${schemas[@]}"; do
    capnp compile -oc++:"$folder" --src-prefix="$(dirname "$schema")" "$schema"
    for suffix in h c++; do
        cmp "$folder/$(basename "$schema").$suffix" "$schema.$suffix" || {
            echo "$schema.$suffix differs from the output of capnp compile" >&2
            exit 1
        }
    done
done
echo "generated code: ${#schemas[@]} schemas match"
