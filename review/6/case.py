"""One request crashes each backend that begins to run it, and its caller sends it again every second."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib3"))
from parts import (BROKEN, HELD, NOT_RUN, Node, Store, configuration, is_troubled, message, read_message, route,
                   run_case, send_heartbeats, server_entry, service)

STABLE_WINDOW_S = 4.0
MOST_RETRIES = 3  # Of the rule, later than STABLE_WINDOW_S after the third crash.
BACKENDS = 16
RESTART_S = 3.0  # From a crash until the backend is back, under a new id.
EXPIRY_S = 4.5  # From a crash until the platform removes the entry: three heartbeats.
COLD_S = 3.0
WORK_S = 0.64
REPEAT_S = 1.0  # From the end of an attempt of the crashing request to the next one.
LENGTH_S = 30.0
UPLOADERS = 12
BOUNDS = {"drain_s": 2.5, "config_apply_s": 2.5, "grace_s": 6, "retry_budget_ratio": 0.2, "retry_budget_slack": 64,
          "ttl_max_s": 5}


class Backend:
    def __init__(self, number, store, events):
        self.number, self.store, self.events = number, store, events
        self.incarnation, self.port, self.writers, self.running = 0, 0, set(), set()

    async def start(self, cold=0.0):
        self.incarnation += 1
        self.name = f"i-{self.number:04x}{self.incarnation:04x}"
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        entry, incarnation = server_entry(self.port, "shelfwatch", "kenn-b", 6, cold=cold), self.incarnation
        self.store.write("servers", self.name, entry)
        self.up = True
        asyncio.create_task(send_heartbeats(
            self.store, self.name, entry, lambda: self.up and self.incarnation == incarnation, cold))

    async def crash(self, attempt):
        self.events["crashes"].append((time.monotonic(), attempt))
        self.events["cut"] |= self.running
        self.events["record"](f"{self.name} begins to run {attempt} and crashes, with {sorted(self.running)}")
        self.up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.running.clear()
        name = self.name
        await asyncio.sleep(RESTART_S)
        await self.start(COLD_S)
        await asyncio.sleep(EXPIRY_S - RESTART_S)
        self.store.delete("servers", name)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                (_, target, _), fields, _ = request
                attempt = fields["attempt-id"]
                if fields.get("expect-instance") != self.name:
                    writer.write(message("HTTP/1.1 421 X", {"Attempt-Id": attempt, "Instance-Id": self.name}))
                    continue
                if target == "/look/crash" and is_troubled():
                    asyncio.create_task(self.crash(attempt))
                    return
                self.running.add(attempt)
                await asyncio.sleep(WORK_S)
                if attempt not in self.running:
                    return  # Lost in a crash.
                self.running.discard(attempt)
                writer.write(message("HTTP/1.1 200 OK", {
                    "Attempt-Id": attempt, "Response-Seal": f"{self.name}.{attempt}", "Keep-Alive": "timeout=10",
                    "Server-Load": f"{len(self.running)},0,6"}, attempt.encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The process has closed the connection.
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(node, method, path, attempt, body=b"", deadline_ms=3000):
    """The status of the answer, or what came instead."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", node.front), 1)
    except (OSError, asyncio.TimeoutError):
        return "no connection"
    try:
        writer.write(message(f"{method} {path} HTTP/1.1", {
            "Host": "shop.example", "Attempt-Id": attempt, "Deadline-Remaining": deadline_ms}, body))
        answer = await asyncio.wait_for(read_message(reader), deadline_ms / 1000)
        return answer[0][1] if answer else "closed"
    except (ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return "closed"
    finally:
        writer.close()


async def case(record, folder, nodes):
    store = Store()
    events = {"crashes": [], "cut": set(), "record": record}
    store.write("config", "main", configuration(3, {
        "stocklook": route("shelfwatch", "idempotent", "/look/", 2, 0.5),
        "auditpush": route("shelfwatch", "upload", "/audit/", 4, 0.6)}, {"shelfwatch": service()}))
    for number in range(BACKENDS):
        await Backend(number, store, events).start()
    node = Node("front-kenn-b-1", "kenn-b", {"kenn-b": "kennebec"}, await store.listen(), folder, BOUNDS)
    nodes.append(node)
    node.start()
    if not await node.wait_ready():
        return NOT_RUN
    await asyncio.sleep(STABLE_WINDOW_S + 1)  # From here on, the machine is in touch.
    end = time.monotonic() + LENGTH_S
    statuses = {}

    async def upload(number):
        count = 0
        while time.monotonic() < end:
            count += 1
            attempt = f"{number:08x}{count:08x}"
            statuses[attempt] = await call(node, "POST", f"/audit/{number}", attempt, b"x" * 2000, 4000)
            await asyncio.sleep(0.3)

    uploads = [asyncio.create_task(upload(number)) for number in range(UPLOADERS)]
    asked = collections.Counter()
    count = 0
    while time.monotonic() < end:
        count += 1
        attempt = f"ffffffff{count:08x}"
        status = await call(node, "GET", "/look/crash", attempt)
        asked[status] += 1
        record(f"caller of the crashing request: {attempt} {status}")
        await asyncio.sleep(REPEAT_S)
    await asyncio.gather(*uploads)
    record(f"answers to the crashing request: {dict(asked)}; to uploads: {dict(collections.Counter(statuses.values()))}")
    cut = {attempt: statuses.get(attempt) for attempt in events["cut"]}
    record(f"uploads that ran when their backend crashed, with the answer to their clients: {cut}")
    crashes = events["crashes"]
    if len(crashes) < 3:
        return HELD
    late = {attempt for at, attempt in crashes if at > crashes[2][0] + STABLE_WINDOW_S}
    record(f"{len(crashes)} crashes; {len(late)} retries reached backends later than {STABLE_WINDOW_S} s after the third "
           f"one, {MOST_RETRIES} are allowed")
    return BROKEN if len(late) > MOST_RETRIES else HELD


run_case(__file__, case)
