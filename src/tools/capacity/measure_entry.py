#!/usr/bin/env python3
"""Measures running entry instances: processor time and resident memory of each, idle in a fleet and with lookups.

Usage: measure_entry.py BIN_FOLDER INSTANCES [INSTANCES ...]   (at most 12, the instances of the example)

For each size it starts the platform simulator and so many entry instances of the Granite Ridge example, moved to
127.77.0.0/16, and rolls the bundle out through clementinefall-ctl. It then measures 10 s without callers and 5 s in
which one instance receives the lookups of the design scale (610,000 a second over 750 instances) over 16 connections.
Python's pace is limited, so `rate` is what was sent.
"""
import hashlib
import http.client
import json
import os
import pathlib
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


def example_bundle(instances):
    text = (ROOT / "examples" / "granite-ridge" / "bundle.json").read_text().replace("127.20.", "127.77.")
    bundle = json.loads(text)
    # Every zone needs an instance; those that are left out are taken from the end of the zones in turn.
    by_zone = {zone["name"]: [] for zone in bundle["zones"]}
    for entry in bundle["entryInstances"]:
        by_zone[entry["zone"]].append(entry)
    kept = []
    while len(kept) < instances and any(by_zone.values()):
        kept += [entries.pop(0) for entries in by_zone.values() if entries]
    bundle["entryInstances"] = kept[:instances]
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


def roll_out(folder, work, bundle):
    def ctl(*arguments):
        server = bundle["entryInstances"][0]["admin"]
        command = [folder / "clementinefall-ctl", f"--server={server}", f"--token_file={work}/bootstrap.token"]
        subprocess.run([*command, *arguments], check=True, stdout=subprocess.DEVNULL)

    ctl("submit", f"{work}/bundle.json")
    ctl("sign", "1", "--signer=ben", f"--key_file={work}/ben.key")
    ctl("accept", "1")
    for entry in bundle["entryInstances"]:
        wait_until(20, lambda: is_ready(entry["admin"]), f"{entry['name']} is ready")


def measure(folder, instances, work):
    bundle = example_bundle(instances)
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
            before = [usage(process)[0] for process in entries]
            time.sleep(IDLE_SECONDS)
            after = [usage(process) for process in entries]
            parts = sorted((now[0] - then) / IDLE_SECONDS for now, then in zip(after, before))
            print(
                f"entry instances={instances} idle_core_part_median={parts[len(parts) // 2]:.4f} "
                f"idle_core_part_most={parts[-1]:.4f} idle_rss_kb_most={max(now[1] for now in after)} "
                + measure_lookups(entries[0], bundle),
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
    for instances in sys.argv[2:]:
        with tempfile.TemporaryDirectory() as work:
            measure(pathlib.Path(sys.argv[1]), int(instances), pathlib.Path(work))


if __name__ == "__main__":
    main()
