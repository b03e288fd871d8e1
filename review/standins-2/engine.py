"""Stand-ins for the model replicas of one service: one process, one address for each replica."""

import argparse
import json
import socket
import struct
import threading
import time

from replica import framed, read_request

EVENT_S = 0.05


class Run:
    """The memory of one generation: events made so far, at the replica that keeps it."""

    def __init__(self, events):
        self.events = events
        self.is_stopped = False


class Engine:
    def __init__(self, options, number, engines):
        self.options = options
        self.id = "e-%d" % number
        self.engines = engines
        self.copies = {}
        self.running = {}
        self.born = int(time.time() * 1000)
        self.listener = socket.socket()
        self.listener.bind((options.ip, 0))
        self.listener.listen(64)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.serve, daemon=True).start()

    def log(self, line):
        with self.options.lock:
            self.options.log_file.write("%.6f %s %s\n" % (time.time(), self.id, line))
            self.options.log_file.flush()

    def serve(self):
        while True:
            channel, _ = self.listener.accept()
            threading.Thread(target=self.serve_channel, args=(channel,), daemon=True).start()

    def serve_channel(self, channel):
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        file = channel.makefile("rb")
        try:
            while True:
                request = read_request(file)
                if request is None or not self.answer(channel, *request):
                    break
        except OSError:
            pass
        finally:
            file.close()
            channel.close()

    def answer(self, channel, method, path, headers, body):
        """Answers a request; returns whether the channel is kept."""
        if path.startswith("/api/"):
            return self.answer_call(channel, method, path, body)
        request_id = headers.get("fulmarpath-request-id", "")
        echoed = ["Fulmarpath-Request-Id: " + request_id]
        not_run = echoed + ["Fulmarpath-Not-Executed: 1"]
        if headers.get("fulmarpath-expect-instance", self.id) != self.id:
            channel.sendall(framed(421, not_run, b""))
            return True
        run = Run(0)
        if "kv-from" in headers:
            run = self.copies.pop(headers["kv-from"].split("/", 1)[1], None)
            if run is None:
                channel.sendall(framed(503, not_run, b""))
                return True
            self.log("goes-on %s after event %d" % (request_id, run.events))
        else:
            self.log("runs %s" % request_id)
        sent = int(headers.get("last-event-id", 0))
        lines = ["HTTP/1.1 200 OK", *echoed, "Content-Type: text/event-stream"]
        lines += ["Fulmarpath-Response-Signature: %s.%s" % (self.id, request_id)]
        lines += ["Transfer-Encoding: chunked"]
        channel.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        self.generate(channel, request_id, run, sent, headers.get("fulmarpath-kv-backup"))
        return False

    def generate(self, channel, request_id, run, sent, backup):
        """Makes the events of a run, and sends them while the channel is open."""
        options = self.options
        self.running[request_id] = run
        is_open = True
        while run.events < options.events:
            time.sleep(EVENT_S)
            if run.is_stopped:
                break
            run.events += 1
            if backup in self.engines:
                self.engines[backup].copies[request_id] = Run(run.events)
            if is_open:
                is_open = self.send_events(channel, run, sent)
                sent = run.events
            if not is_open and not options.keeps_running:
                break
            if is_open and run.events == options.reset_after and options.resets.acquire(False):
                self.log("loses the answer to %s after event %d" % (request_id, run.events))
                channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                channel.close()
                is_open = False
        del self.running[request_id]
        self.log("ends %s after event %d" % (request_id, run.events))
        if run.events == options.events and backup in self.engines:
            self.engines[backup].copies.pop(request_id, None)
        if is_open and not run.is_stopped:
            channel.sendall(b"0\r\n\r\n")

    def send_events(self, channel, run, sent):
        """Sends the events after `sent`; returns whether the channel is open."""
        for number in range(sent + 1, run.events + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            try:
                channel.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            except OSError:
                return False
        return True

    def move(self, call):
        """Copies a run's memory to another engine, and stops it first if that is asked."""
        run = self.running.get(call["id"])
        if run is None:
            return 404, {}
        target = self.engines.get(call["to"])
        if call.get("last"):
            run.is_stopped = True
            self.log("is-asked-to-stop %s after event %d" % (call["id"], run.events))
        handle = "h-%s-%s" % (self.id, call["id"])
        if target is None:
            return 503, {"handle": handle} if run.is_stopped else {}
        target.copies[handle] = Run(run.events)
        return 200, {"handle": handle, "created": run.events}

    def answer_call(self, channel, method, path, body):
        if path == "/api/report":
            runs = [[request_id, 1000, run.events, 5] for request_id, run in self.running.items()]
            report = {
                "stage": "hybrid",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 1,
                "queued": 0,
                "running": len(runs),
                "kv-used": 1000 * len(runs),
                "kv-total": 30000,
                "handles": len(self.copies),
                "state": "ready",
                "born": self.born,
                "runs": runs,
            }
            channel.sendall(framed(200, ["Content-Type: application/json"], json.dumps(report).encode()))
            return True
        status, message = 404, {}
        if (method, path) == ("POST", "/api/kv-move"):
            status, message = self.move(json.loads(body))
        elif method == "DELETE" and path.startswith("/api/kv-handle/"):
            found = self.copies.pop(path.rsplit("/", 1)[1], None)
            status = 404 if found is None else 200
        channel.sendall(framed(status, ["Content-Type: application/json"], json.dumps(message).encode()))
        return True


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--ip", required=True)
    parser.add_argument("--count", type=int, default=3)
    parser.add_argument("--log", required=True)
    parser.add_argument("--events", type=int, default=60)
    # Resets the channel of this many runs after this event, and works on.
    parser.add_argument("--reset-after", type=int, default=0)
    parser.add_argument("--reset-count", type=int, default=0)
    # Works on when the channel of a request has closed.
    parser.add_argument("--keeps-running", action="store_true")
    options = parser.parse_args()
    options.log_file = open(options.log, "a", encoding="utf-8")
    options.lock = threading.Lock()
    options.resets = threading.Semaphore(options.reset_count)
    engines = {}
    started = [Engine(options, number + 1, engines) for number in range(options.count)]
    engines.update({engine.address: engine for engine in started})
    print(" ".join(engine.address for engine in started), flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
