"""The platform shortens grace_s in the settings file, without a signal, and stops the machine a second later. The
process goes by the old grace period: it still waits for the first of two pipelined requests when it is killed, and never
sends the answer to the second one, which its server had given long before. The servers have room for all requests."""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib2"))
from standins import (Backend, Node, Store, answer_body, configuration, encode, read_message,  # noqa: E402
                      request_bytes, route, run_case, service)

OLD_GRACE_SECONDS, NEW_GRACE_SECONDS = 6.0, 2.0
CHANGE_BEFORE_STOP_SECONDS = 1.0
CALLERS = 16
WARM_UP_SECONDS = 6.0
# Work of `complyread`: 2.56 s with a spread of 0.15, and 0.7 less at a server that has the object.
WORK_SECONDS = {"/comply/cold": 2.56, "/comply/warm": 0.77}


class Judge:
    """Judges LOST around a SIGTERM, from what callers, backend servers and the platform see."""

    def __init__(self, backends, record):
        self.backends, self.record = backends, record
        self.stopped_at, self.grace = None, OLD_GRACE_SECONDS
        self.answers, self.lost, self.excused = collections.Counter(), [], 0

    def work_ended_at(self, request_id):
        """When its run ended; None if a backend server has not ended it, or has it in its queue."""
        return next((backend.ended[request_id] for backend in self.backends if request_id in backend.ended), None)

    def end_without_answer(self, request_id, sent_at, ended_at):
        """Only a request that was passed on, and whose server was done before the last sixth of the grace period, is
        lost. Those that were not passed on, or were sent later than the page's excuse, are left out too."""
        if self.stopped_at is None or not self.stopped_at < ended_at <= self.stopped_at + self.grace + 1:
            return
        work_ended_at = self.work_ended_at(request_id)
        if work_ended_at is None or work_ended_at >= self.stopped_at + self.grace * 5 / 6:
            self.excused += 1
            return
        self.lost.append(request_id)
        self.record(f"LOST {request_id}: sent {sent_at - self.stopped_at:+.2f} s, its server done "
                    f"{work_ended_at - self.stopped_at:+.2f} s and cut {ended_at - self.stopped_at:+.2f} s after the SIGTERM")


class SlowBackend(Backend):
    """Works as long as the path says, and remembers when its runs ended."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.ended = {}

    async def respond(self, writer, line, fields, _body):
        request_id = fields["attempt-id"]
        self.begin(fields)
        await asyncio.sleep(WORK_SECONDS[line[1]] * random.uniform(0.85, 1.15))
        self.ended[request_id] = time.monotonic()
        self.record(f"done {request_id}")
        writer.write(encode("HTTP/1.1 200 OK", self.head(fields), answer_body(request_id, 1500)))


async def caller(number, node, judge, record, stop):
    """Sends two lookups behind each other on a kept connection, and the next two when both are answered."""
    count, connection = 0, None
    await asyncio.sleep(random.uniform(0, 2.5))
    while not stop.is_set() and node.is_running():
        sent = []
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", node.port), 1)
            for path in WORK_SECONDS:
                count += 1
                request_id = f"{number:04x}{count:012x}"
                connection[1].write(request_bytes("GET", path, request_id, 12000))
                sent.append((request_id, time.monotonic()))
                record(f"send {request_id} {path}")
        except (OSError, asyncio.TimeoutError):
            connection = None
        for request_id, sent_at in sent:
            answer = None
            if connection is not None:
                try:
                    answer = await asyncio.wait_for(read_message(connection[0]), 13)
                except (OSError, asyncio.TimeoutError):
                    pass
            status = answer[0][1] if answer else "none"
            record(f"answer {request_id} {status}")
            judge.answers[status] += 1
            if status == "200" and answer[2] != answer_body(request_id, 1500):
                raise RuntimeError("a caller got a wrong body")
            if answer is None:
                judge.end_without_answer(request_id, sent_at, time.monotonic())
            elif answer[1].get("connection") == "close":
                break  # What was sent behind it counts as not read.
        if not sent or answer is None or answer[1].get("connection") == "close":
            if connection is not None:
                connection[1].close()
            connection = None
            await asyncio.sleep(0.1)


async def main(record, trouble):
    store = Store(record)
    port = await store.listen()
    backends = [SlowBackend(record, f"i-{number}", "ledgerbin", slots=6) for number in range(8)]
    for backend in backends:
        await backend.listen()
        store.put("servers", backend.identity, backend.entry())
    store.put("config", "main", configuration(1, [
        route("r-comply", "/comply/", "ledgerbin", "idempotent", 6, 1.5, 2), service("ledgerbin")]))
    node = Node(record, "front-a1-1", port)
    node.start()
    judge, stop, tasks = Judge(backends, record), asyncio.Event(), []
    try:
        if not await node.ready():
            raise RuntimeError("the process did not become ready")
        tasks = [asyncio.create_task(caller(number, node, judge, record, stop)) for number in range(CALLERS)]
        await asyncio.sleep(WARM_UP_SECONDS)
        if trouble:
            node.fields["guarantee_params"]["grace_s"] = int(NEW_GRACE_SECONDS)
            node.place_settings()
            judge.grace = NEW_GRACE_SECONDS
            record.say(f"the settings file has grace_s = {NEW_GRACE_SECONDS:.0f} now")
        await asyncio.sleep(CHANGE_BEFORE_STOP_SECONDS)
        judge.stopped_at = time.monotonic()
        node.signal(signal.SIGTERM)
        while node.is_running() and time.monotonic() < judge.stopped_at + judge.grace:
            await asyncio.sleep(0.01)
        if node.is_running():
            record.say(f"still running {judge.grace:.0f} s after the SIGTERM: the platform kills it")
            node.signal(signal.SIGKILL)
        node.process.wait()
        record.say(f"the process ended {time.monotonic() - judge.stopped_at:.2f} s after the SIGTERM")
        await asyncio.sleep(0.5)
        stop.set()
        await asyncio.wait(tasks, timeout=8)
        record.say(f"answers {dict(judge.answers)}, cut that may be cut: {judge.excused}, lost: {len(judge.lost)}")
    finally:
        for task in tasks:
            task.cancel()
        node.end()
    return bool(judge.lost)


if __name__ == "__main__":
    run_case(main)
