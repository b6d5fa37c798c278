"""A request that crashes each backend server that runs it comes again every 0.7 s at the same entry instance.

Three entry instances run as processes, the first one alone in its zone. The store and the backend servers are the
stand-ins of the project's soak test. The rule allows three retries that reach a server later than stable_window_s after
the third crash.
"""

import asyncio
import collections
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = pathlib.Path(sys.argv[1])
sys.path.insert(0, str(ROOT / "platform/soak"))
from soak import PortRange  # noqa: E402
from standins import BackendServer, Store, expected_body, message, read_message  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PROGRAM = "target/bin/clementinefall-node"  # The run command of deploy/system.toml.
ZONES = {"merr-a": "merrimack", "merr-b": "merrimack"}
INSTANCE_ZONES = ("merr-a", "merr-b", "merr-b")
SERVERS = 16
SLOTS = 6
HEARTBEAT_S = 1.5
STABLE_WINDOW_S = 4.0
ALLOWED_RETRIES = 3
RESTART_S = 3.0  # A crashed server is back after this time, as a new incarnation.
WORK_S = (0.3, 0.6)
REPEAT_S = 0.7  # The caller sends the crashing request again this long after the last answer.
REQUESTS_PER_S = 30.0  # Of all other callers.
TRAFFIC_S = 40.0
CRASHING_PATH = "/charge/crash"


class Record:
    def __init__(self):
        self.started_at = time.monotonic()
        self.lines = []
        self.crashes = []  # (time, attempt id, server)
        self.runs = collections.Counter()  # By attempt id.
        self.answers = collections.Counter()  # Of the other requests, by kind and status.
        self.lost_charges = 0  # Charges that ran and were not answered by their server.

    def write(self, text):
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    def record_arrival(self, *_):
        pass


class CrashingServer(BackendServer):
    def __init__(self, slot, identity):
        super().__init__(identity, "till", slot.zone, slot.record, slot.random)
        self.slot = slot
        self.running = 0

    async def handle(self, writer, line, fields, body):
        request_id = fields.get("attempt-id", "")
        if fields.get("expect-instance", self.identity) != self.identity:
            writer.write(message("HTTP/1.1 421 Misdirected Request",
                                 {"Attempt-Id": request_id, "Instance-Id": self.identity}))
            return
        if TROUBLE and line[1] == CRASHING_PATH:
            self.slot.record.crashes.append((time.monotonic(), request_id, self.identity))
            self.slot.record.write(f"server {self.identity} begins to run {request_id} and crashes, "
                                   f"{self.running} other requests run there")
            self.slot.crash()
            await asyncio.sleep(60)
        self.slot.record.runs[request_id] += 1
        self.running += 1
        try:
            await asyncio.sleep(self.random.uniform(*WORK_S))
        finally:
            self.running -= 1
        writer.write(message("HTTP/1.1 200 OK", {
            "Attempt-Id": request_id, "Response-Seal": f"{self.identity}.till",
            "Server-Load": f"{self.running},0,{SLOTS}"}, expected_body(line[1], request_id)))
        await writer.drain()


class ServerSlot:
    """One address, with one incarnation of a backend server after the other."""

    incarnations = 0

    def __init__(self, zone, store, record, rng):
        self.zone, self.store, self.record, self.random = zone, store, record, rng
        self.port = 0
        self.server = None
        self.tasks = []

    async def start(self, cold_s=0.0):
        ServerSlot.incarnations += 1
        self.server = CrashingServer(self, f"i-{ServerSlot.incarnations:04x}")
        self.port = await self.server.listen(self.port)
        self.tasks.append(asyncio.create_task(self.beat(self.server, int(time.time() * 1000), cold_s)))

    async def beat(self, server, born, cold_s):
        sequence, cold_until = 0, time.monotonic() + cold_s
        while self.server is server:
            sequence += 1
            self.store.write("servers", server.identity, {
                "address": f"127.0.0.1:{self.port}", "born": born,
                "info": {"service": "till", "config_version": "v1", "zone": self.zone, "max_concurrency": SLOTS},
                "status": {"state": "ready", "sequence": sequence,
                           "cold_remaining_s": max(0.0, cold_until - time.monotonic())}})
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        server, self.server = self.server, None
        server.stop()
        self.tasks.append(asyncio.create_task(self.come_back(server)))

    async def come_back(self, server):
        await asyncio.sleep(RESTART_S)
        await self.start(cold_s=3.0)
        await asyncio.sleep(3 * HEARTBEAT_S - RESTART_S)
        self.store.write("servers", server.identity, None, deleted=True)


def write_configuration(store):
    def route(name, kind, timeout, latency):
        return {"resource_type": "routes", "metadata": {"name": name}, "spec": {
            "host": "till.example", "path_prefix": f"/{name}/", "kind": kind, "timeout_s": timeout,
            "target_latency_s": latency, "priority": 1, "service": "till", "max_attempts": 2,
            "session_affinity": True, "allowed_regions": []}}
    service = {"resource_type": "services", "metadata": {"name": "till"}, "spec": {
        "health_path": "/health", "max_connections": 390, "cold_start_s": 3.0, "cold_per_s": 5.2}}
    limits = {"resource_type": "limits", "metadata": {}, "spec": {
        "max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_s": 3, "idle_timeout_s": 15}}
    store.write("config", "main", {"config_version": 7, "resources": [
        route("charge", "non_idempotent", 2.5, 0.6), route("look", "idempotent", 2.0, 0.5), service, limits]})


