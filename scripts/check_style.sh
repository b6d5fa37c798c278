#!/usr/bin/env bash
# Checks the format of all sources except generated code and lints them:
# scripts/check_style.sh [build folder with compile_commands.json].
# Clean lint results are cached, keyed by a file's preprocessed text and the lint settings.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=${1:-build}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | grep -v 'capnp\.')
[ "${#sources[@]}" -gt 0 ]
clang-format --dry-run --Werror "${sources[@]}"
echo "format: ${#sources[@]} files are clean"

cache=${CLEMENTINEFALL_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/clementinefall-lint}
mkdir -p "$cache"
export folder cache

lint_file() {
    local file=$1 command key
    command=$(jq -r --arg f "$PWD/$file" '.[] | select(.file == $f) | .command' "$folder/compile_commands.json" | head -1)
    [ -n "$command" ] || { echo "$file: no entry in $folder/compile_commands.json"; return 1; }
    # Drops -o, -c and the compiler launcher: the key covers only the preprocessed text and the lint settings.
    key=$({ (cd "$folder" && eval "$(sed -E 's/^[^ ]*ccache //; s/ -o [^ ]+ -c / -E -P /' <<<"$command")"); cat .clang-tidy; } 2>/dev/null | sha256sum | cut -c1-40)
    [ -e "$cache/$key" ] && return 0
    clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$folder" "$file" >"$cache/$key.out" 2>/dev/null || { cat "$cache/$key.out"; return 1; }
    touch "$cache/$key"
    rm -f "$cache/$key.out"
}
export -f lint_file

printf '%s\n' "${sources[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -I{} bash -c 'lint_file {}'
echo "lint: clean"
