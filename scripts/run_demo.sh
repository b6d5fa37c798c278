#!/usr/bin/env bash
# Starts one example deployment on loopback, rolls out its bundle through the command line, runs callers for about
# 20 seconds while entry instances fail and servers drain, and prints one table per service.
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

source scripts/deployment.sh

entries=$(jq -r '[.entryInstances[].traffic] | join(",")' "$bundle")
"$bin/clementinefall-load" --scenario "$deployment" --entries "$entries" --duration 20 --rate "${DEMO_RATE:-200}" \
    --seed "${DEMO_SEED:-1}" --backend_control "$backend_control" --report "${DEMO_REPORT:-}" --output "${DEMO_OUTPUT:-}" >"$work/table.txt" \
    2>"$work/load.log" &
load_pid=$!
pids+=("$load_pid")

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
started_requests() { curl -sf -m 5 "http://$backend_control/counters" | jq --arg s "$1" '.. | objects | select(.server? == $s) | .started'; }
sleep 3
started_after_3s=$(started_requests "$server")

status=0
wait "$load_pid" || status=$?
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
wait_until 15 grep -q "event=stopped" "$work/${instances[5]}.log"
grep -h "event=stopped" "$work/${instances[5]}.log" || { echo "entry instance ${instances[5]} did not finish its graceful stop" >&2; status=1; }
started_at_end=$(started_requests "$server")
echo "requests started on $server more than 3 s after the drain: $((started_at_end - started_after_3s))"
[ "$started_at_end" = "$started_after_3s" ] || { echo "draining backend server $server received new requests" >&2; status=1; }
exit "$status"
