"""The platform shortens grace_s in the settings file, without a signal, and stops the machine a second later. The
process still goes by the old grace period: it queues new requests until it is killed."""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib2"))
from standins import (Backend, Node, Store, configuration, encode, read_message, request_bytes, route, run_case,  # noqa: E402
                      service)

OLD_GRACE_SECONDS, NEW_GRACE_SECONDS = 6.0, 2.0
CHANGE_BEFORE_STOP_SECONDS = 1.0
LOSS_SLACK_SECONDS = 0.2
CALLERS = 100
WARM_UP_SECONDS = 6.0


class Judge:
    """Judges LOST around a SIGTERM, from what callers, backend servers and the platform see."""

    def __init__(self, backends, record):
        self.backends, self.record = backends, record
        self.stopped_at, self.grace = None, OLD_GRACE_SECONDS
        self.answers, self.lost, self.excused = collections.Counter(), [], 0

    def was_passed_on(self, request_id):
        return any(request_id in backend.reached for backend in self.backends)

    def work_ended_at(self, request_id):
        """When its run ended; None if a backend server has not ended it, or has it in its queue."""
        return next((backend.ended[request_id] for backend in self.backends if request_id in backend.ended), None)

    def end_without_answer(self, request_id, sent_at, ended_at):
        if self.stopped_at is None or ended_at > self.stopped_at + self.grace + 1:
            return
        was_passed_on = self.was_passed_on(request_id)
        if not was_passed_on and ended_at - sent_at <= LOSS_SLACK_SECONDS:
            return  # It may have been on its way.
        work_ended_at = self.work_ended_at(request_id)
        last_sixth = self.stopped_at + self.grace * 5 / 6
        if was_passed_on and (work_ended_at is None or work_ended_at >= last_sixth) \
                and sent_at <= self.stopped_at + 3:
            self.excused += 1
            return
        self.lost.append(request_id)
        self.record(f"LOST {request_id}: sent {sent_at - self.stopped_at:+.2f} s and cut "
                    f"{ended_at - self.stopped_at:+.2f} s after the SIGTERM, {'passed on' if was_passed_on else 'not passed on'}")


class SlowBackend(Backend):
    """Runs as many requests at a time as it has slots, and remembers when they ended. A few more wait; beyond that it
    rejects requests."""

    QUEUE = 12

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.reached, self.ended = set(), {}
        self.running, self.inside = asyncio.Semaphore(self.slots), 0

    async def admit(self, writer, fields):
        if self.inside < self.slots + self.QUEUE:
            self.reached.add(fields["attempt-id"])
            return True
        writer.write(encode("HTTP/1.1 503 Service Unavailable", {
            "Attempt-Id": fields["attempt-id"], "Not-Executed": "1"}))
        return False

    async def respond(self, writer, line, fields, body):
        self.inside += 1
        try:
            async with self.running:
                self.begin(fields)
                self.work = 0.8 * random.uniform(0.85, 1.15)
                await super().respond(writer, line, fields, body)
                self.ended[fields["attempt-id"]] = time.monotonic()
        finally:
            self.inside -= 1

    def head(self, fields):
        waiting = max(0, self.inside - self.slots)
        return {**super().head(fields), "Server-Load": f"{self.inside - waiting},{waiting},{self.slots}"}


async def caller(number, node, judge, record, stop):
    """Sends one charge after the other, each on a connection that is kept while it can be."""
    count, connection = 0, None
    while not stop.is_set() and node.is_running():
        count += 1
        request_id = f"{number:04x}{count:012x}"
        answer, sent_at = None, None
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", node.port), 1)
            connection[1].write(request_bytes("POST", "/pay/charge", request_id, 4000, b"c" * 4000))
            await connection[1].drain()
            sent_at = time.monotonic()
            record(f"send {request_id}")
            answer = await asyncio.wait_for(read_message(connection[0]), 6)
        except (OSError, asyncio.TimeoutError):
            pass
        status = answer[0][1] if answer else "none"
        record(f"answer {request_id} {status}")
        judge.answers[status] += 1
        if answer is None and sent_at is not None:
            judge.end_without_answer(request_id, sent_at, time.monotonic())
        if answer is None or answer[1].get("connection") == "close":
            if connection is not None:
                connection[1].close()
            connection = None
        if status != "200":
            await asyncio.sleep(float(answer[1].get("retry-after", 0.1)) if answer else 0.2)


async def main(record, trouble):
    store = Store(record)
    port = await store.listen()
    backends = [SlowBackend(record, f"i-{number}", "tillgate", slots=4, work=0.8) for number in range(4)]
    for backend in backends:
        await backend.listen()
        store.put("servers", backend.identity, backend.entry())
    store.put("config", "main", configuration(1, [
        route("r-charge", "/pay/", "tillgate", "non_idempotent", 2.5, 0.6), service("tillgate")]))
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
