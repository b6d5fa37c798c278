"""Backend servers answer some requests with bytes that are not a response: a status line whose status begins with 0. The
entry instance takes them for an answer and passes them on, changed, so that callers get what is no answer."""

import asyncio
import collections
import pathlib
import random
import re
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib2"))
from standins import (Backend, Node, Store, answer_body, configuration, encode, request_bytes, route,  # noqa: E402
                      run_case, service)

# The plain `garble` of the site file: share 0.41 of the servers of a service, 0.014 of their answers, 5.1 s.
SERVERS, FAULTY_SERVERS = 5, 2
ANSWERS_PER_SPOILT_ONE = 72
GARBLE_SECONDS = 5.0
CALLERS = 30
CALM_SECONDS = 5.0  # Before and after.
# RFC 9112, section 4: HTTP-version SP 3DIGIT SP reason-phrase.
STATUS_LINE = re.compile(rb"HTTP/1\.1 [1-5][0-9][0-9] [^\r\n]*\r\n")


class FaultyBackend(Backend):
    """Spoils the status line of a share of its answers."""

    spoils = False
    answered = 0

    async def respond(self, writer, line, fields, body):
        if self.spoils:
            self.answered += 1
        if not self.spoils or self.answered % ANSWERS_PER_SPOILT_ONE != 0:
            await super().respond(writer, line, fields, body)
            return
        self.begin(fields)
        await asyncio.sleep(self.work)
        status = random.choice(("000", "002", "020"))
        self.record(f"{self.identity} answers {fields['attempt-id']} with the status line 'HTTP/1.1 {status} OK'")
        writer.write(encode(f"HTTP/1.1 {status} OK", self.head(fields), answer_body(fields["attempt-id"])))


async def read_answer(reader):
    """Returns the status line as it arrived, and the body of an answer with a length."""
    line = await reader.readline()
    length = 0
    while (field := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = field.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return line, await reader.readexactly(length)


async def caller(number, node, result, record, stop):
    count, connection = 0, None
    while not stop.is_set():
        count += 1
        request_id = f"{number:04x}{count:012x}"
        try:
            if connection is None:
                connection = await asyncio.open_connection("127.0.0.1", node.port)
            record(f"send {request_id}")
            connection[1].write(request_bytes("POST", "/pay/charge", request_id, 4000, b"c" * 4000))
            line, body = await asyncio.wait_for(read_answer(connection[0]), 6)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            line, body = b"", b""
        record(f"answer {request_id} {line.decode('latin-1').strip()}")
        if line and not STATUS_LINE.fullmatch(line):
            result["no answer in the protocol"] += 1
            record(f"MIXED {request_id}: the caller gets {line!r}")
        else:
            result[line.split()[1].decode() if line else "none"] += 1
        if line.split()[1:2] != [b"200"]:
            if connection is not None:
                connection[1].close()
            connection = None
            await asyncio.sleep(0.1)
        elif body != answer_body(request_id):
            raise RuntimeError("a caller got a wrong body")


async def main(record, trouble):
    store = Store(record)
    port = await store.listen()
    backends = [FaultyBackend(record, f"i-{number}", "tillgate", slots=6, work=0.2) for number in range(SERVERS)]
    for backend in backends:
        await backend.listen()
        store.put("servers", backend.identity, backend.entry())
    store.put("config", "main", configuration(1, [
        route("r-charge", "/pay/", "tillgate", "non_idempotent"), service("tillgate")]))
    node = Node(record, "front-a1-1", port)
    node.start()
    beats = [asyncio.create_task(backend.send_heartbeats(store)) for backend in backends]
    stop, result, tasks = asyncio.Event(), collections.Counter(), []
    try:
        if not await node.ready():
            raise RuntimeError("the process did not become ready")
        tasks = [asyncio.create_task(caller(number, node, result, record, stop)) for number in range(CALLERS)]
        await asyncio.sleep(CALM_SECONDS)
        for backend in backends[:FAULTY_SERVERS]:
            backend.spoils = trouble
        record("the disruption begins" if trouble else "no disruption")
        await asyncio.sleep(GARBLE_SECONDS)
        for backend in backends:
            backend.spoils = False
        record("it ends")
        await asyncio.sleep(CALM_SECONDS)
        stop.set()
        await asyncio.gather(*tasks)
        record.say(f"what callers got: {dict(result)}")
    finally:
        for task in [*tasks, *beats]:
            task.cancel()
        node.end()
    return result["no answer in the protocol"] > 0


if __name__ == "__main__":
    run_case(main)
