"""Stand-in for a replica of the platform.

Usage: replica.py ID IP:PORT STORE SERVICE EVENTS [--unframed] [--pause MS] [--work MS]
                  [--engine] [--cold MS]

Registers itself, writes its entry again every heartbeat, and answers requests. EVENTS is the file
to which it appends what it does, one line each with the steady clock's time in seconds.
"""

import argparse
import http.client
import json
import socket
import threading
import time

HEARTBEAT_S = 1.2

parser = argparse.ArgumentParser()
parser.add_argument("id")
parser.add_argument("address")
parser.add_argument("store")
parser.add_argument("service")
parser.add_argument("events")
parser.add_argument("--unframed", action="store_true", help="answers end with their channels")
parser.add_argument("--pause", type=int, default=0, help="ms between the halves of an answer")
parser.add_argument("--work", type=int, default=30, help="ms of work on a request")
parser.add_argument("--engine", action="store_true", help="makes streams of events")
parser.add_argument("--length", type=int, default=800, help="bytes of an answer's body")
parser.add_argument("--cold", type=int, default=0, help="ms for which it is cold after its start")
options = parser.parse_args()

LOCK = threading.Lock()
LOG = open(options.events, "a")
STARTED = time.monotonic()


def note(text):
    with LOCK:
        print(f"{time.monotonic():.4f} {text}", file=LOG, flush=True)


def entry(sequence, state="ready"):
    cold_ms = max(0, options.cold - int((time.monotonic() - STARTED) * 1000))
    return {
        "service": options.service, "address": options.address, "zone": "zrh-a", "version": "v1",
        "slots": 24 if options.engine else 6, "state": state, "cold-remaining-ms": cold_ms,
        "stage": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}],
        "sequence": sequence,
    }


def write_entry(spec):
    ip, port = options.store.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=2)
    body = json.dumps({"metadata": {"name": options.id}, "spec": spec})
    for method, path in (
        ("PUT", f"/api/objects/servers/{options.id}"), ("POST", "/api/objects/servers"),
    ):
        connection.request(method, path, body=body)
        answer = connection.getresponse()
        answer.read()
        if answer.status < 300:
            break
    connection.close()


def heartbeat():
    sequence = 0
    while True:
        sequence += 1
        try:
            write_entry(entry(sequence))
        except OSError:
            pass
        time.sleep(HEARTBEAT_S)


def read_request(file):
    first = file.readline().decode()
    if not first.strip():
        return None
    method, path, _ = first.split(" ", 2)
    headers = {}
    while (line := file.readline().decode()) not in ("\r\n", "\n", ""):
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = file.read(int(headers.get("content-length", 0)))
    return method, path, headers, body


def whole_body(request_id):
    text = f"whole answer to {request_id}, {options.length} bytes "
    return (text * (options.length // len(text) + 1))[: options.length].encode()


def send_json(sock, status, body):
    data = json.dumps(body).encode()
    sock.sendall(
        f"HTTP/1.1 {status} Whatever\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n".encode() + data
    )


def refuse(sock, status):
    sock.sendall(
        f"HTTP/1.1 {status} Not run\r\nFulmarpath-Not-Executed: 1\r\n"
        f"Fulmarpath-Instance-Id: {options.id}\r\nContent-Length: 0\r\n\r\n".encode()
    )


def answer(sock, method, path, headers):
    """Answers one request; false if the channel ends with it."""
    request_id = headers.get("fulmarpath-request-id")
    if path == "/healthz":
        sock.sendall(
            f"HTTP/1.1 200 OK\r\nFulmarpath-Instance-Id: {options.id}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        return True
    if headers.get("fulmarpath-expect-instance", options.id) != options.id:
        refuse(sock, 421)
        return True
    if not request_id:
        refuse(sock, 400)
        return True
    note(f"runs {request_id} ({method} {path}), tenant {headers.get('fulmarpath-tenant')}")
    if options.engine:
        return stream(sock, request_id)
    time.sleep(options.work / 1000)
    body = whole_body(request_id)
    framing = "Connection: close" if options.unframed else f"Content-Length: {len(body)}"
    head = (
        f"HTTP/1.1 200 OK\r\nFulmarpath-Request-Id: {request_id}\r\n"
        f"Fulmarpath-Response-Signature: sig.{request_id}\r\n{framing}\r\n\r\n"
    )
    half = len(body) // 2
    sock.sendall(head.encode() + body[:half])
    note(f"has sent {half} of {len(body)} bytes to {request_id}")
    time.sleep(options.pause / 1000)
    sock.sendall(body[half:])
    note(f"has sent all {len(body)} bytes to {request_id}")
    return not options.unframed


def stream(sock, request_id):
    """Answers with a short stream of events."""
    sock.sendall(
        f"HTTP/1.1 200 OK\r\nFulmarpath-Request-Id: {request_id}\r\n"
        f"Fulmarpath-Response-Signature: sig.{request_id}\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    )
    for number in range(1, 4):
        time.sleep(options.work / 1000)
        event = f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
        sock.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
    sock.sendall(b"0\r\n\r\n")
    return True


def serve(sock):
    file = sock.makefile("rb")
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while request := read_request(file):
            method, path, headers, _ = request
            if path == "/api/report":
                send_json(sock, 200, {"running": 0, "queued": 0, "state": "ready"})
            elif not answer(sock, method, path, headers):
                break
    except (OSError, ValueError):
        pass
    finally:
        file.close()
        sock.close()


ip, port = options.address.split(":")
listener = socket.create_server((ip, int(port)), backlog=256)
threading.Thread(target=heartbeat, daemon=True).start()
note(f"serves {options.service} at {options.address}")
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=serve, args=(accepted,), daemon=True).start()
