"""The store turns one of three machines away. A backend server reports that it drains, says `Server-Leaving: 1` in all
its answers from then on and exits later, as the pages tell. The machine that is turned away passes such answers on and
goes on sending charges to the server until it exits; the charges that run then are lost. Writes record.txt; TROUBLE=0:
the store serves every machine."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from harness import (DRAIN_S, Backend, Node, Store, ask, configuration, encode, free_ports, limits, main, route,
                     service)

ZONES = {"merr-a": "merrimack", "narr-a": "narragansett", "kenn-a": "kennebec"}
HOST = "till.example"
SERVERS = 4
CALLERS = 10
WORK_S = 0.84  # Of `vendcharge`, in SYSTEM.md.
TURNED_AWAY_S = 9.0  # for_s of platform_down, how = "nodes ...", in the site file; 1 of 3 machines is its share 0.33.
LEAVES_AFTER_S = 1.0  # After the store began to turn the machine away.
EXITS_AFTER_S = 4.5  # After the store accepted the report: drain_s and a little longer.
RUN_S = 9.0


async def case(record, folder, trouble, nodes):
    store = Store()
    store_ports = [await store.listen() for _ in ZONES]  # One for each machine.

    def work_of(server):
        async def charge(writer, request_id, _line, _fields, _body):
            await asyncio.sleep(WORK_S)
            writer.write(encode("HTTP/1.1 200 OK", server.head(request_id), b"charged"))
            await writer.drain()
        return charge

    servers = [Backend(record, f"i-till-{number}", "tillgate", "merr-a", slots=4) for number in range(SERVERS)]
    for server in servers:
        server.answer = work_of(server)
        await server.listen()
        server.register(store)
    store.write("config", "main", configuration(1, [
        route("charge", HOST, "/charge/", "non_idempotent", "tillgate", timeout_s=4), service("tillgate"), limits()]))
    ports = free_ports(8, [f"127.0.0.{number + 2}" for number in range(len(ZONES))])
    for number, zone in enumerate(ZONES):
        nodes.append(Node(record, folder, f"front-{zone}-1", zone, ZONES, store_ports[number], ports,
                          f"127.0.0.{number + 2}"))
        await nodes[-1].start()
    for node in nodes:
        await node.wait_until_ready()
    node, leaving = nodes[0], servers[0]
    start = record.now()

    async def disturb():
        if trouble:
            store.turn_away(store_ports[0])
            record.write("store_turns_away", node=node.name)
        await asyncio.sleep(LEAVES_AFTER_S)
        leaving.extra_fields = {"Server-Leaving": "1"}
        leaving.drain(store)
        record.write("draining_accepted", backend=leaving.identity)
        await asyncio.sleep(EXITS_AFTER_S)
        record.write("exits", backend=leaving.identity, running=leaving.running)
        leaving.stop()
        store.write("servers", leaving.identity, None, deleted=True)
        await asyncio.sleep(TURNED_AWAY_S - LEAVES_AFTER_S - EXITS_AFTER_S)
        store.serve_again(store_ports[0])

    disturbing = asyncio.ensure_future(disturb())
    passed_on_at = []  # Time of the first answer of the leaving server that reached a caller.
    late, lost = [], []

    async def call(caller):
        number = 0
        while record.now() - start < RUN_S:
            request_id = f"charge-{caller}-{number}"
            number += 1
            sent_at = record.now()
            status, fields, _ = await ask(record, node, request_id, "POST", "/charge/a", HOST, 4000, b"one pair")
            if not passed_on_at and isinstance(fields, dict) and "server-leaving" in fields:
                passed_on_at.append(record.now())
                record.write("passed_on", id=request_id)
            if not any(run[1] == request_id for run in leaving.runs):
                continue
            if passed_on_at and sent_at > passed_on_at[0] + DRAIN_S:
                late.append(sent_at - passed_on_at[0])
                if status != 200:
                    lost.append(request_id)

    await asyncio.gather(*(call(caller) for caller in range(CALLERS)))
    await disturbing
    record.write("result", late=len(late), longest_s=f"{max(late, default=0):.2f}", allowed_s=DRAIN_S,
                 lost=",".join(lost) or "none")
    print(f"charges that reached the leaving backend server later than {DRAIN_S} s after its word had been passed on: "
          f"{len(late)}, up to {max(late, default=0):.2f} s; of these ran without an answer: {len(lost)}")
    return not late


main(case, pathlib.Path(__file__).parent)
