"""Stand-in for the platform's metadata store, form "objects".

Usage: store.py IP PORT. Keeps objects in memory, with one revision counter, lists, watches and
conditional writes. Nothing is ever lost, refused or slow.
"""

import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

LOCK = threading.Condition()
REVISION = 10
OBJECTS = {}  # kind -> name -> object
HISTORY = []  # (revision, kind, tombstone, object)


def change(kind, name, tombstone, entry):
    """Records a change; the caller holds the lock."""
    global REVISION
    REVISION += 1
    entry = json.loads(json.dumps(entry))
    entry["metadata"]["revision"] = REVISION
    if tombstone:
        OBJECTS.setdefault(kind, {}).pop(name, None)
    else:
        OBJECTS.setdefault(kind, {})[name] = entry
    HISTORY.append((REVISION, kind, tombstone, entry))
    LOCK.notify_all()
    return entry


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def reply(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def parse(self):
        url = urlsplit(self.path)
        parts = [unquote(part) for part in url.path.strip("/").split("/")]
        query = {key: values[-1] for key, values in parse_qs(url.query).items()}
        kind = parts[2] if len(parts) > 2 else ""
        name = parts[3] if len(parts) > 3 else None
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else {}
        return kind, name, query, body

    def do_GET(self):
        kind, name, query, _ = self.parse()
        if "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query.get("wait-ms", 0)))
        with LOCK:
            held = OBJECTS.get(kind, {})
            if name is not None:
                found = held.get(name)
                return self.reply(200 if found else 404, found or {"error": "none"})
            items = [held[key] for key in sorted(held) if key > query.get("after", "")]
            page = {"items": items, "more-pages": False, "as-of": REVISION}
        self.reply(200, page)

    def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with LOCK:
            while True:
                events = [
                    {"tombstone": tombstone, "object": entry}
                    for revision, of_kind, tombstone, entry in HISTORY
                    if revision > since and of_kind == kind
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                LOCK.wait(left)
            answer = {"events": events, "as-of": REVISION}
        self.reply(200, answer)

    def write(self, create):
        kind, name, query, body = self.parse()
        metadata = body.get("metadata") or {}
        name = name or metadata.get("name")
        with LOCK:
            held = OBJECTS.get(kind, {}).get(name)
            if create and held:
                return self.reply(409, held)
            if not create and not held:
                return self.reply(404, {"error": "none"})
            wanted = metadata.get("revision", query.get("revision"))
            if held and wanted is not None and int(wanted) != held["metadata"]["revision"]:
                return self.reply(409, held)
            if held and held["spec"] == body.get("spec"):
                return self.reply(200, held)
            entry = {
                "metadata": {
                    "name": name,
                    "created": held["metadata"]["created"] if held else REVISION + 1,
                    "finalizers": [],
                    "deletion": False,
                },
                "spec": body.get("spec"),
                "status": None,
            }
            entry = change(kind, name, False, entry)
        self.reply(201 if create else 200, entry)

    def do_POST(self):
        self.write(create=True)

    def do_PUT(self):
        self.write(create=False)

    def do_DELETE(self):
        kind, name, _, _ = self.parse()
        with LOCK:
            held = OBJECTS.get(kind, {}).get(name)
            if not held:
                return self.reply(404, {"error": "none"})
            change(kind, name, True, held)
        self.reply(200, held)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256


if __name__ == "__main__":
    Server((sys.argv[1], int(sys.argv[2])), Handler).serve_forever()
