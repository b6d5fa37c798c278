"""A machine that reaches no backend passes its requests on to one that still has an older configuration."""

import asyncio
import copy
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib3"))
from parts import (BROKEN, HELD, NOT_RUN, Node, Store, configuration, is_troubled, message, read_message, route,
                   run_case, server_entry, service)

ROLLBACK_SLACK_S, STABLE_WINDOW_S = 0.25, 4.0
BOUNDS = {"drain_s": 2.5, "config_apply_s": 2.5, "grace_s": 6, "retry_budget_ratio": 0.2, "retry_budget_slack": 64,
          "ttl_max_s": 5}


class Link:
    """Carries connections to a backend, until it is cut."""

    def __init__(self, target):
        self.target, self.writers = target, set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.pump(reader, target_writer), self.pump(target_reader, writer))

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass  # Cut, or closed by the other side.
        writer.close()

    def cut(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class LinkedStore(Store):
    """Names links in place of the backends' own addresses to the process at `port`."""

    def __init__(self):
        super().__init__()
        self.port, self.links = None, {}

    async def handle(self, port, line, fields, body):
        status, document = await super().handle(port, line, fields, body)
        if port != self.port or "/servers" not in line[1] or status != 200:
            return status, document
        document = copy.deepcopy(document)
        for entry in document.get("items", []) + [event["object"] for event in document.get("events", [])]:
            target = int(entry["spec"]["address"].split(":")[1])
            if target not in self.links:
                link = Link(target)
                self.links[target] = (link, await link.listen())
            entry["spec"]["address"] = f"127.0.0.1:{self.links[target][1]}"
        return status, document


def version(number, target):
    return configuration(number, {"look": route(target, "idempotent", "/look/", 2, 0.5)},
                         {"old": service(), "new": service()})


async def case(record, folder, nodes):
    store = LinkedStore()
    store.write("config", "main", version(3, "old"))
    ran = {}  # Services by attempt.

    async def serve(reader, writer, name):
        try:
            while request := await read_message(reader):
                attempt = request[1]["attempt-id"]
                ran.setdefault(attempt, []).append(name)
                await asyncio.sleep(0.05)
                writer.write(message("HTTP/1.1 200 OK", {
                    "Attempt-Id": attempt, "Response-Seal": attempt, "Keep-Alive": "timeout=10"}, name.encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The process has closed the connection.
        finally:
            writer.close()

    for name in ("old", "new"):
        for number in range(3):
            server = await asyncio.start_server(lambda r, w, n=name: serve(r, w, n), "127.0.0.1", 0)
            store.write("servers", f"i-{name}{number}",
                        server_entry(server.sockets[0].getsockname()[1], name, "merr-a", 6))
    ports = [await store.listen(), await store.listen()]
    store.port = ports[0]
    first, second = (Node(f"front-merr-a-{number + 1}", "merr-a", {"merr-a": "merrimack"}, ports[number], folder, BOUNDS)
                     for number in range(2))
    nodes.extend((first, second))
    for node in nodes:
        node.start()
    for node in nodes:
        if not await node.wait_ready():
            return NOT_RUN
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    if is_troubled():
        record("the store is silent to the second machine")
        store.set_mode(ports[1], "silent")
        await asyncio.sleep(0.5)
    store.write("config", "main", version(5, "new"))
    record("version 5 is acknowledged")
    sent = {}

    async def look():
        attempt = f"{len(sent) + 1:016x}"
        sent[attempt] = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", first.front)
            writer.write(message("GET /look/7 HTTP/1.1", {
                "Host": "shop.example", "Attempt-Id": attempt, "Deadline-Remaining": 3000}))
            answer = await asyncio.wait_for(read_message(reader), 4)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer = None
        record(f"client: {attempt} to the first machine {answer[0][1] if answer else 'closed'}, ran on {ran.get(attempt)}")

    for _ in range(20):
        await look()
        await asyncio.sleep(0.1)
    if is_troubled():
        record("the first machine reaches no backend")
        for link, _ in store.links.values():
            link.cut()
    looks = []
    for _ in range(40):
        looks.append(asyncio.create_task(look()))
        await asyncio.sleep(0.1)
    await asyncio.gather(*looks)
    seen = [sent[attempt] for attempt, services in ran.items() if "new" in services]
    older = [attempt for attempt, services in ran.items()
             if "old" in services and seen and sent[attempt] > min(seen) + ROLLBACK_SLACK_S]
    record(f"{len(seen)} requests ran by version 5, {len(older)} later ones by version 3")
    return BROKEN if older else HELD


run_case(__file__, case)
