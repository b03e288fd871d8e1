"""Gives each host an address of its own for the store, and turns some hosts away.

Usage: gate.py STORE FILE IP... FILE holds the addresses that are turned away now, one a line: their
calls get 503, and their waiting watches are cut off. All others are passed on unchanged.
"""

import socket
import sys
import threading
import time

store, path, *addresses = sys.argv[1:]
store_ip, store_port = store.split(":")
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}"


def refused():
    try:
        with open(path) as file:
            return set(file.read().split())
    except OSError:
        return set()


def read_call(sock):
    """Reads one call without its meaning; its bytes, or nothing at the end of the channel."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = sock.recv(65536)
        if not received:
            return b""
        data += received
    head, body = data.split(b"\r\n\r\n", 1)
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, value = line.split(b":", 1)
        if name.strip().lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        received = sock.recv(65536)
        if not received:
            return b""
        body += received
    return head + b"\r\n\r\n" + body


def pass_back(upstream, sock, address):
    """Passes answers on until either side ends or the host is turned away."""
    upstream.settimeout(0.05)
    try:
        while True:
            try:
                received = upstream.recv(65536)
            except TimeoutError:
                if address in refused():
                    break
                continue
            if not received:
                break
            sock.sendall(received)
    except OSError:
        pass
    for end in (upstream, sock):
        try:
            end.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


def serve(sock, address):
    upstream = None
    try:
        while call := read_call(sock):
            if address in refused():
                sock.sendall(REFUSAL)
                continue
            if upstream is None:
                upstream = socket.create_connection((store_ip, int(store_port)))
                threading.Thread(target=pass_back, args=(upstream, sock, address), daemon=True).start()
            upstream.sendall(call)
    except OSError:
        pass
    finally:
        for end in (upstream, sock):
            if end is not None:
                end.close()


def listen(address):
    listener = socket.create_server((address, 8742), backlog=128)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock, address), daemon=True).start()


for address in addresses:
    threading.Thread(target=listen, args=(address,), daemon=True).start()
while True:
    time.sleep(60)
