"""The entry process gets SIGTERM while callers send one more idempotent request behind one that is being answered. The
answer closes the connection, but the request behind it is still read, passed on and run, and its caller gets nothing.
Writes record.txt; TROUBLE=0 leaves out the SIGTERM."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from harness import Backend, Caller, Node, Store, configuration, encode, free_ports, limits, main, route, service

ZONES = {"merr-a": "merrimack"}
HOST = "shop.example"
CALLERS = 8
FIRST_WORK_S = 1.8
SECOND_WORK_S = 0.64
SIGTERM_AFTER_S = 0.3  # After the first request of each caller was sent.
SECOND_BODY_BYTES = 315_000  # Below the site's largest body, 360,000 bytes.
PIECE_BYTES, PIECE_PAUSE_S = 45_000, 0.1  # A caller's link of 3.6 Mbit/s.
FIRST_START_S, START_STEP_S = 1.1, 0.05  # When the callers begin to send the second request, after the SIGTERM.


async def case(record, folder, trouble, nodes):
    store = Store()
    store_port = await store.listen()

    async def work(writer, request_id, line, _fields, _body):
        await asyncio.sleep(FIRST_WORK_S if line[1].startswith("/lookup/first") else SECOND_WORK_S)
        writer.write(encode("HTTP/1.1 200 OK", backend.head(request_id), b"stock"))
        await writer.drain()

    backend = Backend(record, "i-shelf-1", "shelfwatch", "merr-a", work, slots=2 * CALLERS)
    await backend.listen()
    backend.register(store)
    store.write("config", "main", configuration(1, [
        route("lookup", HOST, "/lookup/", "idempotent", "shelfwatch", timeout_s=12, target_s=1.5),
        service("shelfwatch"), limits()]))
    node = Node(record, folder, "front-merr-a-1", "merr-a", ZONES, store_port, free_ports(8))
    nodes.append(node)
    await node.start()
    await node.wait_until_ready()
    stop_at = record.now() + SIGTERM_AFTER_S
    sent_whole = set()

    async def stop():
        await asyncio.sleep(stop_at - record.now())
        if trouble:
            node.signal(signal.SIGTERM)

    async def send_second(caller, request_id, begin_at):
        await asyncio.sleep(begin_at - record.now())
        body = b"q" * SECOND_BODY_BYTES
        fields = {"Host": HOST, "Attempt-Id": request_id, "Deadline-Remaining": 12000, "Content-Length": len(body)}
        record.write("sending", id=request_id, body=len(body))
        caller.writer.write(encode("POST /lookup/second HTTP/1.1", fields, has_length=False))
        for start in range(0, len(body), PIECE_BYTES):
            caller.writer.write(body[start:start + PIECE_BYTES])
            await caller.writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)
        record.write("sent_whole", id=request_id)
        sent_whole.add(request_id)

    async def call(number):
        caller = Caller(record, node)
        await caller.connect()
        await caller.send(f"first-{number}", "GET", "/lookup/first", HOST, 12000)
        begin_at = stop_at + FIRST_START_S + number * START_STEP_S
        # As usual for a client, the request is sent whole before the next answer is read.
        try:
            await send_second(caller, f"second-{number}", begin_at)
        except ConnectionError as error:
            record.write("sending_failed", id=f"second-{number}", why=type(error).__name__)
        await caller.receive(f"first-{number}", 13)
        status, _, _ = await caller.receive(f"second-{number}", 13)
        caller.close()
        return f"second-{number}", status

    results = await asyncio.gather(stop(), *(call(number) for number in range(CALLERS)))
    await asyncio.sleep(2 * SECOND_WORK_S)  # Lets the runs end.
    ran = {request_id for _, request_id, *_ in backend.runs}
    lost = [request_id for request_id, status in results[1:] if status is None and request_id in ran]
    not_passed_on = [request_id for request_id, status in results[1:] if status is None and request_id not in ran]
    record.write("result", lost=",".join(lost) or "none", not_passed_on=",".join(not_passed_on) or "none")
    print(f"requests that were run and never answered: {len(lost)} of {CALLERS}; not passed on, which is allowed: "
          f"{len(not_passed_on)}")
    return not lost


main(case, pathlib.Path(__file__).parent)