class Instance:
    def __init__(self, index, zone, folder, ports, store_port):
        self.name = f"front-{zone}-{index}"
        listen = [ports.take() for _ in range(4)]
        internal = ports.take()
        ports.next_port += 2  # The internal ports follow each other.
        self.caller_port = listen[0]
        zones = "\n".join(f"{name} = {region}" for name, region in ZONES.items())
        path = folder / f"{self.name}.ini"
        path.write_text(
            f"[instance]\nname = {self.name}\nzone = {zone}\nregion = {ZONES[zone]}\n[zones]\n{zones}\n"
            f"[listen]\ntraffic = 127.0.0.1:{listen[0]}\nready = 127.0.0.1:{listen[1]}\n"
            f"lookup = 127.0.0.1:{listen[2]}\npeer = 127.0.0.1:{internal}\nmetrics = 127.0.0.1:{listen[3]}\n"
            f"first_internal_port = {internal}\nlast_internal_port = {internal + 2}\n"
            f"[platform]\naddress = 127.0.0.1:{store_port}\nreads_per_second = 2000\n"
            "[limits]\nmemory_mb = 260\ndescriptors = 4100\n[retries]\nratio = 0.2\nallowance = 64\n"
            "[lookup]\nshortest_lifetime_s = 1\nlongest_lifetime_s = 5\n[stop]\ngrace_s = 6\n"
            "[bounds]\ndrain_s = 2.5\nconfiguration_s = 2.5\n")
        log = open(folder / f"{self.name}.log", "wb")
        environment = {"PATH": os.environ.get("PATH", ""), "CLEMENTINEFALL_SETTINGS": str(path)}
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, stdout=log, stderr=log, env=environment)


class Callers:
    def __init__(self, record, instances, rng):
        self.record, self.instances, self.random = record, instances, rng
        self.sent = 0

    async def send(self, instance, method, path):
        """Sends one request on a new connection. Returns the attempt id and the status, or None without an answer."""
        self.sent += 1
        request_id = f"{self.sent:016x}"
        body = b"pair=1" if method == "POST" else b""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", instance.caller_port), 1)
            writer.write(message(f"{method} {path} HTTP/1.1", {
                "Host": "till.example", "Attempt-Id": request_id, "Deadline-Remaining": "4000",
                "Cookie": f"Affinity-Key={path.rsplit('/', 1)[1]}"}, body))
            response = await asyncio.wait_for(read_message(reader), 4)
            return request_id, int(response[0][1]) if response else None
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return request_id, None
        finally:
            if writer:
                writer.close()

    async def send_other(self):
        method, kind = self.random.choice([("POST", "charge"), ("GET", "look")])
        request_id, status = await self.send(self.random.choice(self.instances), method,
                                             f"/{kind}/{self.random.randint(1, 24)}")
        self.record.answers[kind, status] += 1
        if kind == "charge" and status != 200 and self.record.runs[request_id]:
            self.record.lost_charges += 1
            self.record.write(f"charge {request_id} ran and got {status}")

    async def run_others(self, until):
        requests = []
        while time.monotonic() < until:
            requests.append(asyncio.create_task(self.send_other()))
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*requests)

    async def run_crashing(self, until):
        await asyncio.sleep(2)
        while time.monotonic() < until:
            request_id, status = await self.send(self.instances[0], "POST", CRASHING_PATH)
            self.record.write(f"crashing request {request_id} got {status}")
            await asyncio.sleep(REPEAT_S)


async def play(record, folder):
    rng, store, ports, instances = random.Random(), Store(), PortRange(), []
    slots = [ServerSlot(list(ZONES)[number % 2], store, record, rng) for number in range(SERVERS)]
    try:
        for slot in slots:
            await slot.start()
        write_configuration(store)
        for index, zone in enumerate(INSTANCE_ZONES):
            instances.append(Instance(index, zone, folder, ports, await store.listen()))
        await asyncio.sleep(2 + STABLE_WINDOW_S)
        until = time.monotonic() + TRAFFIC_S
        callers = Callers(record, instances, rng)
        await asyncio.gather(callers.run_others(until), callers.run_crashing(until))
        return all(instance.process.poll() is None for instance in instances)
    finally:
        for instance in instances:
            if instance.process.poll() is None:
                instance.process.kill()
            instance.process.wait()
        ports.close()


def main():
    record = Record()
    with tempfile.TemporaryDirectory(prefix="clementinefall-review-") as folder:
        loop = asyncio.new_event_loop()
        loop.set_exception_handler(lambda *_: None)  # Connections that a crash has reset.
        were_running = loop.run_until_complete(play(record, pathlib.Path(folder)))
    late = set()
    if len(record.crashes) >= 3:
        bound = record.crashes[2][0] + STABLE_WINDOW_S
        late = {request_id for at, request_id, _ in record.crashes if at > bound}
    answered = sum(count for (_, status), count in record.answers.items() if status == 200)
    record.write(f"other requests by kind and status: {dict(record.answers)}")
    record.write(f"charges that ran and were lost: {record.lost_charges}")
    record.write(f"servers crashed {len(record.crashes)} times, {len(late)} retries reached one later than "
                 f"{STABLE_WINDOW_S} s after the third crash, {ALLOWED_RETRIES} allowed")
    status = 2 if not were_running or answered < 100 else 1 if len(late) > ALLOWED_RETRIES else 0
    record.write({0: "BUDGET held", 1: "BUDGET broken", 2: "the case could not run"}[status])
    (HERE / "record.txt").write_text("\n".join(record.lines) + "\n")
    print("\n".join(line[9:] for line in record.lines[-4:]))
    sys.stdout.flush()
    os._exit(status)


main()
