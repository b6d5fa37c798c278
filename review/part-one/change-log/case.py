"""Storms of changes to a large configuration, and the platform's limit for the memory of a process."""

import asyncio
import collections
import json
import pathlib
import sys
import time

sys.path.insert(0, str(next(p / "lib3" for p in pathlib.Path(__file__).resolve().parents if (p / "lib3").is_dir())))
from parts import (BROKEN, HELD, NOT_RUN, Node, Store, configuration, is_troubled, message, read_message, route,
                   run_case, server_entry, service)

MEMORY_MB = 160  # The smaller machines of the grown deployment.
VALUE_BYTES = 1048576  # The store's limit for an object.
BIG_CONFIGS, ROUTES_EACH = 6, 468
STORM_S, STORM_GAP_S, STORM_EVERY_S = 4.0, 0.33, 4.5
STORMS = 17
CLIENTS = 12
WORK_S = 1.0
MOST_LOST = 3
BOUNDS = {"drain_s": 4, "config_apply_s": 4, "grace_s": 6, "retry_budget_ratio": 0.2, "retry_budget_slack": 214,
          "ttl_max_s": 5}


def resident_bytes(process):
    for line in open(f"/proc/{process.pid}/status"):
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0


def large_configuration(version):
    routes = {"vendcharge": route("tillgate", "non_idempotent", "/charge/", 6, 1.0)}
    for number in range(BIG_CONFIGS * ROUTES_EACH):
        routes[f"r-{number:07x}"] = route("tillgate", "idempotent", f"/lepu{number:04d}/ny{number % 97}/", 2, 0.5,
                                          host=f"h{number % 50}.shop.example")
    return configuration(version, routes, {"tillgate": service()})


def with_other_timeout(spec, version, change):
    """A newer version in which one route has another time-out."""
    resources = list(spec["resources"])
    changed = resources[1 + change % ROUTES_EACH]
    resources[1 + change % ROUTES_EACH] = dict(changed, spec=dict(changed["spec"], timeout_s=2.5))
    return {"config_version": version, "resources": resources}


async def case(record, folder, nodes):
    store = Store()
    version = 3
    spec = large_configuration(version)
    size = len(json.dumps(spec))
    record(f"the configuration has {size} bytes, the store takes {VALUE_BYTES}")
    if size > VALUE_BYTES:
        return NOT_RUN
    store.write("config", "main", spec)
    running, answered = set(), set()

    async def serve(reader, writer):
        try:
            while request := await read_message(reader):
                attempt = request[1]["attempt-id"]
                running.add(attempt)
                await asyncio.sleep(WORK_S)
                running.discard(attempt)
                writer.write(message("HTTP/1.1 200 OK", {
                    "Attempt-Id": attempt, "Response-Seal": attempt, "Keep-Alive": "timeout=10"}, attempt.encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The process has closed the connection, or has ended.
        finally:
            writer.close()

    for number in range(4):
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        store.write("servers", f"i-{number:08x}",
                    server_entry(server.sockets[0].getsockname()[1], "tillgate", "merr-a", 6))
    node = Node("front-merr-a-1", "merr-a", {"merr-a": "merrimack"}, await store.listen(), folder, BOUNDS, MEMORY_MB)
    nodes.append(node)
    node.start()
    if not await node.wait_ready():
        return NOT_RUN
    ended = asyncio.Event()
    closed = []  # Attempts on kept connections that ended without an answer.

    async def client(number):
        reader, writer = await asyncio.open_connection("127.0.0.1", node.front)
        count = 0
        while not ended.is_set():
            count += 1
            attempt = f"{number:08x}{count:08x}"
            try:
                writer.write(message("POST /charge/7 HTTP/1.1", {
                    "Host": "shop.example", "Attempt-Id": attempt, "Deadline-Remaining": 6000}, b"x" * 2000))
                answer = await asyncio.wait_for(read_message(reader), 7)
            except (ConnectionError, asyncio.IncompleteReadError):
                answer = None
            if answer is None:
                closed.append((attempt, attempt in running, count))
                break
            answered.add(attempt)
            await asyncio.sleep(0.05)
        writer.close()

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(5)
    begin = time.monotonic()
    changes, peak = 0, 0

    def is_over():
        """Does what the platform does with a process that exceeds its limit."""
        nonlocal peak
        peak = max(peak, resident_bytes(node.process))
        if peak <= MEMORY_MB * 1024 * 1024:
            return False
        record(f"after {changes} changes the process holds {peak / 1024 / 1024:.0f} MB of {MEMORY_MB}; it is killed")
        node.process.kill()
        return True

    for storm in range(STORMS):
        storm_begin = begin + storm * STORM_EVERY_S
        is_killed = False
        while time.monotonic() < storm_begin + STORM_S and not is_killed:
            if is_troubled():
                changes += 1
                version += 2 + changes % 3
                spec = with_other_timeout(spec, version, changes)
                store.write("config", "main", spec)
            await asyncio.sleep(STORM_GAP_S)
            is_killed = is_over()
        if is_killed:
            break
        record(f"storm {storm + 1}: {changes} changes so far, {resident_bytes(node.process) / 1024 / 1024:.0f} MB")
        await asyncio.sleep(max(0, storm_begin + STORM_EVERY_S - time.monotonic()))
    ended.set()
    await asyncio.gather(*clients)
    lost = [attempt for attempt, was_running, count in closed if was_running and count > 1]
    record(f"{len(answered)} requests answered; {len(lost)} on kept connections closed without an answer while a sound "
           f"backend ran them: {lost}")
    record(f"peak {peak / 1024 / 1024:.0f} MB after {changes} changes")
    return BROKEN if len(lost) > MOST_LOST else HELD


run_case(__file__, case)
