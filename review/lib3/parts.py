"""Parts of the cases: the platform's store, and the processes of the deploy file with their settings, on loopback.

The store does what the users' pages say. Times are in seconds.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2  # Exit codes.


async def read_message(reader):
    """Reads one HTTP message with a Content-Length or chunked body; None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    fields = {}
    while (field := await reader.readline()) != b"\r\n":
        if not field.endswith(b"\r\n"):
            return None
        name, _, value = field.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "") == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return line.decode("latin-1").rstrip().split(" ", 2), fields, body


def message(first_line, fields, body=b""):
    head = [first_line] + [f"{name}: {value}" for name, value in fields.items()] + [f"Content-Length: {len(body)}"]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class Record:
    """The record of a case: one line for each event, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


HEARTBEAT_S = 1.5


class Store:
    """The platform's metadata store. Each process gets a port of its own, so that the store can reject one of them."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.events = []  # (revision, kind, object, deleted)
        self.discarded = 0  # Changes up to this revision are gone.
        self.changed = asyncio.Event()
        self.modes = {}  # By port: "ok", "busy" (503), "reset" or "silent".
        self.writers = {}  # Open connections by port.

    async def listen(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.modes[port] = "ok"
        return port

    def set_mode(self, port, mode):
        self.modes[port] = mode
        if mode == "reset":
            for writer in self.writers.get(port, set()):
                writer.transport.abort()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, kind, name, spec):
        self.revision += 1
        before = self.objects.get(kind, {}).get(name)
        created = before["metadata"]["created_rev"] if before else self.revision
        metadata = {"name": name, "rev": self.revision, "created_rev": created, "finalizers": [], "deleting": False}
        entry = {"metadata": metadata, "spec": spec, "status": None}
        self.objects.setdefault(kind, {})[name] = entry
        self.events.append((self.revision, kind, entry, False))
        self.notify()

    def delete(self, kind, name):
        entry = self.objects.get(kind, {}).pop(name, None)
        if entry is None:
            return
        self.revision += 1
        entry = dict(entry, metadata=dict(entry["metadata"], rev=self.revision))
        self.events.append((self.revision, kind, entry, True))
        self.notify()

    async def serve(self, reader, writer):
        port = writer.get_extra_info("sockname")[1]
        self.writers.setdefault(port, set()).add(writer)
        try:
            while request := await read_message(reader):
                mode = self.modes[port]
                if mode == "silent":
                    await asyncio.sleep(3600)
                if mode == "reset":
                    writer.transport.abort()
                    return
                status, document = (503, {}) if mode == "busy" else await self.handle(port, *request)
                if self.modes[port] == "silent":
                    await asyncio.sleep(3600)
                writer.write(message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"},
                                     json.dumps(document).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The process has ended or given the call up, or the case ends.
        finally:
            self.writers[port].discard(writer)
            writer.close()

    async def handle(self, port, line, _fields, body):
        path, _, query = line[1].partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix("/v1/objects/").partition("/")
        kind, name = urllib.parse.unquote(kind), urllib.parse.unquote(name)
        existing = self.objects.get(kind, {})
        if line[0] == "GET" and name:
            return (200, existing[name]) if name in existing else (404, {})
        if line[0] == "GET" and "watch" in parameters:
            return await self.watch(port, kind, int(parameters["watch"]), int(parameters["wait_ms"]) / 1000)
        if line[0] == "GET":
            names = sorted(n for n in existing if n > parameters.get("after", ""))
            return 200, {"items": [existing[n] for n in names[:500]], "more": len(names) > 500,
                         "store_revision": self.revision}
        document = json.loads(body) if body else {}
        if line[0] == "POST":
            name = document["metadata"]["name"]
            if name in existing:
                return 409, existing[name]
            self.write(kind, name, document.get("spec"))
            return 200, self.objects[kind][name]
        if name not in existing:
            return 404, {}
        expected = document.get("metadata", {}).get("rev") or parameters.get("rev")
        if expected is not None and int(expected) != existing[name]["metadata"]["rev"]:
            return 409, existing[name]
        if line[0] == "DELETE":
            self.delete(kind, name)
            return 200, {}
        if document.get("spec") != existing[name]["spec"]:
            self.write(kind, name, document.get("spec"))
        return 200, self.objects[kind][name]

    async def watch(self, port, kind, revision, wait):
        deadline = time.monotonic() + wait
        while True:
            if revision < self.discarded:
                return 410, {}
            events = [{"object": entry, "deleted": deleted} for at, changed, entry, deleted in self.events
                      if changed == kind and at > revision]
            left = deadline - time.monotonic()
            if events or left <= 0 or self.modes[port] != "ok":
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass  # The next round returns no events.


def free_ports(count):
    """Ports that nothing listens on, below those that the kernel hands out."""
    ports = []
    port = 21000 + os.getpid() % 50 * 150
    while len(ports) < count:
        port += 1
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                ports.append(port)
            except OSError:
                pass  # In use.
    return ports


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return ""
    return value


def render(template, fields):
    """Fills in the deploy file's template: values, and sections over tables."""
    def section(match):
        rows = lookup(fields, match.group(1))
        return "".join(match.group(2).replace("{{@}}", str(key)).replace("{{.}}", str(value))
                       for key, value in rows.items())
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(fields, match.group(1))), text)


