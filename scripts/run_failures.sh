#!/usr/bin/env bash
# Runs callers against one example deployment of real processes while failures are injected in a seeded order, and checks
# the guarantees against the effects counted by the backend simulator.
#
# scripts/run_failures.sh [granite-ridge|inat] [SEED] [ROUNDS]
#
# FAILURES lists the kinds of failure to choose from, by default all. BIN is the folder of the programs, by default build/bin.
#
# Exit status 1: a guarantee was broken or a failure did not take effect; 2: the run could not start.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-granite-ridge}
seed=${2:-1}
rounds=${3:-6}
bundle=examples/$deployment/bundle.json
[ -f "$bundle" ] || { echo "there is no deployment '$deployment' under examples/" >&2; exit 2; }
scripts/install_packages.sh
[ -x build/bin/clementinefall-load ] || scripts/build.sh build >/dev/null
bin=${BIN:-build/bin}
source scripts/deployment.sh

round_seconds=5
RANDOM=$seed
entries=$(jq -r '[.entryInstances[].traffic] | join(",")' "$bundle")
"$bin/clementinefall-load" --scenario "$deployment" --entries "$entries" --duration $((round_seconds * rounds + 4)) \
    --rate 200 --seed "$seed" --backend_control "$backend_control" --output "${FAILURES_OUTPUT:-}" \
    >"$work/table.txt" 2>"$work/load.log" &
load_pid=$!
pids+=("$load_pid")
sleep 2

status=0
mapfile -t servers < <(jq -r '.services[].servers[].name' "$bundle")
random_instance() { echo "${instances[$((RANDOM % ${#instances[@]}))]}"; }
random_server() { echo "${FAILURES_SERVER:-${servers[$((RANDOM % ${#servers[@]}))]}}"; }
expect() { # expect WHAT COMMAND...: fails the run unless COMMAND confirms the injected failure
    local what=$1
    shift
    "$@" >/dev/null 2>&1 || { echo "the injected failure did not take effect: $what" >&2; status=1; }
}
post_backend_control() { curl -sf -m 5 -X POST "http://$backend_control$1" >/dev/null; }

kill_and_replace() {
    local name
    name=$(random_instance)
    echo "round $1: kill -9 $name, replaced at the same address after 1 s"
    kill -9 "${pid_of[$name]}"
    sleep 1
    expect "$name is dead" test -z "$(readlink "/proc/${pid_of[$name]}/exe" 2>/dev/null)"
    mv "$work/$name.log" "$work/$name.killed.$1.log"
    start_process "$name" "$bin/clementinefall-entry" --settings "$work/settings/$name.ini"
    wait_until 20 curl -sf -m 2 "http://$(address_of "$name" admin)/readyz"
}

pause_and_resume() {
    local name
    name=$(random_instance)
    echo "round $1: $name is paused for 3 s"
    kill -STOP "${pid_of[$name]}"
    sleep 3
    expect "$name is stopped" grep -q 'State:.*T' "/proc/${pid_of[$name]}/status"
    kill -CONT "${pid_of[$name]}"
}

platform_outage() {
    echo "round $1: the platform fails for 4 s"
    curl -sf -m 5 -X PUT -d '{"outageMs":4000}' "http://$platform/faults" >/dev/null
    expect "the platform fails" test "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$platform/instances")" = 000
}

crash_server() {
    local name
    name=$(random_server)
    echo "round $1: backend server $name crashes"
    post_backend_control "/servers/$name/crash?ms=2000"
    expect "$name crashed" jq -e --arg s "$name" '.. | objects | select(.server? == $s) | .crashes > 0' \
        <(curl -sf -m 5 "http://$backend_control/counters")
}

silence_server() {
    local name
    name=$(random_server)
    echo "round $1: backend server $name stops responding on its open connections"
    post_backend_control "/servers/$name/silence"
}

read -r -a failures <<<"${FAILURES:-kill_and_replace pause_and_resume platform_outage crash_server silence_server}"
for ((round = 1; round <= rounds; ++round)); do
    round_end=$((SECONDS + round_seconds))
    "${failures[$((RANDOM % ${#failures[@]}))]}" "$round" || status=1
    # A second failure in the same round.
    "${failures[$((RANDOM % ${#failures[@]}))]}" "$round" || status=1
    while [ "$SECONDS" -lt "$round_end" ]; do sleep 0.2; done
done

load_status=0
wait "$load_pid" || load_status=$?
cat "$work/table.txt"
if [ "$load_status" -ne 0 ]; then
    tail -n 5 "$work/load.log" >&2
    status=1
fi
result=pass
[ "$status" -eq 0 ] || result=fail
echo "RESULT failures $result seed=$seed rounds=$rounds"
exit "$status"
