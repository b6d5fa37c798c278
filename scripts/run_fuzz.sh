#!/usr/bin/env bash
# Builds the fuzzer with clang and runs it: scripts/run_fuzz.sh [--runs N | --seconds N] [--seed N]. Inputs that fail are left
# in build-fuzz/found; one is played again by giving its path to build-fuzz/bin/fuzz_sessions.
set -euo pipefail
cd "$(dirname "$0")/.."

limit=-runs=3000
seed=1
while [ $# -gt 0 ]; do
    case "$1" in
    --runs) limit=-runs=$2 ;;
    --seconds) limit=-max_total_time=$2 ;;
    --seed) seed=$2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
    esac
    shift 2
done

cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS=-O1 \
    -DCLEMENTINEFALL_FUZZ=ON -DCLEMENTINEFALL_WERROR=OFF >/dev/null
cmake --build build-fuzz --target fuzz_sessions
mkdir -p build-fuzz/found build-fuzz/corpus
build-fuzz/bin/fuzz_sessions -seed="$seed" "$limit" -max_len=3000 -dict=src/tools/fuzz/http.dict -print_final_stats=1 \
    -artifact_prefix=build-fuzz/found/ build-fuzz/corpus src/tools/fuzz/seeds