class Node:
    """A process of the deploy file with its settings file."""

    def __init__(self, name, zone, zones, store_port, folder, bounds, memory_mb=260):
        self.name, self.folder = name, folder
        front, ready, directory, control, *internal = take_ports()
        self.front, self.ready, self.directory = front, ready, directory
        self.fields = {
            "node_name": name, "zone": zone, "region": zones[zone], "ip": "127.0.0.1", "zones": zones,
            "internal_port_range": [internal[0], internal[-1]],
            "listen_addrs": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}",
                             "directory": f"127.0.0.1:{directory}", "control": f"127.0.0.1:{control}"},
            "limits": {"memory_mb": memory_mb, "max_fds": 4100},
            "platform": {"address": f"127.0.0.1:{store_port}", "reads_per_s": 2000, "ttl_min_s": 1},
            "guarantee_params": bounds}
        self.process = None

    def start(self):
        path = self.folder / f"{self.name}.boot"
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        path.write_text(render((ROOT / role["template"]).read_text(), self.fields))
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(role["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                                            env=dict(os.environ, CLEMENTINEFALL_SETTINGS=str(path)))

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def wait_ready(self, limit=12):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                answer = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if answer and answer[0][1] == "200":
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass  # Not up yet.
            await asyncio.sleep(0.1)
        return False


taken_ports = []


def take_ports():
    """Four ports for listeners and five in a row for traffic between the processes."""
    if not taken_ports:
        taken_ports.extend(free_ports(140))
    def take(count):
        for start in range(len(taken_ports) - count + 1):
            block = taken_ports[start:start + count]
            if block[-1] - block[0] == count - 1:
                del taken_ports[start:start + count]
                return block
        raise RuntimeError("no free ports in a row")
    return [*take(4), *take(5)]


def configuration(version, routes, services, limits=None):
    """The spec of config/main."""
    resources = [{"resource_type": "routes", "metadata": {"name": name}, "spec": spec} for name, spec in routes.items()]
    resources += [{"resource_type": "services", "metadata": {"name": name}, "spec": spec}
                  for name, spec in services.items()]
    resources.append({"resource_type": "limits", "metadata": {"name": "limits"}, "spec": {
        "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_s": 5, "idle_timeout_s": 15,
        **(limits or {})}})
    return {"config_version": version, "resources": resources}


def route(service, kind, prefix, timeout_s, target_s=0.6, attempts=2, host="shop.example", **more):
    return {"host": host, "path_prefix": prefix, "kind": kind, "timeout_s": timeout_s, "target_latency_s": target_s,
            "priority": 1, "service": service, "max_attempts": attempts, "session_affinity": False,
            "allowed_regions": [], **more}


def service(max_connections=390, cold_start_s=3, cold_per_s=5.2):
    return {"health_path": "/health", "max_connections": max_connections, "cold_start_s": cold_start_s,
            "cold_per_s": cold_per_s}


def server_entry(port, service_name, zone, slots, sequence=1, state="ready", born=None, cold=0):
    return {"address": f"127.0.0.1:{port}", "born": born or int(time.time() * 1000),
            "info": {"service": service_name, "config_version": "v1", "zone": zone, "max_concurrency": slots},
            "status": {"state": state, "sequence": sequence, "cold_remaining_s": cold}}


async def send_heartbeats(store, name, entry, is_running, cold=0.0):
    """Writes the entry of a backend server every HEARTBEAT_S, with a higher sequence each time, while it runs."""
    sequence, cold_until = entry["status"]["sequence"], time.monotonic() + cold
    pause = random.uniform(0, HEARTBEAT_S)  # They don't all write at once.
    while True:
        await asyncio.sleep(pause)
        pause = HEARTBEAT_S
        if not is_running():
            return
        sequence += 1
        cold_left = round(max(0.0, cold_until - time.monotonic()), 3)
        store.write("servers", name, {**entry, "status": {
            **entry["status"], "sequence": sequence, "cold_remaining_s": cold_left}})


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case_file, case, limit=110):
    """Runs `case(record, folder, nodes)`, which returns an exit code and adds the processes that it starts to `nodes`.
    They are ended in any case, also when the case is stopped from outside."""
    record = Record(pathlib.Path(case_file).resolve().parent / "record.txt")
    folder = pathlib.Path(tempfile.mkdtemp(prefix="clementinefall-case-"))
    nodes = []

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)  # Cancelled stand-ins.
        return await asyncio.wait_for(case(record, folder, nodes), limit)

    code = NOT_RUN
    try:
        code = asyncio.new_event_loop().run_until_complete(run())
    except BaseException as error:  # Also a cancellation: the case could not run to its end.
        record(f"the case could not run: {error!r}")
        traceback.print_exc()
    finally:
        for node in nodes:
            node.end()
        shutil.rmtree(folder, ignore_errors=True)
    meaning = {BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "the case could not run"}[code]
    record(meaning)
    print(meaning, flush=True)
    sys.stderr.flush()
    os._exit(code)  # Does not wait for the stand-ins, whose callers are gone.
