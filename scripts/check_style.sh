#!/usr/bin/env bash
# Checks the format and lints all own sources: scripts/check_style.sh [build folder with compile_commands.json].
# The lint result of a file is kept, keyed by its preprocessed text and the lint settings.
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

lint_one() {
    local file=$1 command key
    command=$(jq -r --arg f "$PWD/$file" '.[] | select(.file == $f) | .command' "$folder/compile_commands.json" | head -1)
    [ -n "$command" ] || { echo "$file is in no target"; return 1; }
    # -o, -c and the launcher are dropped so that only the preprocessed text and the settings form the key.
    key=$({ (cd "$folder" && eval "$(sed -E 's/^[^ ]*ccache //; s/ -o [^ ]+ -c / -E -P /' <<<"$command")"); cat .clang-tidy; } 2>/dev/null | sha256sum | cut -c1-40)
    [ -e "$cache/$key" ] && return 0
    clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$folder" "$file" >"$cache/$key.out" 2>/dev/null || { cat "$cache/$key.out"; return 1; }
    touch "$cache/$key"
    rm -f "$cache/$key.out"
}
export -f lint_one

printf '%s\n' "${sources[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "lint: clean"
