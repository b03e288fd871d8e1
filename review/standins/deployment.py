"""Starts a small deployment of the real program before stand-ins, and ends all of it again."""

import http.client
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
CALLED_HOST = "ficu95.example"
PLAIN = "wuno96b"
MODEL = "huvo11a"
CONFIG_APPLY_MS = 2000

SETTINGS = """node: "front-{number}"
role: "gateway"
machine-class: "front"
serves:
  - "front"
  - "control_plane"
ip: "{ip}"
zone: "zrh-a"
region: "ch-zrh"
zones:
  zrh-a: "ch-zrh"
bind:
  front: "{ip}:8740"
  ready: "{ip}:8749"
  control: "{ip}:8748"
port-range:
  - 7200
  - 7215
seeds: {seeds}
bootstrap: true
tolerance-member: false
limits:
  cpu-share: 0.25
  cpu-cores: 1
  memory-mb: 110
  max-fds: 4100
  link-mbps: 1000.0
  disk-mb: 0
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
fault-tolerance:
  machines: 1
  zones: 0
  regions: 0
bounds:
  seed-lag-s: 3
  addr-reuse-s: 2
  contact-ms: 3000
  ack-ms: 4000
  catch-up-s: 4
  drain-ms: 2000
  grace-s: 8
  loss-slack-ms: 200
  config-apply-ms: 2000
  downgrade-slack-ms: 250
  outer-ms: 5000
  strict-revoke: false
  revoke-ms: 5000
  retry-budget-ratio: 0.2
  budget-window-s: 10
  retry-budget-extra: 58
{bounds}  recovery-s: 12
  event-delay-ms: 120
  reuse-window-s: 4.6
platform:
  address: "{store}"
  form: "objects"
  writes-per-s: 400
  reads-per-s: 2000
  history-s: 20
  max-value-bytes: 1048576
  ttl-min-ms: 1000
"""


class CannotRun(Exception):
    """The deployment could not be set up, so the case shows nothing."""


def configuration(version, routes=("poll", "check", "draft"), keys=(KEY,), cold=None):
    """The operator's configuration; `routes` and `keys` are those it holds.

    `cold` is how long the model's replicas are cold, in seconds, and their cold rate.
    """
    cold_s, cold_per_s = cold or (0.0, 0.0)
    all_routes = {
        "poll": {
            "name": "r-poll", "host": CALLED_HOST, "path-prefix": "/pule252/",
            "route-kind": "non_idempotent", "timeout-ms": 4000, "target-latency-ms": 150,
            "priority": 2, "service": PLAIN, "max-attempts": 1, "public": False,
            "session-affinity": False, "stream-resume": False,
        },
        "check": {
            "name": "r-check", "host": CALLED_HOST, "path-prefix": "/puxa403/",
            "route-kind": "idempotent", "timeout-ms": 4000, "target-latency-ms": 150,
            "priority": 2, "service": PLAIN, "max-attempts": 2, "public": False,
            "session-affinity": False, "stream-resume": False,
        },
        "draft": {
            "name": "r-draft", "host": CALLED_HOST, "path-prefix": "/lohu930/",
            "route-kind": "streaming", "timeout-ms": 39000, "target-latency-ms": 1800,
            "priority": 1, "service": MODEL, "max-attempts": 1, "public": False,
            "session-affinity": True, "stream-resume": False, "target-gap-ms": 180,
        },
    }
    return {
        "version": version,
        "routes": [all_routes[name] for name in routes],
        "services": [
            {
                "name": MODEL, "health-path": "/healthz", "max-connections": 252,
                "protocol": "h1", "tls": False, "cold-s": cold_s, "cold-per-s": cold_per_s,
                "engine": {
                    "slots": 24, "kv-capacity": 34365, "kv-token-bytes": 18432,
                    "link-mbps": 2700.0, "moves": True, "backups": True, "stride": 4,
                    "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-ttl-s": 5.0,
                    "models": [{"name": "m"}],
                },
            },
            {
                "name": PLAIN, "health-path": "/healthz", "max-connections": 110,
                "protocol": "h1", "tls": False,
            },
        ],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": TENANT, "api-keys": list(keys), "priority": 1}],
    }


