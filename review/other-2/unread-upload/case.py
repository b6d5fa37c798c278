"""A SIGTERM while backends work on large uploads, of which they read the rest near the end of their work."""

import asyncio
import hashlib
import pathlib
import signal
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib3"))
from parts import (BROKEN, HELD, NOT_RUN, Node, Store, configuration, is_troubled, message, read_message, route,
                   run_case, server_entry, service)

GRACE_S = 10.0
BODY_BYTES = 360000  # The largest upload of the large deployment.
FIRST_BYTES = 16384  # Read when the work begins.
WORK_S = 4.5  # Below the longest work of an upload there, 5.76 s.
RECEIVE_BUFFER_BYTES = 65536
UPLOADS = 6
SIGTERM_AFTER_S = 0.5  # After the uploads were sent.
BOUNDS = {"drain_s": 4, "config_apply_s": 4, "grace_s": GRACE_S, "retry_budget_ratio": 0.2, "retry_budget_slack": 430,
          "ttl_max_s": 5}


class Backend:
    def __init__(self, name, record):
        self.name, self.record, self.began, self.ended = name, record, {}, {}

    async def listen(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(self.serve, sock=listener, limit=FIRST_BYTES)
        return listener.getsockname()[1] if server else 0

    async def serve(self, reader, writer):
        attempt = None
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")[1:-2]
                fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head)}
                attempt, length = fields["attempt-id"], int(fields["content-length"])
                self.began[attempt] = time.monotonic()
                self.record(f"{self.name} begins to work on {attempt}")
                body = await reader.readexactly(FIRST_BYTES)
                await asyncio.sleep(WORK_S)
                body += await reader.readexactly(length - FIRST_BYTES)
                self.ended[attempt] = time.monotonic()
                self.record(f"{self.name} has {attempt} whole and answers")
                writer.write(message("HTTP/1.1 200 OK", {"Attempt-Id": attempt, "Response-Seal": attempt},
                                     hashlib.sha256(body).hexdigest().encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            if attempt and attempt not in self.ended:
                self.record(f"{self.name}: the connection ends during its work on {attempt}: {error!r}")
        finally:
            writer.close()


async def upload(node, attempt, record):
    body = attempt.encode() * (BODY_BYTES // len(attempt))
    reader, writer = await asyncio.open_connection("127.0.0.1", node.front)
    writer.write(message("POST /audit/7 HTTP/1.1", {
        "Host": "shop.example", "Attempt-Id": attempt, "Deadline-Remaining": 10000}, body))
    await writer.drain()
    sent_at = time.monotonic()
    try:
        answer = await asyncio.wait_for(read_message(reader), 11)
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        answer = None
    writer.close()
    status = answer[0][1] if answer else "closed"
    is_whole = status == "200" and answer[2] == hashlib.sha256(body).hexdigest().encode()
    record(f"client: {attempt} {status} after {time.monotonic() - sent_at:.1f} s "
           f"{answer[2][:120] if answer and not is_whole else ''}")
    return time.monotonic(), is_whole


async def case(record, folder, nodes):
    store = Store()
    store.write("config", "main", configuration(3, {
        "auditpush": route("ledgerbin", "upload", "/audit/", 9, 1.2)}, {"ledgerbin": service()}))
    backends = [Backend(f"i-{number:08x}", record) for number in range(3)]
    for backend in backends:
        store.write("servers", backend.name, server_entry(await backend.listen(), "ledgerbin", "merr-a", 6))
    node = Node("front-merr-a-1", "merr-a", {"merr-a": "merrimack"}, await store.listen(), folder, BOUNDS)
    nodes.append(node)
    node.start()
    if not await node.wait_ready():
        return NOT_RUN
    await asyncio.sleep(6)  # The machine has been in touch for longer than stable_window_s.
    attempts = [f"{number:016x}" for number in range(UPLOADS)]
    uploads = [asyncio.create_task(upload(node, attempt, record)) for attempt in attempts]
    await asyncio.sleep(SIGTERM_AFTER_S)
    stopped_at = time.monotonic()
    if is_troubled():
        record("SIGTERM")
        node.signal(signal.SIGTERM)
    results = dict(zip(attempts, await asyncio.gather(*uploads)))
    last_sixth = stopped_at + GRACE_S * 5 / 6
    # Each was sent before the signal, with 9 s left, and its backend was still at work when the answer came.
    broken_off = [attempt for attempt, (answered_at, is_whole) in results.items() if not is_whole
                  and answered_at < last_sixth
                  and any(attempt in backend.began and backend.ended.get(attempt, answered_at) >= answered_at
                          for backend in backends)]
    record(f"{len(broken_off)} of {UPLOADS} uploads broken off at which their backend was at work: {broken_off}")
    # Without a SIGTERM, the rule does not speak of such an answer.
    return BROKEN if broken_off and is_troubled() else HELD


run_case(__file__, case)
