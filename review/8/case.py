"""A backend leaves while a process is restarted, and the store answers the pages of a stale list from two replicas. The
first charges after that come when the machine is in touch again."""

import asyncio
import collections
import hashlib
import pathlib
import resource
import signal
import sys
import time
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib3"))
from parts import (BROKEN, HELD, NOT_RUN, Node, Store, configuration, is_troubled, message, read_message, route,
                   run_case, send_heartbeats, server_entry, service)

DRAIN_S, STABLE_WINDOW_S = 4.0, 5.0
REPLICA_LAG_S = 3.0
OTHER_BACKENDS = 600  # Of another service; together they take two pages of a list.
SERVES_ON_S = 9.0  # For which the leaving backend serves on after its entry was removed.
CALLS_AGAIN_S = 7.5  # From the removal until charges come again; the machine is in touch by then.
RESTART_S = 1.0  # From the end of the process until the platform starts it again.
WORK_S = 2.08  # The mean of a charge in the large deployment.
BOUNDS = {"drain_s": DRAIN_S, "config_apply_s": 4, "grace_s": 10, "retry_budget_ratio": 0.2, "retry_budget_slack": 430,
          "ttl_max_s": 5}


class ReplicatedStore(Store):
    """Answers stale lists from two replicas in turn: one is up to date, one is REPLICA_LAG_S behind."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.copies = [(time.monotonic(), self.revision, {})]
        self.turns = collections.Counter()

    def notify(self):
        now = time.monotonic()
        self.copies.append((now, self.revision, {k: dict(o) for k, o in self.objects.items()}))
        while len(self.copies) > 2 and self.copies[1][0] < now - REPLICA_LAG_S - 1:
            self.copies.pop(0)
        super().notify()

    async def handle(self, port, line, fields, body):
        path, _, query = line[1].partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        kind = path.removeprefix("/v1/objects/")
        if line[0] != "GET" or "/" in kind or "watch" in parameters or parameters.get("allow_stale") != "1":
            return await super().handle(port, line, fields, body)
        self.turns[kind] += 1
        is_behind = self.turns[kind] % 2 == 0
        latest = time.monotonic() - (REPLICA_LAG_S if is_behind else 0)
        _, revision, objects = [copy for copy in self.copies if copy[0] <= latest or copy is self.copies[0]][-1]
        after = parameters.get("after", "")
        found = objects.get(kind, {})
        names = sorted(name for name in found if name > after)
        self.record(f"store: stale list of {kind} after '{after}' as of revision {revision} of {self.revision}")
        return 200, {"items": [found[name] for name in names[:500]], "more": len(names) > 500,
                     "store_revision": revision}


class Backend:
    def __init__(self, name, record):
        self.name, self.record, self.arrivals, self.writers, self.running = name, record, [], set(), set()
        self.is_leaving = False

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                _, fields, body = request
                attempt = fields["attempt-id"]
                if fields.get("expect-instance") != self.name:
                    writer.write(message("HTTP/1.1 421 X", {"Attempt-Id": attempt, "Instance-Id": self.name}))
                    continue
                self.arrivals.append((time.monotonic(), attempt))
                self.record(f"{self.name} runs {attempt}")
                self.running.add(attempt)
                await asyncio.sleep(WORK_S)
                self.running.discard(attempt)
                head = {"Attempt-Id": attempt, "Response-Seal": f"{self.name}.{attempt}", "Keep-Alive": "timeout=10"}
                if self.is_leaving:
                    head |= {"Server-Leaving": "1", "Connection": "close"}
                writer.write(message("HTTP/1.1 200 OK", head, hashlib.sha256(body).hexdigest().encode()))
                await writer.drain()
                if self.is_leaving:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The process has closed the connection.
        finally:
            self.writers.discard(writer)
            writer.close()

    def exit(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def charge(node, attempt, record):
    status = "no connection"
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", node.front), 1)
        status = "closed"
        writer.write(message("POST /charge/7 HTTP/1.1", {
            "Host": "shop.example", "Attempt-Id": attempt, "Deadline-Remaining": 10000}, attempt.encode() * 20))
        answer = await asyncio.wait_for(read_message(reader), 10)
        status = answer[0][1] if answer else "closed"
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass  # The process is being restarted.
    record(f"client: {attempt} {status}")
    return status


async def case(record, folder, nodes):
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, hard) if hard > 0 else 4096, hard))
    store = ReplicatedStore(record)
    store.write("config", "main", configuration(3, {
        "vendcharge": route("tillgate", "non_idempotent", "/charge/", 8, 1.5)}, {
        "tillgate": service(), "ledgerbin": service()}))

    async def ignore(reader, writer):
        await reader.read()
        writer.close()

    for number in range(OTHER_BACKENDS):
        server = await asyncio.start_server(ignore, "127.0.0.1", 0)
        name = "i-" + hashlib.sha256(b"%d" % number).hexdigest()[:8]
        entry = server_entry(server.sockets[0].getsockname()[1], "ledgerbin", "merr-a", 6)
        store.write("servers", name, entry)
        asyncio.create_task(send_heartbeats(store, name, entry, lambda: True))
    backends = [Backend(name, record) for name in ("i-10000000", "i-20000000", "i-fffffff0")]
    for backend in backends:
        entry = server_entry(await backend.listen(), "tillgate", "merr-a", 4)
        store.write("servers", backend.name, entry)
        asyncio.create_task(send_heartbeats(store, backend.name, entry, lambda of=backend: not of.is_leaving))
    leaving = backends[-1]
    node = Node("front-merr-a-1", "merr-a", {"merr-a": "merrimack"}, await store.listen(), folder, BOUNDS)
    nodes.append(node)
    await asyncio.sleep(REPLICA_LAG_S + 1)  # Both replicas know all backends.
    node.start()
    if not await node.wait_ready():
        return NOT_RUN
    sent, charges = {}, []

    async def send_until(condition, limit=30):
        """Sends a charge every 0.1 s until the condition holds."""
        deadline = time.monotonic() + limit
        while not condition() and time.monotonic() < deadline:
            attempt = f"{len(sent) + 1:016x}"
            sent[attempt] = time.monotonic()
            charges.append(asyncio.create_task(charge(node, attempt, record)))
            await asyncio.sleep(0.1)

    def after(seconds):
        end = time.monotonic() + seconds
        return lambda: time.monotonic() >= end

    await send_until(after(STABLE_WINDOW_S + 1))
    if is_troubled():
        record("SIGTERM")
        node.signal(signal.SIGTERM)
        await send_until(lambda: not node.is_running(), 12)
        if node.is_running():
            return NOT_RUN
    leaving.is_leaving = True
    store.delete("servers", leaving.name)
    removed_at = time.monotonic()
    record(f"the entry of {leaving.name} is removed, revision {store.revision}")
    await asyncio.sleep(RESTART_S)
    if is_troubled():
        record("the platform starts the process again")
        node.start()
        started_at = time.monotonic()
        if not await node.wait_ready():
            return NOT_RUN
        record(f"it is ready {time.monotonic() - started_at:.1f} s later")
    # In touch from STABLE_WINDOW_S after the start, with half a second to spare.
    in_touch_from = started_at + STABLE_WINDOW_S + 0.5 if is_troubled() else removed_at
    await asyncio.sleep(removed_at + CALLS_AGAIN_S - time.monotonic())
    await send_until(after(removed_at + SERVES_ON_S - time.monotonic()))
    cut = set(leaving.running)
    record(f"{leaving.name} exits, with {sorted(cut)}")
    leaving.exit()
    await send_until(after(2))
    await asyncio.gather(*charges)
    statuses = dict(zip(sent, (task.result() for task in charges)))
    record(f"answers: {dict(collections.Counter(statuses.values()))}; cut by the exit: { {a: statuses[a] for a in cut} }")
    late = [at - removed_at for at, attempt in leaving.arrivals
            if at > removed_at + DRAIN_S and sent[attempt] > in_touch_from]
    record(f"{len(late)} requests reached {leaving.name} later than {DRAIN_S} s after its entry was removed, sent by a "
           f"machine in touch, the last one after {max(late, default=0):.1f} s")
    return BROKEN if late else HELD


run_case(__file__, case)