class Deployment:
    """The store, the gateways and the replicas of one case."""

    def __init__(self, case_folder, hosts, bounds):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record_file = open(os.path.join(case_folder, "record.txt"), "w")
        self.started = time.monotonic()
        self.processes = {}
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.store = f"{self.net}.1"
        self.hosts = [f"{self.net}.{10 + number}" for number in range(hosts)]
        self.replicas = 0
        self.store_addresses = [self.store] * hosts
        self.bounds = "".join(f"  {name}: {value}\n" for name, value in bounds.items())

    def now_ms(self):
        return (time.monotonic() - self.started) * 1000

    def record(self, text):
        line = f"{self.now_ms():9.1f} ms  {text}"
        print(line, file=self.record_file, flush=True)

    def start(self, name, words, env=None):
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        try:
            process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        except OSError as error:
            raise CannotRun(f"could not start {words[0]}: {error}") from error
        self.processes[name] = process
        self.record(f"starts {name}, process {process.pid}")
        return process

    def signal(self, name, number):
        self.record(f"sends {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def start_store(self, config):
        self.start("store", [sys.executable, os.path.join(HERE, "store.py"), self.store, "8742"])
        self.wait_for("the store", lambda: is_open(self.store, 8742))
        self.put("config", "main", config)

    def start_host(self, number):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = shlex.split(tomllib.load(file)["roles"]["gateway"]["run"])
        seeds = json.dumps([f"{ip}:8748" for ip in self.hosts[:3]])
        path = os.path.join(self.folder, f"front-{number}.yaml")
        with open(path, "w") as file:
            file.write(
                SETTINGS.format(
                    number=number, ip=self.hosts[number], seeds=seeds,
                    store=f"{self.store_addresses[number]}:8742", bounds=self.bounds,
                )
            )
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["FULMARPATH_NODE_FILE"] = path
        self.start(f"front-{number}", command, env)

    def start_hosts(self):
        for number in range(len(self.hosts)):
            self.start_host(number)
        for ip in self.hosts:
            self.wait_for(f"{ip} to be ready", lambda ip=ip: is_ready(ip))

    def start_replica(self, service, options=()):
        """Starts a replica as a process of its own; returns its name and address."""
        self.replicas += 1
        name = f"i-{self.replicas:04x}"
        ip = f"{self.net}.{100 + self.replicas}"
        words = [
            sys.executable, os.path.join(HERE, "replica.py"), name, f"{ip}:8080",
            f"{self.store}:8742", service, os.path.join(self.folder, f"{name}.events"), *options,
        ]
        self.start(name, words)
        self.wait_for(name, lambda: is_open(ip, 8080))
        self.wait_for(f"entry of {name}", lambda: self.get("servers", name) is not None)
        return name, f"{ip}:8080"

    def events(self, replica):
        """What a replica has recorded: (milliseconds, text) of each event."""
        found = []
        path = os.path.join(self.folder, f"{replica}.events")
        if os.path.exists(path):
            with open(path) as file:
                for line in file:
                    if line.endswith("\n"):
                        at, text = line.rstrip("\n").split(" ", 1)
                        found.append(((float(at) - self.started) * 1000, text))
        return found

    def put(self, kind, name, spec):
        """Writes an object as the operator or a replica does; returns the time of the ack."""
        body = {"metadata": {"name": name}, "spec": spec}
        if self.call("POST", f"/api/objects/{kind}", body)[0] == 409:
            status = self.call("PUT", f"/api/objects/{kind}/{name}", body)[0]
            if status != 200:
                raise CannotRun(f"the store answers {status}")
        return self.now_ms()

    def get(self, kind, name):
        status, body = self.call("GET", f"/api/objects/{kind}/{name}", None)
        return body if status == 200 else None

    def call(self, method, path, body):
        connection = http.client.HTTPConnection(self.store, 8742, timeout=5)
        try:
            connection.request(method, path, body=json.dumps(body) if body else None)
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read() or b"null")
        finally:
            connection.close()

    def wait_for(self, what, holds, limit_s=15):
        until = time.monotonic() + limit_s
        while not holds():
            if time.monotonic() > until:
                raise CannotRun(f"{what}: not within {limit_s} s")
            time.sleep(0.02)

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for name in self.processes:
            path = os.path.join(self.folder, f"{name}.events")
            for at, text in self.events(name) if os.path.exists(path) else []:
                print(f"{at:9.1f} ms  {name}: {text}", file=self.record_file)
        self.record_file.close()
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        os.rmdir(self.folder)


