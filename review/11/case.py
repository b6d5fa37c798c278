"""One backend in seven fails part of the charges that it has run, with a 503 that does not say Not-Executed."""

import asyncio
import collections
import pathlib
import random
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
import standins

BACKENDS, GREY = 14, 2  # Share 0.14.
FAILS = 0.45  # x of srv_grey in the site file.
GREY_FROM_S, GREY_FOR_S = 6.0, 6.5
SECONDS = 18
PER_SECOND = 40
PROMISES = (408, 421, 429, 503)
dice = random.Random(5)


async def scenario(deployment, has_trouble):
    record = deployment.record
    loop = asyncio.get_running_loop()
    runs, failed = collections.Counter(), set()
    grey = {f"i-tillgate-{index}" for index in range(GREY)}
    start = None

    async def answer(backend, number, identity, target, body):
        await asyncio.sleep(dice.uniform(0.6, 1.0))
        # The charge is done. What follows in the backend, such as its receipt, may fail.
        runs[identity] += 1
        at = loop.time() - start
        if has_trouble and backend.name in grey and GREY_FROM_S <= at < GREY_FROM_S + GREY_FOR_S and dice.random() < FAILS:
            failed.add(identity)
            record("fails", backend.name, identity)
            head = {"Attempt-Id": identity, "Response-Seal": f"{backend.name}.{identity}", "Server-Load": backend.load()}
            return standins.encode("HTTP/1.1 503 Service Unavailable", head, b"the receipt could not be written"), False
        return backend.success(identity, b"charged"), False

    await deployment.add_backends("tillgate", BACKENDS, answer, slots=4)
    deployment.configure(7, standins.route("vendcharge", "non_idempotent", "tillgate", timeout=2.5, aim=0.6))
    if not await deployment.start_nodes(2):
        return 2, "a node did not become ready"
    start = loop.time()
    attempts = {}  # Ids and statuses by charge.

    async def attempt(charge):
        node = deployment.nodes[(charge + len(attempts[charge])) % 2]
        identity = deployment.identity()
        reader, writer = await asyncio.open_connection("127.0.0.1", node.front)
        record("sent", node.name, identity, f"charge={charge}")
        writer.write(standins.encode("POST /vendcharge/1 HTTP/1.1", {"Host": standins.HOST, "Attempt-Id": identity,
                                                                     "Deadline-Remaining": 4000}, b"c" * 4000))
        await writer.drain()
        head = await standins.read_head(reader)
        body = await standins.read_body(reader, head[1]) if head else b""
        status = int(head[0][1]) if head else None
        record("answered", identity, status, body.decode("latin-1").strip())
        attempts[charge].append((identity, status))
        writer.close()
        return status, float(head[1].get("retry-after", "0.1")) if head else 0

    async def client(charge):
        """Sends a charge, and once more after a promise that it has not run and never will."""
        await asyncio.sleep(charge / PER_SECOND)
        attempts[charge] = []
        status, pause = await attempt(charge)
        if status in PROMISES:
            await asyncio.sleep(min(pause, 1.0))
            await attempt(charge)

    await asyncio.gather(*(client(charge) for charge in range(SECONDS * PER_SECOND)))
    await asyncio.sleep(1.5)
    promised = [identity for tries in attempts.values() for identity, status in tries if status in PROMISES]
    broken = [identity for identity in promised if runs[identity]]
    twice = [charge for charge, tries in attempts.items() if sum(runs[identity] for identity, _ in tries) > 1]
    for identity in broken:
        record("promised and run", identity)
    return (1 if broken else 0, f"{len(attempts)} charges, {len(failed)} failed by their backend after they had run",
            f"{len(promised)} attempts answered with {PROMISES}, of which {len(broken)} had run (rule: none); "
            f"charges made twice since their client came again: {len(twice)}")


standins.run(__file__, scenario)
