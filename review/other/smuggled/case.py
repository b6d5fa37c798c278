"""A client sends a charge whose Transfer-Encoding does not end in chunked, so that the length of its body cannot be
known. The body holds the text of another charge, which a backend server then runs. Writes record.txt; TROUBLE=0 sends
the same body in chunks."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "lib"))
from harness import Backend, Caller, Node, Store, configuration, free_ports, limits, main, route, service

ZONES = {"merr-a": "merrimack"}
HOST = "till.example"
CODINGS = ("gzip", "identity", "chunked, identity")


def inner_request(number):
    """Text in a body; no client sends it as a request."""
    return (f"POST /charge/inner HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: inner-{number}\r\n"
            "Deadline-Remaining: 4000\r\nContent-Length: 0\r\n\r\n").encode()


async def case(record, folder, trouble, nodes):
    store = Store()
    store_port = await store.listen()
    backend = Backend(record, "i-till-1", "tillgate", "merr-a")
    await backend.listen()
    backend.register(store)
    store.write("config", "main", configuration(1, [
        route("charge", HOST, "/charge/", "non_idempotent", "tillgate", timeout_s=4), service("tillgate"), limits()]))
    node = Node(record, folder, "front-merr-a-1", "merr-a", ZONES, store_port, free_ports(8))
    nodes.append(node)
    await node.start()
    await node.wait_until_ready()
    for number, coding in enumerate(CODINGS):
        body = inner_request(number)
        if not trouble:
            coding = "chunked"
            body = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
        head = (f"POST /charge/outer HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: outer-{number}\r\n"
                f"Deadline-Remaining: 4000\r\nTransfer-Encoding: {coding}\r\n\r\n").encode()
        caller = Caller(record, node)
        await caller.connect()
        record.write("sent", id=f"outer-{number}", coding=coding.replace(" ", ""), body=len(body))
        caller.writer.write(head + body)
        await caller.writer.drain()
        for _ in range(2):  # A second answer on the connection belongs to the inner request.
            await caller.receive(f"outer-{number}", 1.0)
        caller.close()
    smuggled = [request_id for _, request_id, *_ in backend.runs if request_id.startswith("inner-")]
    record.write("result", run_but_not_sent=",".join(smuggled) or "none")
    print(f"requests that ran though no client sent them: {len(smuggled)} of {len(CODINGS)}")
    return not smuggled


main(case, pathlib.Path(__file__).parent)
