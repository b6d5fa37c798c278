#!/usr/bin/env bash
# Starts one example deployment on loopback, rolls out its bundle through the command line, runs callers for about
# 20 seconds while entry instances fail and servers drain, and prints one table a service.
#
# scripts/run_demo.sh [granite-ridge|inat] [--lose-zone]
#   --lose-zone  kills every entry instance of one availability zone instead of a single one
#
# Exit status 1: a guarantee was broken; 2: the demo could not run.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-granite-ridge}
lose_zone=${2:-}
bundle=examples/$deployment/bundle.json
[ -f "$bundle" ] || { echo "there is no deployment '$deployment' under examples/" >&2; exit 2; }

scripts/install_packages.sh
scripts/build.sh build >/dev/null
bin=build/bin

work=$(mktemp -d)
pids=()
stop_all() {
    # Only processes that this script has started are ended.
    [ "${#pids[@]}" -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

platform=127.0.0.1:17000
backend_control=127.0.0.1:17001
read -r root_key bootstrap_digest < <(scripts/demo_keys.py "$bundle" "$work")
scripts/write_settings.py "$bundle" "$work/settings" "$platform" "$root_key" "$bootstrap_digest" \
    "$(printf %064x 20261204)"

declare -A pid_of
start() {
    local name=$1
    shift
    "$@" 2>"$work/$name.log" &
    pid_of[$name]=$!
    pids+=("$!")
}

echo "starting the platform simulator, the backend servers and the entry instances of $deployment"
start platform "$bin/clementinefall-platform" --listen "$platform"
start backend "$bin/clementinefall-backend" --bundle "$bundle" --control "$backend_control" --seed 1
mapfile -t instances < <(jq -r '.entryInstances[].name' "$bundle")
for instance in "${instances[@]}"; do
    start "$instance" "$bin/clementinefall-entry" --settings "$work/settings/$instance.ini"
done

address_of() { jq -r --arg n "$1" --arg p "$2" '.entryInstances[] | select(.name == $n) | .[$p]' "$bundle"; }
wait_until() { # wait_until SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || { echo "timed out: $*" >&2; tail -n 3 "$work"/*.log >&2; exit 2; }
        sleep 0.1
    done
}

jq '{entryInstances: [.entryInstances[] | {name, state: "live"}],
     backendServers: [.services[].servers[] | {name, state: "live"}]}' "$bundle" >"$work/instances.json"
admin=$(address_of "${instances[0]}" admin)
wait_until 20 curl -sf -m 2 "http://$admin/healthz"
curl -sf -m 5 -X PUT --data-binary "@$work/instances.json" "http://$platform/instances" >/dev/null

ctl() { # ctl OPERATOR ARGUMENTS...
    local operator=$1
    shift
    "$bin/clementinefall-ctl" --server="$admin" --token_file="$work/$operator.token" "$@"
}

echo "submitting, signing off and accepting the bundle"
"$bin/clementinefall-ctl" check "$bundle" >"$work/check.txt"
echo "the check found no errors and $(grep -c 'severity: warning' "$work/check.txt" || true) warnings"
ctl bootstrap submit "$bundle"
ctl bootstrap sign 1 --signer=ben --key_file="$work/ben.key"
ctl bootstrap accept 1
for instance in "${instances[@]}"; do
    wait_until 10 curl -sf -m 2 "http://$(address_of "$instance" admin)/readyz"
done
echo "version 1 is in force on ${#instances[@]} entry instances"

entries=$(jq -r '[.entryInstances[].traffic] | join(",")' "$bundle")
"$bin/clementinefall-load" --scenario "$deployment" --entries "$entries" --duration 20 --rate "${DEMO_RATE:-200}" \
    --seed "${DEMO_SEED:-1}" --backend_control "$backend_control" --report "${DEMO_REPORT:-}" >"$work/table.txt" \
    2>"$work/load.log" &
load=$!
pids+=("$load")

sleep 5
if [ "$lose_zone" = --lose-zone ]; then
    zone=$(jq -r '.zones[1].name' "$bundle")
    mapfile -t victims < <(jq -r --arg z "$zone" '.entryInstances[] | select(.zone == $z) | .name' "$bundle")
else
    victims=("${instances[2]}")
fi
for victim in "${victims[@]}"; do
    echo "killing entry instance $victim (SIGKILL)"
    kill -9 "${pid_of[$victim]}"
done
sleep 4
echo "stopping entry instance ${instances[5]} gracefully"
kill -TERM "${pid_of[${instances[5]}]}"
sleep 3
server=$(jq -r '.services[0].servers[0].name' "$bundle")
echo "draining backend server $server through the command line"
ctl eva drain backend-server "$server"
ctl ben sign 2 --key_file="$work/ben.key"
ctl eva accept 2
drained_at=$(date +%s%N)

status=0
wait "$load" || status=$?
cat "$work/table.txt"
if [ "$status" -eq 1 ]; then
    echo "a guarantee was broken" >&2
elif [ "$status" -ne 0 ]; then
    tail -n 5 "$work/load.log" >&2
    status=2
fi
version=$(curl -sf -m 5 "http://$(address_of "${instances[-1]}" admin)/readyz" | jq .bundleVersion)
echo "bundle version on ${instances[-1]}: $version"
[ "$version" = 2 ] || status=1
grep -h "event=stopped" "$work/${instances[5]}.log" || { echo "the graceful stop did not end" >&2; status=1; }
echo "seconds since the drain was accepted: $((($(date +%s%N) - drained_at) / 1000000000))"
curl -sf -m 5 "http://$backend_control/counters" | jq -c --arg s "$server" '.. | objects | select(.name? == $s)' || true
exit "$status"
