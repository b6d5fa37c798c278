#!/usr/bin/env python3
"""Measures running entry instances: processor time, resident memory and RPC bytes of each, idle in a fleet and with
lookups, and the calls that the platform receives while the fleet is idle and for one accepted change.

Usage: measure_entry.py BIN_FOLDER ZONE_SIZE [ZONE_SIZE ...]   (at most 20)

For each size it starts the platform simulator and the Granite Ridge example, moved to 127.77.0.0/16, with ZONE_SIZE
entry instances in the first zone and one in each of the five others, and rolls the bundle out through clementinefall-ctl.
It then measures 10 s without callers and 5 s in which one instance of the first zone receives the lookups of the design
scale (610,000 a second over 750 instances) over 16 connections. Python's pace is limited, so `rate` is what was sent.
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


def usage(process):
    """Processor seconds used so far and resident KiB."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    resident = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), resident


def rpc_bytes_sent(process):
    """Bytes sent on the TCP connections of the peer port that are open now."""
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


def wait_until(seconds, condition, what):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise RuntimeError(f"timed out: {what}")
        time.sleep(0.1)


def send_lookups(address, path, results, index):
    connection = http.client.HTTPConnection(address, timeout=5)
    start = time.monotonic()
    sent = 0
    while time.monotonic() - start < LOOKUP_SECONDS:
        due = start + sent * CONNECTIONS / TARGET_RATE - time.monotonic()
        if due > 0:
            time.sleep(due)
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
    before = usage(entry)[0]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    after, resident = usage(entry)
    count = sum(sent for sent, _ in results)
    cost = (after - before) / count
    return (
        f"lookup_rate={count / LOOKUP_SECONDS:.0f} cpu_us_per_lookup={cost * 1e6:.0f} "
        f"lookup_core_part={cost * TARGET_RATE:.4f} busy_rss_kb={resident} answer_bytes={results[0][1]}"
    )


def platform_counters():
    connection = http.client.HTTPConnection(PLATFORM, timeout=5)
    connection.request("GET", "/counters")
    counters = json.loads(connection.getresponse().read())
    return {name: counters.get(name, 0) for name in ("reads", "writes", "lists", "watches", "instanceLists")}


def difference(after, before):
    return ",".join(f"{name}:{after[name] - before[name]}" for name in after)


def run_ctl(folder, work, bundle, operator, *arguments):
    server = bundle["entryInstances"][0]["admin"]
    command = [folder / "clementinefall-ctl", f"--server={server}", f"--token_file={work}/{operator}.token"]
    subprocess.run([*command, *arguments], check=True, stdout=subprocess.DEVNULL)


def measure_change(folder, work, bundle):
    """One drain, submitted, signed and accepted; the calls include those of its adoption and repeated watches."""
    before = platform_counters()
    run_ctl(folder, work, bundle, "eva", "drain", "backend-server", bundle["services"][0]["servers"][0]["name"])
    run_ctl(folder, work, bundle, "ben", "sign", "2", f"--key_file={work}/ben.key")
    run_ctl(folder, work, bundle, "eva", "accept", "2")
    time.sleep(5)
    return f"change_calls={difference(platform_counters(), before)}"


def roll_out(folder, work, bundle):
    run_ctl(folder, work, bundle, "bootstrap", "submit", f"{work}/bundle.json")
    run_ctl(folder, work, bundle, "bootstrap", "sign", "1", "--signer=ben", f"--key_file={work}/ben.key")
    run_ctl(folder, work, bundle, "bootstrap", "accept", "1")
    for entry in bundle["entryInstances"]:
        wait_until(20, lambda: is_ready(entry["admin"]), f"{entry['name']} is ready")


def measure(folder, zone_size, work):
    bundle = example_bundle(zone_size)
    (work / "bundle.json").write_text(json.dumps(bundle))
    keys = subprocess.run(
        [ROOT / "scripts" / "demo_keys.py", work / "bundle.json", work], check=True, capture_output=True, text=True
    ).stdout.split()
    key = hashlib.blake2b(b"measure", digest_size=32).hexdigest()
    subprocess.run(
        [ROOT / "scripts" / "write_settings.py", work / "bundle.json", work / "settings", PLATFORM, *keys, key],
        check=True,
    )
    processes = []
    with open(work / "log", "w") as log:
        try:
            processes.append(
                subprocess.Popen([folder / "clementinefall-platform", f"--listen={PLATFORM}"], stderr=log)
            )
            for entry in bundle["entryInstances"]:
                settings = work / "settings" / f"{entry['name']}.ini"
                processes.append(
                    subprocess.Popen([folder / "clementinefall-entry", f"--settings={settings}"], stderr=log)
                )
            time.sleep(3)
            roll_out(folder, work, bundle)
            time.sleep(3)
            entries = processes[1:]
            sent = rpc_bytes_sent(entries[0])
            calls = platform_counters()
            before = [usage(process)[0] for process in entries]
            time.sleep(IDLE_SECONDS)
            after = [usage(process) for process in entries]
            idle_calls = difference(platform_counters(), calls)
            sent = rpc_bytes_sent(entries[0]) - sent
            parts = sorted((now[0] - then) / IDLE_SECONDS for now, then in zip(after, before))
            print(
                f"entry zone_size={zone_size} instances={len(entries)} idle_core_part_median={parts[len(parts) // 2]:.4f} "
                f"idle_core_part_most={parts[-1]:.4f} idle_rss_kb_most={max(now[1] for now in after)} "
                f"rpc_bytes_per_s={sent / IDLE_SECONDS:.0f} "
                + measure_lookups(entries[0], bundle)
                + f" idle_calls={idle_calls} "
                + measure_change(folder, work, bundle),
                flush=True,
            )
        except (RuntimeError, subprocess.CalledProcessError) as error:
            log.flush()
            sys.exit(f"{error}\n" + (work / "log").read_text()[-2000:])
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
        with tempfile.TemporaryDirectory() as work:
            measure(pathlib.Path(sys.argv[1]), int(zone_size), pathlib.Path(work))


if __name__ == "__main__":
    main()
