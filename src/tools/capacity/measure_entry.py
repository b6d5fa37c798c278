#!/usr/bin/env python3
"""Measures running entry instances: processor time, resident memory and RPC bytes, in an idle fleet and under lookup
load, and the calls that the platform receives while the fleet is idle and for one accepted change.

Usage: measure_entry.py BIN_FOLDER ZONE_SIZE [ZONE_SIZE ...]   (at most 20)

For each size it starts the platform simulator and the Granite Ridge example, moved to 127.77.0.0/16, with ZONE_SIZE
entry instances in the first zone and one in each of the five others, and rolls the bundle out with clementinefall-ctl.
It then measures 10 s without callers and 5 s in which one instance of the first zone receives the lookups of the design
scale (610,000 a second over 750 instances) over 16 connections. Python may not reach that rate, so `lookup_rate`
reports the rate that was sent.
"""
import hashlib
import http.client
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time

TARGET_RATE = 610_000 / 750
IDLE_SECONDS = 10
LOOKUP_SECONDS = 5
CONNECTIONS = 16
PLATFORM = "127.77.200.1:27000"
ROOT = pathlib.Path(__file__).parents[3]


def process_usage(process):
    """Returns the processor seconds used so far and the resident memory in KiB."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    resident = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), resident


def rpc_bytes_sent(process):
    """Returns the bytes sent on the open TCP connections of the peer port."""
    output = subprocess.run(["ss", "-tinpHO"], check=True, capture_output=True, text=True).stdout
    sockets = [line for line in output.splitlines() if f"pid={process.pid}," in line and ":20001" in line]
    return sum(int(match) for line in sockets for match in re.findall(r"bytes_sent:(\d+)", line))


def example_bundle(zone_size):
    text = (ROOT / "examples" / "granite-ridge" / "bundle.json").read_text().replace("127.20.", "127.77.")
    bundle = json.loads(text)
    first = {}
    for entry in bundle["entryInstances"]:
        first.setdefault(entry["zone"], entry)
    entries = list(first.values())
    for i in range(1, zone_size):
        addresses = {name: f"127.77.100.{i}:{20000 + k}" for k, name in enumerate(("traffic", "peer", "admin"))}
        entries.append({"name": f"extra-{i}", "zone": entries[0]["zone"], **addresses})
    bundle["entryInstances"] = entries
    return bundle


def is_ready(address):
    try:
        connection = http.client.HTTPConnection(address, timeout=2)
        connection.request("GET", "/readyz")
        return connection.getresponse().status == 200
    except OSError:
        return False


def wait_until(seconds, condition, description):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"timed out: {description}")
        time.sleep(0.1)


def send_lookups(address, path, results, index):
    connection = http.client.HTTPConnection(address, timeout=5)
    start = time.monotonic()
    sent = 0
    while time.monotonic() - start < LOOKUP_SECONDS:
        delay = start + sent * CONNECTIONS / TARGET_RATE - time.monotonic()
        if delay > 0:
            time.sleep(delay)
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
        if response.status != 200:
            raise RuntimeError(f"lookup failed: {response.status} {body[:200]!r}")
        sent += 1
        results[index] = (sent, len(body))


def measure_lookups(entry, bundle):
    address = bundle["entryInstances"][0]["traffic"]
    path = f"/v1/lookup?service={bundle['services'][0]['name']}&zone={bundle['zones'][0]['name']}"
    results = [(0, 0)] * CONNECTIONS
    threads = [
        threading.Thread(target=send_lookups, args=(address, path, results, i)) for i in range(CONNECTIONS)
    ]
    before = process_usage(entry)[0]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    after, resident = process_usage(entry)
    count = sum(sent for sent, _ in results)
    seconds_per_lookup = (after - before) / count
    return (
        f"lookup_rate={count / LOOKUP_SECONDS:.0f} cpu_us_per_lookup={seconds_per_lookup * 1e6:.0f} "
        f"lookup_core_part={seconds_per_lookup * TARGET_RATE:.4f} busy_rss_kb={resident} answer_bytes={results[0][1]}"
    )


def platform_counters():
    connection = http.client.HTTPConnection(PLATFORM, timeout=5)
    connection.request("GET", "/counters")
    counters = json.loads(connection.getresponse().read())
    return {name: counters.get(name, 0) for name in ("reads", "writes", "lists", "watches", "instanceLists")}


def counter_difference(after, before):
    return ",".join(f"{name}:{after[name] - before[name]}" for name in after)


def run_ctl(bin_dir, work_dir, bundle, operator, *arguments):
    server = bundle["entryInstances"][0]["admin"]
    command = [bin_dir / "clementinefall-ctl", f"--server={server}", f"--token_file={work_dir}/{operator}.token"]
    subprocess.run([*command, *arguments], check=True, stdout=subprocess.DEVNULL)


def measure_change(bin_dir, work_dir, bundle):
    """Submits, signs and accepts one drain. The reported calls include those of its adoption and repeated watches."""
    before = platform_counters()
    run_ctl(bin_dir, work_dir, bundle, "eva", "drain", "backend-server", bundle["services"][0]["servers"][0]["name"])
    run_ctl(bin_dir, work_dir, bundle, "ben", "sign", "2", f"--key_file={work_dir}/ben.key")
    run_ctl(bin_dir, work_dir, bundle, "eva", "accept", "2")
    time.sleep(5)
    return f"change_calls={counter_difference(platform_counters(), before)}"


def roll_out(bin_dir, work_dir, bundle):
    run_ctl(bin_dir, work_dir, bundle, "bootstrap", "submit", f"{work_dir}/bundle.json")
    run_ctl(bin_dir, work_dir, bundle, "bootstrap", "sign", "1", "--signer=ben", f"--key_file={work_dir}/ben.key")
    run_ctl(bin_dir, work_dir, bundle, "bootstrap", "accept", "1")
    for entry in bundle["entryInstances"]:
        wait_until(20, lambda: is_ready(entry["admin"]), f"{entry['name']} is ready")


def measure(bin_dir, zone_size, work_dir):
    bundle = example_bundle(zone_size)
    (work_dir / "bundle.json").write_text(json.dumps(bundle))
    keys = subprocess.run(
        [ROOT / "scripts" / "demo_keys.py", work_dir / "bundle.json", work_dir],
        check=True,
        capture_output=True,
        text=True,
    ).stdout.split()
    key = hashlib.blake2b(b"measure", digest_size=32).hexdigest()
    subprocess.run(
        [ROOT / "scripts" / "write_settings.py", work_dir / "bundle.json", work_dir / "settings", PLATFORM, *keys, key],
        check=True,
    )
    processes = []
    with open(work_dir / "log", "w") as log:
        try:
            processes.append(
                subprocess.Popen([bin_dir / "clementinefall-platform", f"--listen={PLATFORM}"], stderr=log)
            )
            for entry in bundle["entryInstances"]:
                settings = work_dir / "settings" / f"{entry['name']}.ini"
                processes.append(
                    subprocess.Popen([bin_dir / "clementinefall-entry", f"--settings={settings}"], stderr=log)
                )
            time.sleep(3)
            roll_out(bin_dir, work_dir, bundle)
            time.sleep(3)
            entries = processes[1:]
            sent = rpc_bytes_sent(entries[0])
            calls = platform_counters()
            before = [process_usage(process)[0] for process in entries]
            time.sleep(IDLE_SECONDS)
            after = [process_usage(process) for process in entries]
            idle_calls = counter_difference(platform_counters(), calls)
            sent = rpc_bytes_sent(entries[0]) - sent
            core_shares = sorted((current[0] - previous) / IDLE_SECONDS for current, previous in zip(after, before))
            print(
                f"entry zone_size={zone_size} instances={len(entries)} "
                f"idle_core_part_median={core_shares[len(core_shares) // 2]:.4f} "
                f"idle_core_part_most={core_shares[-1]:.4f} idle_rss_kb_most={max(current[1] for current in after)} "
                f"rpc_bytes_per_s={sent / IDLE_SECONDS:.0f} "
                + measure_lookups(entries[0], bundle)
                + f" idle_calls={idle_calls} "
                + measure_change(bin_dir, work_dir, bundle),
                flush=True,
            )
        except (RuntimeError, subprocess.CalledProcessError) as error:
            log.flush()
            sys.exit(f"{error}\n" + (work_dir / "log").read_text()[-2000:])
        finally:
            for process in reversed(processes):
                process.send_signal(signal.SIGTERM)
            for process in reversed(processes):
                try:
                    process.wait(timeout=15)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()


def main():
    for zone_size in sys.argv[2:]:
        with tempfile.TemporaryDirectory() as work_dir:
            measure(pathlib.Path(sys.argv[1]), int(zone_size), pathlib.Path(work_dir))


if __name__ == "__main__":
    main()
