"""A stand-in for the platform's metadata store: objects by kind and name, lists and watches."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit


class Store:
    """A linearizable store in memory. `put` and `delete` are the calls of operator and replicas."""

    def __init__(self, ip):
        self.changed = threading.Condition()
        self.revision = 100
        self.objects = {}
        self.history = []
        self.watches = {}
        self.ip = ip

    def listen(self, caller):
        """Opens an address for one caller, whose watches are counted under its name."""
        handler = type("Handler", (StoreHandler,), {"store": self, "caller": caller})
        server = StoreServer((self.ip, 0), handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return "%s:%d" % server.server_address

    def put(self, kind, name, spec):
        """Creates or replaces an object; returns the new revision."""
        with self.changed:
            held = self.objects.get((kind, name))
            if held is not None and held["spec"] == spec:
                return self.revision
            self.revision += 1
            metadata = {"name": name, "revision": self.revision, "created": self.revision}
            self.objects[kind, name] = {"metadata": metadata, "spec": spec, "status": {}}
            self.history.append((self.revision, kind, name, False, spec))
            self.changed.notify_all()
            return self.revision

    def delete(self, kind, name):
        """Removes an object; returns whether there was one."""
        with self.changed:
            if self.objects.pop((kind, name), None) is None:
                return False
            self.revision += 1
            self.history.append((self.revision, kind, name, True, None))
            self.changed.notify_all()
            return True

    def list(self, kind):
        with self.changed:
            items = [held for key, held in sorted(self.objects.items()) if key[0] == kind]
            return {"items": items, "more-pages": False, "as-of": self.revision}

    def watching(self, kind):
        """The callers whose watches of a kind are waiting now."""
        with self.changed:
            waiting = [key for key, count in self.watches.items() if count]
            return {caller for watched, caller in waiting if watched == kind}

    def watch(self, kind, since, wait_s, caller):
        with self.changed:
            self.watches[kind, caller] = self.watches.get((kind, caller), 0) + 1
        try:
            return self.wait_for_events(kind, since, wait_s)
        finally:
            with self.changed:
                self.watches[kind, caller] -= 1

    def wait_for_events(self, kind, since, wait_s):
        until = time.monotonic() + wait_s
        with self.changed:
            while True:
                found = [entry for entry in self.history if entry[0] > since and entry[1] == kind]
                left = until - time.monotonic()
                if found or left <= 0:
                    break
                self.changed.wait(left)
            events = []
            for revision, _, name, tombstone, spec in found:
                event_object = {"metadata": {"name": name, "revision": revision}}
                if not tombstone:
                    event_object["spec"] = spec
                events.append({"tombstone": tombstone, "object": event_object})
            return {"events": events, "as-of": self.revision}


class StoreServer(ThreadingHTTPServer):
    """Ignores callers that break off."""

    daemon_threads = True

    def handle_error(self, *_):
        pass


class StoreHandler(BaseHTTPRequestHandler):
    """Serves one connection to the store."""

    protocol_version = "HTTP/1.1"
    store = None
    caller = ""

    def log_message(self, *_):
        pass

    def answer(self, status, message):
        body = json.dumps(message).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def read(self):
        url = urlsplit(self.path)
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else None
        return parts, parse_qs(url.query), body

    def do_GET(self):
        parts, query, _ = self.read()
        if len(parts) > 1:
            held = self.store.objects.get((parts[0], parts[1]))
            return self.answer(200 if held else 404, held or {})
        if "watch" in query:
            wait_s = int(query.get("wait-ms", ["0"])[0]) / 1000
            since = int(query["watch"][0])
            return self.answer(200, self.store.watch(parts[0], since, wait_s, self.caller))
        return self.answer(200, self.store.list(parts[0]))

    def do_POST(self):
        parts, _, body = self.read()
        name = body["metadata"]["name"]
        held = self.store.objects.get((parts[0], name))
        if held:
            return self.answer(409, held)
        self.store.put(parts[0], name, body["spec"])
        return self.answer(200, self.store.objects[parts[0], name])

    def do_PUT(self):
        parts, _, body = self.read()
        self.store.put(parts[0], parts[1], body["spec"])
        return self.answer(200, self.store.objects[parts[0], parts[1]])

    def do_DELETE(self):
        parts, _, _ = self.read()
        return self.answer(200 if self.store.delete(parts[0], parts[1]) else 404, {})
