"""Stand-ins for the second review: the platform's store, backend servers, a caller and a runner of the system's processes.

All of them run in one asyncio loop on loopback addresses and on the real clock. They follow PROTOCOL.md of the users' pages.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HEARTBEAT_SECONDS = 1.5
HISTORY_SECONDS = 20.0  # history_s of the settings.
PAGE_BYTES, PAGE_ITEMS = 1_000_000, 500


def deploy_command():
    """The start command of the deploy file."""
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if line.startswith("run = "):
            return line.partition("=")[2].strip().strip('"').split()
    raise RuntimeError("the deploy file has no start command")


class Record:
    """Writes what happens, with seconds since the start, to record.txt of a case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


async def read_head(reader):
    """Returns the first line, split, and the fields by lower-case name; None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    fields = {}
    while True:
        field = await reader.readline()
        if field == b"\r\n":
            return line.decode("latin-1").split(None, 2), fields
        if not field.endswith(b"\r\n"):
            return None
        name, _, value = field.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()


async def read_message(reader):
    """Reads a message with a length or in chunks. Returns (first line, fields, body); None when it is not complete."""
    try:
        head = await read_head(reader)
        if head is None:
            return None
        body = b""
        if head[1].get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).strip(), 16)
                part = await reader.readexactly(size + 2)
                body += part[:size]
                if size == 0:
                    break
        elif "content-length" in head[1]:
            body = await reader.readexactly(int(head[1]["content-length"]))
        return head[0], head[1], body
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def encode(first_line, fields, body=b""):
    head = [first_line] + [f"{name}: {value}" for name, value in fields.items()] + [f"Content-Length: {len(body)}"]
    return "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """Objects by kind and name, with one revision counter, conditional writes, paged lists and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}  # By kind, then name.
        self.events = []  # (revision, time, kind, encoded event)
        self.changed = asyncio.Event()
        self.waiting = {}  # Writers of watch calls that wait, with their kind.
        self.servers = []

    async def listen(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        """A write of the operator or of a backend server. Returns the time of its acknowledgement."""
        self.change(kind, name, spec, None)
        return time.monotonic()

    def change(self, kind, name, spec, finalizers):
        self.revision += 1
        before = self.objects.setdefault(kind, {}).get(name)
        created = before["metadata"]["created_rev"] if before else self.revision
        entry = {"metadata": {"name": name, "rev": self.revision, "created_rev": created,
                              "finalizers": finalizers or [], "deleting": False}, "spec": spec, "status": None}
        self.objects[kind][name] = entry
        self.publish(kind, entry, False)
        return entry

    def delete(self, kind, name):
        entry = self.objects.get(kind, {}).pop(name, None)
        if entry is None:
            return None
        self.revision += 1
        entry = dict(entry, metadata=dict(entry["metadata"], rev=self.revision))
        self.publish(kind, entry, True)
        return time.monotonic()

    def publish(self, kind, entry, deleted):
        text = json.dumps({"object": entry, "deleted": deleted})
        self.events.append((self.revision, time.monotonic(), kind, text))
        while self.events and time.monotonic() - self.events[0][1] > HISTORY_SECONDS:
            self.events.pop(0)
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_waiting(self, kind=None):
        """Cuts watches that wait off; those of one kind only, if it is given."""
        cut = [writer for writer, waiting in self.waiting.items() if kind in (None, waiting)]
        for writer in cut:
            writer.transport.abort()
        return len(cut)

    async def serve(self, reader, writer):
        try:
            while request := await read_message(reader):
                status, text = await self.handle(writer, *request)
                writer.write(encode(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, text.encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # The caller was stopped, or the case ends.
        finally:
            writer.close()

    async def handle(self, writer, line, _fields, body):
        path, _, query = line[1].partition("?")
        parameters = dict(part.split("=", 1) for part in query.split("&") if part)
        kind, _, name = path.removeprefix("/v1/objects/").partition("/")
        if line[0] == "GET" and "watch" in parameters:
            wait = float(parameters.get("wait_ms", 0)) / 1000
            self.waiting[writer] = kind
            try:
                return await self.watch(kind, int(parameters["watch"]), wait)
            finally:
                self.waiting.pop(writer, None)
        if line[0] == "GET" and not name:
            return self.page(kind, parameters.get("after", ""))
        entry = self.objects.get(kind, {}).get(name)
        if line[0] == "GET":
            return (200, json.dumps(entry)) if entry else (404, "{}")
        if line[0] == "DELETE":
            return (200, json.dumps(entry)) if self.delete(kind, name) else (404, "{}")
        document = json.loads(body)
        name = document["metadata"]["name"]
        entry = self.objects.get(kind, {}).get(name)
        if line[0] == "POST" and entry:
            return 409, json.dumps(entry)
        if line[0] == "PUT" and not entry:
            return 404, "{}"
        if "rev" in document["metadata"] and entry and document["metadata"]["rev"] != entry["metadata"]["rev"]:
            return 409, json.dumps(entry)
        return 200, json.dumps(self.change(kind, name, document["spec"], document["metadata"].get("finalizers")))

    def page(self, kind, after):
        items, size, more = [], 0, False
        for name in sorted(self.objects.get(kind, {})):
            if name <= after:
                continue
            text = json.dumps(self.objects[kind][name])
            if items and (len(items) >= PAGE_ITEMS or size + len(text) > PAGE_BYTES):
                more = True
                break
            items.append(text)
            size += len(text)
        return 200, '{"items": [%s], "more": %s, "store_revision": %d}' % (
            ", ".join(items), "true" if more else "false", self.revision)

    async def watch(self, kind, revision, wait):
        deadline = time.monotonic() + wait
        while True:
            if self.events and revision < self.events[0][0] - 1 and revision < self.revision - len(self.events):
                return 410, "{}"
            found = [text for at, _, changed, text in self.events if changed == kind and at > revision]
            remaining = deadline - time.monotonic()
            if found or remaining <= 0:
                return 200, '{"events": [%s], "store_revision": %d}' % (", ".join(found), self.revision)
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass


class Backend:
    """One incarnation of a backend server. Subclasses override respond()."""

    def __init__(self, record, identity, service, zone="a1", slots=6, work=0.3):
        self.record, self.identity, self.service, self.zone = record, identity, service, zone
        self.slots, self.work = slots, work
        self.runs = {}  # Times by request id.
        self.writers = set()
        self.is_accepting = True

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def send_heartbeats(self, store):
        """Writes the entry every HEARTBEAT_SECONDS, with a higher sequence each time."""
        sequence = 1
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            sequence += 1
            store.put("servers", self.identity, self.entry(sequence=sequence))

    def entry(self, state="ready", sequence=1):
        return {"address": f"127.0.0.1:{self.port}", "born": BORN,
                "info": {"service": self.service, "config_version": "v1", "zone": self.zone,
                         "max_concurrency": self.slots},
                "status": {"state": state, "sequence": sequence, "cold_remaining_s": 0}}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                line, fields, body = request
                request_id = fields.get("attempt-id", "")
                if fields.get("expect-instance", self.identity) != self.identity:
                    writer.write(encode("HTTP/1.1 421 Misdirected Request",
                                        {"Attempt-Id": request_id, "Instance-Id": self.identity}))
                    continue
                if not await self.admit(writer, fields):
                    self.record(f"rejected {request_id} at {self.identity}")
                    continue
                await self.respond(writer, line, fields, body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def admit(self, _writer, fields):
        """Whether the request is taken; otherwise it was rejected as not run."""
        self.record(f"reaches {fields.get('attempt-id', '')} {self.identity}")
        return True

    def begin(self, fields):
        """Records that a run begins."""
        request_id = fields.get("attempt-id", "")
        self.runs.setdefault(request_id, []).append(time.monotonic())
        self.record(f"run {request_id} at {self.identity}")

    def head(self, fields):
        return {"Attempt-Id": fields.get("attempt-id", ""), "Response-Seal": f"{self.identity}.{self.service}"}

    async def respond(self, writer, line, fields, _body):
        if fields.get("attempt-id", "") not in self.runs:
            self.begin(fields)
        await asyncio.sleep(self.work)
        writer.write(encode("HTTP/1.1 200 OK", self.head(fields), answer_body(fields.get("attempt-id", ""))))


BORN = int(time.time() * 1000)


def answer_body(request_id, size=5000):
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return (digest * (size // 64 + 1))[:size].encode()


def route(name, prefix, service, kind, timeout_s=2.5, target_s=0.6, priority=1, host="shop.example"):
    return {"resource_type": "routes", "metadata": {"name": name}, "spec": {
        "host": host, "path_prefix": prefix, "kind": kind, "timeout_s": timeout_s, "target_latency_s": target_s,
        "priority": priority, "service": service, "max_attempts": 2, "session_affinity": False, "allowed_regions": []}}


def service(name):
    return {"resource_type": "services", "metadata": {"name": name}, "spec": {
        "health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": False, "cold_start_s": 3.0,
        "cold_per_s": 5.2}}


LIMITS = {"resource_type": "limits", "metadata": {}, "spec": {
    "max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15}}


def configuration(version, resources):
    return {"config_version": version, "base_version": version - 1, "resources": [*resources, LIMITS]}


TAKEN_PORTS = set()


def free_ports(count):
    """Consecutive ports that are free for TCP and UDP now."""
    for first in range(21000 + os.getpid() % 200 * 10, 32000, 10):
        if first in TAKEN_PORTS:
            continue
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sockets.append(socket.socket(socket.AF_INET, kind))
                    sockets[-1].bind(("127.0.0.1", port))
            TAKEN_PORTS.add(first)
            return first
        except OSError:
            continue
        finally:
            for opened in sockets:
                opened.close()
    raise RuntimeError("no free ports")


def deploy_template():
    """The settings template that the deploy file names."""
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if line.startswith("template = "):
            return (ROOT / line.partition("=")[2].strip().strip('"')).read_text()
    raise RuntimeError("the deploy file has no template")


def settings_fields(name, zone, first_port, store_port, memory_mb=260):
    """The fields that the platform fills into the template, as DEPLOY.md lists them."""
    return {
        "node_name": name, "role": "entry", "machine_class": "front", "serves": ["front", "directory"],
        "ip": "127.0.0.1", "zone": zone, "region": ZONES[zone], "zones": ZONES,
        "internal_port_range": [first_port + 4, first_port + 9], "heartbeat_s": 1.5,
        "listen_addrs": {"front": f"127.0.0.1:{first_port}", "ready": f"127.0.0.1:{first_port + 1}",
                         "directory": f"127.0.0.1:{first_port + 2}"},
        "limits": {"cpu_share": 0.2, "cpu_cores": 1, "memory_mb": memory_mb, "max_fds": 4100, "link_mbps": 1000.0,
                   "disk_mb": 0},
        "guarantee_params": {"drain_s": 2.5, "grace_s": 6, "config_apply_s": 2.5, "retry_budget_ratio": 0.2,
                             "retry_budget_slack": 64, "ttl_max_s": 5},
        "platform": {"address": f"127.0.0.1:{store_port}", "form": "objects", "writes_per_s": 400,
                     "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_s": 1},
    }


ZONES = {"a1": "alpha", "b1": "beta"}


def render(template, fields):
    """Fills in the template: values and sections over tables. Nothing is returned for a value that is not there."""
    def value_of(name, scope):
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def section(match):
        table = fields.get(match[1]) or {}
        return "".join(match[2].replace("{{@}}", key).replace("{{.}}", str(value)) for key, value in table.items())

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: value_of(match[1], fields), text)


class Node:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, record, name, store_port, zone="a1", memory_mb=260):
        self.record, self.name = record, name
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="clementinefall-review-"))
        self.first = free_ports(10)
        self.fields = settings_fields(name, zone, self.first, store_port, memory_mb)
        self.settings = self.folder / "boot.toml"
        self.place_settings()
        self.process = None

    def place_settings(self):
        """Places the settings at their location, as the platform does at every start and whenever they change."""
        fresh = self.settings.with_suffix(".new")
        fresh.write_text(render(deploy_template(), self.fields))
        fresh.rename(self.settings)

    @property
    def port(self):
        return self.first

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CLEMENTINEFALL_SETTINGS"] = str(self.settings)
        self.log = open(self.folder / "log.txt", "ab")
        command = deploy_command()
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.record(f"start {self.name}: {' '.join(command)}, pid {self.process.pid}, callers at port {self.port}")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        self.record(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def resident_mb(self):
        try:
            for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except (OSError, ValueError):
            pass
        return 0.0

    async def ready(self, seconds=20):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.first + 1)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                answer = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if answer and answer[0][1] == "200":
                    self.record(f"{self.name} is ready")
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    def logged(self, text):
        """The first line of the process's log that has `text`, without the name of its folder."""
        lines = (self.folder / "log.txt").read_text(errors="replace").splitlines()
        return next((line.replace(str(self.folder), "") for line in lines if text in line), None)

    def end(self):
        if self.is_running():
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def request_bytes(method, path, request_id, deadline_ms, body=b"", host="shop.example", extra=None):
    fields = {"Host": host, "Attempt-Id": request_id, "Deadline-Remaining": str(deadline_ms), **(extra or {})}
    head = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
    if method == "POST":
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body


def run_case(main):
    """Runs main(record, trouble) and exits with 1 when it returns a broken rule, 0 when not, 2 when it could not run."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"disruption: {'on' if trouble else 'off'}")
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # Also a case that is stopped ends its processes.
    try:
        broken = asyncio.run(main(record, trouble))
    except (Exception, KeyboardInterrupt) as error:  # pylint: disable=broad-except
        record.say(f"the case could not run: {error!r}")
        sys.exit(2)
    record.say("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
