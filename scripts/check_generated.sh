#!/usr/bin/env bash
# Checks that the committed Cap'n Proto code equals the output of `capnp compile` for each schema.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t schemas < <(git ls-files --cached --others --exclude-standard 'src/*.capnp')
[ "${#schemas[@]}" -gt 0 ]
output_folder=$(mktemp -d)
trap 'rm -rf "$output_folder"' EXIT
for schema in "${schemas[@]}"; do
    capnp compile -oc++:"$output_folder" --src-prefix="$(dirname "$schema")" "$schema"
    for suffix in h c++; do
        cmp "$output_folder/$(basename "$schema").$suffix" "$schema.$suffix" || {
            echo "$schema.$suffix differs from the output of capnp compile" >&2
            exit 1
        }
    done
done
echo "generated code: ${#schemas[@]} schemas match"
