"""A key of the settings that the users' pages do not explain is empty, as DEPLOY.md allows. The processes that start with
such settings end at once, and do so at every further start."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib2"))
from standins import (Backend, Node, Store, answer_body, configuration, read_message, request_bytes, route,  # noqa: E402
                      run_case, service)

MACHINES = 3
PLAY_SECONDS = 25
RESTART_DELAY_SECONDS = 1.0
ENDS_THAT_BREAK = 3  # By themselves, on a tenth of the machines, two at least.
REQUESTS_PER_SECOND = 10


async def machine(node, record, stop, ends):
    """Starts the process, and starts it again after a short delay when it has ended."""
    while not stop.is_set():
        node.place_settings()
        node.start()
        while node.is_running() and not stop.is_set():
            await asyncio.sleep(0.05)
        if stop.is_set():
            return
        ends[node.name] += 1
        record(f"{node.name} has ended by itself with status {node.process.returncode}")
        await asyncio.sleep(RESTART_DELAY_SECONDS)


async def call(number, nodes, record, answers):
    request_id, node = f"{number:016x}", nodes[number % len(nodes)]
    record(f"send {request_id} to {node.name}")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", node.port), 1)
        writer.write(request_bytes("POST", "/pay/charge", request_id, 4000, b"c" * 4000))
        answer = await asyncio.wait_for(read_message(reader), 5)
        writer.close()
    except (OSError, asyncio.TimeoutError):
        answer = None
    status = answer[0][1] if answer else "no connection"
    if status == "200" and answer[2] != answer_body(request_id):
        raise RuntimeError("a caller got a wrong body")
    record(f"answer {request_id} {status}")
    answers[status] += 1


async def main(record, trouble):
    store = Store(record)
    port = await store.listen()
    backends = [Backend(record, f"i-{number}", "tillgate", slots=6, work=0.3) for number in range(4)]
    for backend in backends:
        await backend.listen()
        store.put("servers", backend.identity, backend.entry())
    store.put("config", "main", configuration(1, [
        route("r-charge", "/pay/", "tillgate", "non_idempotent"), service("tillgate")]))
    stop, ends, answers, tasks, calls = asyncio.Event(), collections.Counter(), collections.Counter(), [], []
    nodes = [Node(record, f"front-a1-{number}", port) for number in range(MACHINES)]
    if trouble:
        for node in nodes:
            node.fields["platform"]["ttl_min_s"] = None
        record.say("ttl_min_s of the settings is empty")
    try:
        tasks = [asyncio.create_task(machine(node, record, stop, ends)) for node in nodes]
        await asyncio.sleep(8)  # Traffic starts 8 s after the machines do.
        began, number = time.monotonic(), 0
        while time.monotonic() - began < PLAY_SECONDS - 8:
            number += 1
            calls.append(asyncio.create_task(call(number, nodes, record, answers)))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        await asyncio.gather(*calls)
        stop.set()
        await asyncio.gather(*tasks)
        record.say(f"ends of processes by themselves: {dict(ends)}; answers: {dict(answers)}")
        if said := nodes[0].logged("settings_rejected"):
            record.say(f"{nodes[0].name} says: {said}")
    finally:
        for task in tasks + calls:
            task.cancel()
        for node in nodes:
            node.end()
    unsound = sum(1 for count in ends.values() if count >= ENDS_THAT_BREAK)
    return unsound >= 2 or answers["200"] == 0


if __name__ == "__main__":
    run_case(main)
