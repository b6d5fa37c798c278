# Starts one example deployment on loopback and rolls out its first bundle. Sourced by run_demo.sh and run_failures.sh, which
# set `bundle` (path of the bundle) and `bin` (folder of the programs) first.

work=$(mktemp -d)
pids=()
clean_up() {
    # Kills only processes that this script started.
    [ "${#pids[@]}" -eq 0 ] || kill -9 "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap clean_up EXIT

platform=127.0.0.1:17000
backend_control=127.0.0.1:17001
read -r root_key bootstrap_digest < <(scripts/demo_keys.py "$bundle" "$work")
scripts/write_settings.py "$bundle" "$work/settings" "$platform" "$root_key" "$bootstrap_digest" \
    "$(printf %064x 20261204)" "${TRACE_TARGET:-}"

declare -A pid_of
start_process() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pid_of[$name]=$!
    pids+=("$!")
}

start_process platform "$bin/clementinefall-platform" --listen "$platform"
start_process backend "$bin/clementinefall-backend" --bundle "$bundle" --control "$backend_control" --seed 1
mapfile -t instances < <(jq -r '.entryInstances[].name' "$bundle")
for instance in "${instances[@]}"; do
    start_process "$instance" "$bin/clementinefall-entry" --settings "$work/settings/$instance.ini"
done

address_of() { jq -r --arg n "$1" --arg p "$2" '.entryInstances[] | select(.name == $n) | .[$p]' "$bundle"; }
wait_until() { # wait_until SECONDS COMMAND...
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$deadline" ] || { echo "timed out: $*" >&2; tail -n 3 "$work"/*.log >&2; exit 2; }
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
echo "bundle check: no errors, $(grep -c 'severity: warning' "$work/check.txt" || true) warnings"
ctl bootstrap submit "$bundle" >"$work/submit.txt"
ctl bootstrap sign 1 --signer=ben --key_file="$work/ben.key"
ctl bootstrap accept 1
for instance in "${instances[@]}"; do
    wait_until 10 curl -sf -m 2 "http://$(address_of "$instance" admin)/readyz"
done
echo "version 1 is in force on ${#instances[@]} entry instances"

