"""Faulty backends send answers whose bodies have no end, until their caller closes."""

import asyncio
import collections
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib3"))
from parts import (BROKEN, HELD, NOT_RUN, Node, Store, configuration, is_troubled, message, read_message, route,
                   run_case, server_entry, service)

TIMEOUT_S, DEADLINE_S = 2.0, 12.0  # Of the route, and of its clients.
SLACK_S = 0.5  # Of the rule.
FEWEST_LONG = 8
BACKENDS = 6
FAULTY_SHARE, FAULTY_ANSWERS = 0.7, 0.2
PIECE_BYTES, PIECE_GAP_S = 16384, 0.02
WORK_S = 0.3
LENGTH_S = 12.0
BOUNDS = {"drain_s": 2.5, "config_apply_s": 2.5, "grace_s": 6, "retry_budget_ratio": 0.2, "retry_budget_slack": 64,
          "ttl_max_s": 5}


async def case(record, folder, nodes):
    rand = random.Random(1)
    store = Store()
    store.write("config", "main", configuration(3, {
        "complyread": route("ledgerbin", "idempotent", "/read/", TIMEOUT_S, 0.6)}, {"ledgerbin": service()}))
    endless = set()

    async def serve(reader, writer, is_faulty):
        try:
            while request := await read_message(reader):
                attempt = request[1]["attempt-id"]
                await asyncio.sleep(WORK_S)
                if is_faulty and is_troubled() and rand.random() < FAULTY_ANSWERS:
                    record(f"a backend answers {attempt} without end")
                    endless.add(attempt)
                    writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {attempt}\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n".encode())
                    piece = f"{PIECE_BYTES:x}\r\n".encode() + b"x" * PIECE_BYTES + b"\r\n"
                    while not writer.is_closing():
                        writer.write(piece)
                        await writer.drain()
                        await asyncio.sleep(PIECE_GAP_S)
                    return
                writer.write(message("HTTP/1.1 200 OK", {
                    "Attempt-Id": attempt, "Response-Seal": attempt, "Keep-Alive": "timeout=10"}, attempt.encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The process has closed the connection.
        finally:
            writer.close()

    for number in range(BACKENDS):
        is_faulty = number < FAULTY_SHARE * BACKENDS - 0.5
        server = await asyncio.start_server(lambda r, w, f=is_faulty: serve(r, w, f), "127.0.0.1", 0)
        store.write("servers", f"i-{number:08x}",
                    server_entry(server.sockets[0].getsockname()[1], "ledgerbin", "merr-a", 6))
    node = Node("front-merr-a-1", "merr-a", {"merr-a": "merrimack"}, await store.listen(), folder, BOUNDS)
    nodes.append(node)
    node.start()
    if not await node.wait_ready():
        return NOT_RUN
    await asyncio.sleep(5)
    results = []  # (attempt, time of the final answer or close, what it was)

    async def call(attempt):
        reader, writer = await asyncio.open_connection("127.0.0.1", node.front)
        sent_at = time.monotonic()
        writer.write(message("GET /read/7 HTTP/1.1", {
            "Host": "shop.example", "Attempt-Id": attempt, "Deadline-Remaining": int(DEADLINE_S * 1000)}))
        try:
            answer = await asyncio.wait_for(read_message(reader), DEADLINE_S)
            what = answer[0][1] if answer else "closed"
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            what = "closed"
        except asyncio.TimeoutError:
            what = "none before the deadline"
        took = time.monotonic() - sent_at
        results.append((attempt, took, what))
        if took > 1:
            record(f"client: {attempt} {what} after {took:.1f} s")
        writer.close()

    calls = []
    end = time.monotonic() + LENGTH_S
    while time.monotonic() < end:
        calls.append(asyncio.create_task(call(f"{len(calls) + 1:016x}")))
        await asyncio.sleep(0.05)
    await asyncio.gather(*calls)
    long = [took for _, took, _ in results if took > TIMEOUT_S]
    late = [took for took in long if took > TIMEOUT_S + SLACK_S]
    record(f"{len(results)} requests, {len(endless)} answered without end; results: "
           f"{dict(collections.Counter(what for _, _, what in results))}")
    record(f"{len(long)} lasted longer than timeout_s, {len(late)} of them had no end {SLACK_S} s later, the longest "
           f"{max(late, default=0):.1f} s")
    return BROKEN if len(late) >= FEWEST_LONG and len(late) > len(long) / 4 else HELD


run_case(__file__, case)