def is_open(ip, port):
    try:
        socket.create_connection((ip, port), timeout=0.5).close()
        return True
    except OSError:
        return False


def is_ready(ip):
    connection = http.client.HTTPConnection(ip, 8749, timeout=0.5)
    try:
        connection.request("GET", "/api/readiness")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def request_bytes(method, path, request_id, limit_ms, body=b"", extra=(), key=KEY):
    """The bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {CALLED_HOST}",
        f"Fulmarpath-Request-Id: {request_id}",
        f"Fulmarpath-Request-Deadline-Ms: {limit_ms}",
        f"Authorization: Bearer {key}",
        *extra,
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Answer:
    """What a client has read: the head, the body, and whether the framing says it is complete."""

    def __init__(self, status, headers, body, is_complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete

    def __str__(self):
        end = "complete" if self.is_complete else "cut"
        signed = "signed" if "fulmarpath-response-signature" in self.headers else "unsigned"
        return f"{self.status}, {signed}, {len(self.body)} bytes of body, {end} by its framing"


def read_answer(sock, method="GET"):
    """Reads one answer by the framing of HTTP/1.1; status 0 if the channel ends before its head."""
    file = sock.makefile("rb")
    try:
        first = file.readline()
        if not first.endswith(b"\n"):
            return Answer(0, {}, b"", False)
        status = int(first.split()[1])
        headers = {}
        while True:
            line = file.readline()
            if line in (b"\r\n", b"\n"):
                break
            if not line:
                return Answer(0, {}, b"", False)
            name, value = line.decode().split(":", 1)
            headers[name.strip().lower()] = value.strip()
    except OSError:
        return Answer(0, {}, b"", False)
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int(file.readline().strip() or b"x", 16)
                if size == 0:
                    file.readline()
                    return Answer(status, headers, body, True)
                chunk = file.read(size)
                body += chunk
                if len(chunk) < size or file.readline() != b"\r\n":
                    return Answer(status, headers, body, False)
        if "content-length" in headers:
            length = int(headers["content-length"])
            body = file.read(length)
            return Answer(status, headers, body, len(body) == length)
        while chunk := file.read1(65536):
            body += chunk
        return Answer(status, headers, body, True)
    except (OSError, ValueError):
        return Answer(status, headers, body, False)


def ask(ip, data, timeout_s):
    """Sends a request on a new channel and reads the answer."""
    try:
        with socket.create_connection((ip, 8740), timeout=timeout_s) as sock:
            sock.sendall(data)
            return read_answer(sock)
    except OSError:
        return Answer(0, {}, b"", False)


def run_case(case_folder, case, hosts=3, bounds={}):
    """Runs `case(deployment, has_trouble)`, which returns what broke the rule, and exits."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(case_folder, hosts, bounds)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(2))
    signal.alarm(110)
    try:
        broken = case(deployment, has_trouble)
        for text in broken:
            deployment.record(f"BROKEN: {text}")
        deployment.record("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    except CannotRun as error:
        deployment.record(f"the case could not run: {error}")
        print(f"the case could not run: {error}", file=sys.stderr)
        code = 2
    finally:
        signal.alarm(0)
        deployment.end()
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
