"""A backend server announces a body that no memory can hold and sends bytes until its caller closes. Five charges that
run at a sound backend server at that moment are watched. Writes record.txt; TROUBLE=0 leaves out the spoiled answer."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from harness import (Backend, Caller, CouldNotRun, Node, Store, ask, configuration, encode, free_ports, limits, main,
                     route, service)

ZONES = {"merr-a": "merrimack"}
HOST = "shop.example"
CHARGES = 5
SHELVES = 3  # One of them spoils an answer: a share of 0.33, the site's `garble` has 0.41.
GOOD_ANSWERS = 100  # Of each shelf before one answer is spoiled: at most 1 in 100, the site's `garble` has 0.014.
MAXIMUM_ROUNDS = 400
CHARGE_WORK_S = 0.84
ANNOUNCED_BYTES = 4_000_000_000_000_000_000
PIECE_BYTES = 16384
ENDLESS_LIMIT_BYTES = 64 * 1024 * 1024  # The stand-in stops here if the caller never closes.


async def case(record, folder, trouble, nodes):
    store = Store()
    store_port = await store.listen()
    spoiled = []  # Attempt-Ids that got the spoiled answer.
    answers = collections.Counter()  # Good answers by shelf.

    async def charge(writer, request_id, _line, _fields, _body):
        await asyncio.sleep(CHARGE_WORK_S)
        writer.write(encode("HTTP/1.1 200 OK", till.head(request_id), b"charged"))
        await writer.drain()

    def lookup_at(shelf):
        async def look_up(writer, request_id, line, fields, body):
            if not trouble or request_id != "lookup-due":
                answers[shelf.identity] += 1
                return await shelf.answer_at_once(writer, request_id, line, fields, body)
            spoiled.append(request_id)
            record.write("spoiled_answer", id=request_id, backend=shelf.identity, announced=ANNOUNCED_BYTES,
                         good_before=answers[shelf.identity])
            head = shelf.head(request_id, **{"Content-Length": ANNOUNCED_BYTES})
            writer.write(encode("HTTP/1.1 200 OK", head, has_length=False))
            for _ in range(ENDLESS_LIMIT_BYTES // PIECE_BYTES):
                writer.write(b"x" * PIECE_BYTES)
                await writer.drain()
        return look_up

    till = Backend(record, "i-till", "tillgate", "merr-a", charge)
    # The one that gets the lookup that is due is the faulty one. With one slot each, all of them get lookups.
    shelves = [Backend(record, f"i-shelf-{number}", "shelfwatch", "merr-a", slots=1) for number in range(SHELVES)]
    for shelf in shelves:
        shelf.answer = lookup_at(shelf)
    for backend in (till, *shelves):
        await backend.listen()
        backend.register(store)
    store.write("config", "main", configuration(1, [
        route("charge", HOST, "/charge/", "non_idempotent", "tillgate", timeout_s=4),
        route("lookup", HOST, "/lookup/", "idempotent", "shelfwatch", timeout_s=3),
        service("tillgate"), service("shelfwatch"), limits()]))
    node = Node(record, folder, "front-merr-a-1", "merr-a", ZONES, store_port, free_ports(8))
    nodes.append(node)
    await node.start()
    await node.wait_until_ready()

    # The connections of the charges are kept ones: each has carried a request before.
    callers = [Caller(record, node) for _ in range(CHARGES)]
    for number, caller in enumerate(callers):
        await caller.connect()
        await caller.send(f"before-{number}", "POST", "/charge/a", HOST, 4000, b"one pair")
        await caller.receive(f"before-{number}", 5)

    async def charge_again(number, caller):
        request_id = f"charge-{number}"
        await caller.send(request_id, "POST", "/charge/b", HOST, 4000, b"one pair")
        status, why, _ = await caller.receive(request_id, 5)
        return request_id, status, why

    for round_number in range(MAXIMUM_ROUNDS):
        if all(answers[shelf.identity] >= GOOD_ANSWERS for shelf in shelves):
            break
        await asyncio.gather(*(ask(record, node, f"lookup-{round_number}-{number}", "GET", "/lookup/x", HOST, 3000)
                               for number in range(SHELVES)))
    else:
        raise CouldNotRun("a shelf got too few lookups")
    charges = [asyncio.ensure_future(charge_again(number, caller)) for number, caller in enumerate(callers)]
    await asyncio.sleep(0.3)
    await ask(record, node, "lookup-due", "GET", "/lookup/x", HOST, 3000)
    if trouble and not spoiled:
        raise CouldNotRun("no lookup reached a backend server")
    outcomes = await asyncio.gather(*charges)
    await asyncio.sleep(0.3)
    ran = {request_id for _, request_id, *_ in till.runs}
    lost = [request_id for request_id, status, _ in outcomes if status is None and request_id in ran]
    record.write("result", lost=",".join(lost) or "none", allowed=3, process_runs=node.is_running)
    print(f"charges that ran and whose connection was closed without an answer: {len(lost)} (3 allowed); "
          f"entry process {'runs' if node.is_running else 'has ended'}")
    return len(lost) <= 3


main(case, pathlib.Path(__file__).parent)
