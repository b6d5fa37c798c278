"""Stand-ins for the scripts of review/11 and later: the platform's store, backends, clients, and the start of the nodes.

They follow PROTOCOL.md and DEPLOY.md and run in one asyncio loop on the loopback interface. Times are in seconds.
"""

import asyncio
import itertools
import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = "shop.example"


class Record:
    """What was sent, answered and run, one line each, in record.txt beside the script."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def __call__(self, *parts):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {' '.join(str(part) for part in parts)}\n")

    def close(self, *lines):
        for line in lines:
            print(line)
            self.file.write(line + "\n")
        self.file.close()


FIRST_PORT, LAST_PORT = 12000, 31000
next_port = FIRST_PORT + os.getpid() * 97 % (LAST_PORT - FIRST_PORT)


def free_ports(count):
    """A run of `count` free ports for one process, below the usual range of outgoing connections."""
    global next_port
    for _ in range(1000):
        if next_port + count > LAST_PORT:
            next_port = FIRST_PORT
        ports = list(range(next_port, next_port + count))
        next_port += count
        sockets = []
        try:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    opened = socket.socket(type=kind)
                    sockets.append(opened)
                    opened.bind(("127.0.0.1", port))
            return ports
        except OSError:
            continue
        finally:
            for opened in sockets:
                opened.close()
    raise RuntimeError("no free ports")


async def read_head(reader):
    """First line and fields (in small letters) of a message; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def encode(first_line, fields, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields.items()] + [f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store: objects by kind and name, one counter of revisions, lists and watches."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec=None, status=None, finalizers=()):
        before = self.objects.get(kind, {}).get(name)
        content = {"spec": spec, "status": status}
        if before and {key: before[key] for key in content} == content and before["metadata"]["finalizers"] == list(finalizers):
            return before
        self.revision += 1
        created = before["metadata"]["created_rev"] if before else self.revision
        entry = {"metadata": {"name": name, "rev": self.revision, "created_rev": created, "finalizers": list(finalizers),
                              "deleting": False}, **content}
        self.objects.setdefault(kind, {})[name] = entry
        self.tell(kind, entry, False)
        return entry

    def remove(self, kind, name):
        entry = self.objects.get(kind, {}).pop(name, None)
        if entry is not None:
            self.revision += 1
            self.tell(kind, dict(entry, metadata=dict(entry["metadata"], rev=self.revision)), True)
        return entry

    def tell(self, kind, entry, deleted):
        self.events.append((self.revision, kind, {"object": entry, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                (method, target, _), fields = head
                body = await read_body(reader, fields)
                status, answer = await self.handle(method, target, json.loads(body) if body else {})
                writer.write(encode(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        entry = self.objects.get(kind, {}).get(name) if name else None
        if method == "GET" and "watch" in query:
            return 200, await self.watch(kind, int(query["watch"]), float(query.get("wait_ms", 0)) / 1000)
        if method == "GET" and name:
            return (200, entry) if entry else (404, {})
        if method == "GET":
            names = sorted(n for n in self.objects.get(kind, {}) if n > query.get("after", ""))
            items = [self.objects[kind][n] for n in names[:500]]
            return 200, {"items": items, "more": len(names) > 500, "store_revision": self.revision}
        metadata = body.get("metadata") or {}
        if method == "POST":
            name = metadata["name"]
            if name in self.objects.get(kind, {}):
                return 409, self.objects[kind][name]
            return 200, self.put(kind, name, body.get("spec"), None, metadata.get("finalizers", ()))
        if entry is None:
            return 404, {}
        revision = metadata.get("rev", query.get("rev"))
        if revision is not None and int(revision) != entry["metadata"]["rev"]:
            return 409, entry
        if method == "DELETE":
            return 200, self.remove(kind, name)
        if len(parts) > 2:
            return 200, self.put(kind, name, entry["spec"], body.get("status"), entry["metadata"]["finalizers"])
        return 200, self.put(kind, name, body.get("spec"), entry["status"], metadata.get("finalizers", ()))

    async def watch(self, kind, after, wait):
        until = time.monotonic() + wait
        while True:
            events = [event for revision, of, event in self.events if of == kind and revision > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def route(name, kind, service, timeout=2.0, aim=0.5, priority=1, attempts=2):
    return {"resource_type": "routes", "metadata": {"name": name},
            "spec": {"host": HOST, "path_prefix": f"/{name}/", "kind": kind, "timeout_s": timeout, "target_latency_s": aim,
                     "priority": priority, "service": service, "max_attempts": attempts, "session_affinity": False,
                     "allowed_regions": []}}


def service(name):
    return {"resource_type": "services", "metadata": {"name": name},
            "spec": {"health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": False, "cold_start_s": 3.0,
                     "cold_per_s": 5.2}}


def limits():
    return {"resource_type": "limits", "metadata": {},
            "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15}}


class Backend:
    """One backend. `answer(backend, number, request)` is awaited in a slot and gives the bytes of the answer, and whether
    the connection breaks after them."""

    HEARTBEAT = 1.5

    def __init__(self, name, service_name, zone, store, record, answer, slots=6, queue=18):
        self.name, self.service, self.zone = name, service_name, zone
        self.store, self.record, self.answer = store, record, answer
        self.slots, self.queue = slots, queue
        self.running, self.waiting, self.sequence, self.number = 0, 0, 0, 0
        self.free = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.report()
        self.beats = asyncio.create_task(self.beat())

    def report(self):
        self.sequence += 1
        self.store.put("servers", self.name,
                       {"address": f"127.0.0.1:{self.port}", "born": self.born,
                        "info": {"service": self.service, "config_version": "v1", "zone": self.zone,
                                 "max_concurrency": self.slots},
                        "status": {"state": "ready", "sequence": self.sequence, "cold_remaining_s": 0}})

    async def beat(self):
        while True:
            await asyncio.sleep(self.HEARTBEAT)
            self.report()

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def serve(self, reader, writer):
        """One request at a time on a connection. Drops the request when the connection closes."""
        try:
            while head := await read_head(reader):
                (method, target, _), fields = head
                body = await read_body(reader, fields)
                work = asyncio.create_task(self.handle(method, target, fields, body))
                gone = asyncio.create_task(reader.read(1))
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    await asyncio.wait({work})
                    if gone.done() and not gone.exception() and gone.result():
                        raise RuntimeError("a second request on a connection whose first one is unanswered")
                    return
                gone.cancel()
                await asyncio.wait({gone})
                data, breaks = work.result()
                writer.write(data)
                await writer.drain()
                if breaks:
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, fields, body):
        identity = fields.get("attempt-id", "")
        head = {"Attempt-Id": identity, "Server-Load": self.load(), "Keep-Alive": "timeout=10"}
        if fields.get("expect-instance", self.name) != self.name:
            return encode("HTTP/1.1 421 Misdirected Request", {"Instance-Id": self.name}), False
        if self.running >= self.slots and self.waiting >= self.queue:
            return encode("HTTP/1.1 503 Service Unavailable", dict(head, **{"Not-Executed": "1"})), False
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.number += 1
        started = time.monotonic()
        self.record("run", self.name, identity, method, target, f"body={len(body)}")
        try:
            left = float(fields.get("deadline-remaining", "60000")) / 1000
            answer = await asyncio.wait_for(self.answer(self, self.number, identity, target, body), left)
            self.record("ran", self.name, identity, f"{time.monotonic() - started:.3f}")
            return answer
        except asyncio.TimeoutError:
            self.record("deadline", self.name, identity)
            return encode("HTTP/1.1 504 Gateway Timeout", dict(head, **{"Response-Seal": self.name})), False
        except asyncio.CancelledError:
            self.record("dropped", self.name, identity, f"{time.monotonic() - started:.3f}")
            raise
        finally:
            self.running -= 1
            self.free.release()

    def success(self, identity, body):
        return encode("HTTP/1.1 200 OK", {"Attempt-Id": identity, "Response-Seal": f"{self.name}.{identity}",
                                          "Server-Load": self.load(), "Keep-Alive": "timeout=10"}, body)


class Node:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, name, zone, region, zones, store, folder, record, bounds):
        self.name, self.record = name, record
        ports = free_ports(8)
        self.front, self.ready, self.directory = ports[0], ports[1], ports[2]
        internal = ports[3:]
        text = (f"[instance]\nname = {name}\nzone = {zone}\nregion = {region}\n\n[zones]\n"
                + "".join(f"{key} = {value}\n" for key, value in zones.items())
                + f"\n[listen]\ntraffic = 127.0.0.1:{self.front}\nready = 127.0.0.1:{self.ready}\n"
                f"lookup = 127.0.0.1:{self.directory}\npeer = 127.0.0.1:{internal[0]}\n"
                f"metrics = 127.0.0.1:{internal[-1]}\nfirst_internal_port = {internal[0]}\n"
                f"last_internal_port = {internal[-1]}\n\n[platform]\naddress = 127.0.0.1:{store.port}\n"
                "reads_per_second = 2000\n\n[limits]\nmemory_mb = 260\ndescriptors = 4100\n\n[retries]\nratio = 0.2\n"
                "allowance = 64\n\n[lookup]\nshortest_lifetime_s = 1\nlongest_lifetime_s = 5\n\n[stop]\n"
                f"grace_s = {bounds['grace_s']}\n\n[bounds]\ndrain_s = {bounds['drain_s']}\n"
                f"configuration_s = {bounds['config_apply_s']}\n")
        self.settings = pathlib.Path(folder) / f"{name}.settings"
        self.settings.write_text(text)
        self.log_path = pathlib.Path(folder) / f"{name}.log"

    def start(self):
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        command = shlex.split(next(iter(deploy["roles"].values()))["run"])
        command[0] = str(REPOSITORY / command[0])
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen(command, cwd=REPOSITORY, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                            env=dict(os.environ, CLEMENTINEFALL_SETTINGS=str(self.settings)))
        self.record("start", self.name, f"pid={self.process.pid}")

    async def await_ready(self, longest=15):
        until = time.monotonic() + longest
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200" in line:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Deployment:
    """A store, backends and nodes, all of which end with the `async with` block."""

    ZONES = {"merr-a": "merrimack", "merr-b": "merrimack"}
    BOUNDS = {"grace_s": 6, "drain_s": 2.5, "config_apply_s": 2.5, "stable_window_s": 4}  # Of the site grpv-dispatch.

    def __init__(self, script):
        self.record = Record(pathlib.Path(script).resolve().parent)
        self.folder = tempfile.TemporaryDirectory()
        self.nodes, self.backends = [], []
        self.ids = itertools.count(1)

    async def __aenter__(self):
        self.store = Store()
        await self.store.listen()
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            node.stop()
        for backend in self.backends:
            backend.beats.cancel()
        self.folder.cleanup()

    def configure(self, version, *routes):
        services = [service(name) for name in sorted({entry["spec"]["service"] for entry in routes})]
        self.store.put("config", "main", {"config_version": version, "resources": [*routes, *services, limits()]})

    async def add_backends(self, service_name, count, answer, slots=6, backend_type=Backend):
        zones = list(self.ZONES)
        for index in range(count):
            backend = backend_type(f"i-{service_name}-{index}", service_name, zones[index % len(zones)], self.store, self.record,
                              answer, slots)
            await backend.listen()
            self.backends.append(backend)

    async def start_nodes(self, count):
        zones = list(self.ZONES)
        for index in range(count):
            zone = zones[index % len(zones)]
            node = Node(f"front-{zone}-{index}", zone, self.ZONES[zone], self.ZONES, self.store, self.folder.name, self.record,
                        self.BOUNDS)
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            if not await node.await_ready():
                return False
        await asyncio.sleep(self.BOUNDS["stable_window_s"])  # Machines that have just started are not in touch.
        return True

    def identity(self):
        return f"{next(self.ids):08x}"


def run(script, scenario):
    """Runs scenario(deployment, has_trouble), which returns the verdict: 1 broken, 0 held, 2 could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        async with Deployment(script) as deployment:
            try:
                code, *lines = await asyncio.wait_for(scenario(deployment, has_trouble), 110)
            except asyncio.TimeoutError:
                code, lines = 2, ["the case took too long"]
            dead = [node.name for node in deployment.nodes if node.process.poll() is not None]
            if dead:
                lines.append(f"processes that had ended before the end of the script: {dead}")
            deployment.record.close(*lines, f"verdict {code}")
            return code

    try:
        code = asyncio.run(main())
    except (OSError, RuntimeError) as error:
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(code)
