"""A small deployment for a case: a store, gateway processes, replicas and a client."""

import http.client
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from store import Store

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent
HOST = "callers.example"
KEY = "key-of-one"
TENANT = "one"


class CannotRun(Exception):
    """The case could not run."""


class Deployment:
    """Starts processes, records what happens, and ends all processes that it started."""

    def __init__(self, folder):
        self.record_file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()
        self.processes = []
        self.scratch = tempfile.TemporaryDirectory()
        self.net = "127.%d.%d" % (random.randint(20, 240), random.randint(1, 250))
        self.store = Store(self.net + ".1")
        self.gateways = []

    def record(self, line):
        text = "%9.3f s  %s" % (time.monotonic() - self.started, line)
        self.record_file.write(text + "\n")
        self.record_file.flush()

    def configure(self, routes, services, version=10, keys=(KEY,)):
        """Writes a configuration as the operator does."""
        spec = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "tenants": [{"name": TENANT, "api-keys": list(keys), "priority": 1}],
        }
        self.store.put("config", "main", spec)

    def start_gateways(self, count=1):
        ips = ["%s.%d" % (self.net, 11 + number) for number in range(count)]
        seeds = ["%s:8748" % ip for ip in ips[:3]]
        for number, ip in enumerate(ips):
            self.start_gateway("front-%d" % (number + 1), ip, seeds)
        for gateway in self.gateways:
            self.wait(lambda: gateway.is_ready(), "a gateway that is ready")

    def start_gateway(self, name, ip, seeds):
        settings = Path(self.scratch.name) / (name + ".yaml")
        settings.write_text(settings_file(name, ip, seeds, self.store.listen(ip)))
        program = ROOT / "target/release/fulmarpath"
        if not program.exists():
            raise CannotRun("%s is not built" % program.name)
        log = open(Path(self.scratch.name) / (name + ".log"), "w")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "FULMARPATH_NODE_FILE": str(settings),
        }
        process = subprocess.Popen(
            [str(program), "gateway"], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.processes.append(process)
        self.gateways.append(Gateway(process, ip, settings, log.name))
        self.record("gateway %s started" % name)

    def restart(self, gateway):
        """Kills a gateway and starts it anew at its addresses, as the platform does."""
        gateway.process.kill()
        gateway.process.wait()
        seeds = [other.ip + ":8748" for other in self.gateways[:3]]
        self.gateways.remove(gateway)
        self.start_gateway(gateway.settings.stem, gateway.ip, seeds)

    def start_replica(self, instance, *arguments):
        """Starts a replica process; returns it once it listens, with its `address`."""
        command = [sys.executable, "-B", str(STANDINS / "replica.py"), "--id", instance]
        command += ["--ip", self.net + ".200", *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        process.address = process.stdout.readline().strip()
        if not process.address:
            raise CannotRun("replica %s did not start" % instance)
        return process

    def start_engines(self, *arguments):
        """Starts a process with the model replicas; returns the address of each."""
        command = [sys.executable, "-B", str(STANDINS / "engine.py"), "--ip", self.net + ".201"]
        process = subprocess.Popen([*command, *arguments], stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        addresses = process.stdout.readline().split()
        if not addresses:
            raise CannotRun("the engines did not start")
        return addresses

    def register(self, instance, address, service, state="ready", born=None, sequence=1):
        spec = {
            "service": service,
            "address": address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": sequence,
        }
        if born is not None:
            spec["born"] = born
        self.store.put("servers", instance, spec)

    def wait(self, holds, what, limit_s=15):
        until = time.monotonic() + limit_s
        while not holds():
            if time.monotonic() > until:
                raise CannotRun("waited in vain for " + what)
            time.sleep(0.02)

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.record_file.close()
        self.scratch.cleanup()


class Gateway:
    """A running gateway process."""

    def __init__(self, process, ip, settings, log):
        self.process = process
        self.ip = ip
        self.settings = settings
        self.log = log

    def stop(self):
        """Suspends the process, as a machine that is suspended or has lost its power."""
        self.process.send_signal(signal.SIGSTOP)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, 8749, timeout=1)
            connection.request("GET", "/api/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False


class Answer:
    """What a client has seen of the answer to one request."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False

    def header(self, name):
        return self.headers.get(name.lower())


def call(ip, method, path, request_id, headers=(), body=b"", key=KEY, time_limit_ms=2500):
    """Sends one request over a new channel, and reads the answer as a client does."""
    answer = Answer()
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST]
    lines += ["Fulmarpath-Request-Id: " + request_id, "Authorization: Bearer " + key]
    lines += ["Fulmarpath-Request-Deadline-Ms: %d" % time_limit_ms]
    lines += ["%s: %s" % header for header in headers]
    if method != "GET" or body:
        lines.append("Content-Length: %d" % len(body))
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    until = time.monotonic() + time_limit_ms / 1000
    try:
        with socket.create_connection((ip, 8740), timeout=1) as channel:
            channel.sendall(head + body)
            read_answer(channel, answer, until)
    except OSError:
        pass
    return answer


def read_answer(channel, answer, until):
    held = b""

    def more():
        nonlocal held
        channel.settimeout(max(0.01, until - time.monotonic()))
        received = channel.recv(65536)
        held += received
        return bool(received)

    while b"\r\n\r\n" not in held:
        if not more():
            return
    head, held = held.split(b"\r\n\r\n", 1)
    first, *rest = head.decode("latin-1").split("\r\n")
    answer.status = int(first.split()[1])
    for line in rest:
        name, value = line.split(":", 1)
        answer.headers[name.strip().lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            while b"\r\n" not in held:
                if not more():
                    return
            size, held = held.split(b"\r\n", 1)
            size = int(size, 16)
            while len(held) < size + 2:
                if not more():
                    return
            answer.body += held[:size]
            held = held[size + 2 :]
            if size == 0:
                answer.is_complete = True
                return
    length = answer.headers.get("content-length")
    while length is None or len(held) < int(length):
        if not more():
            break
    answer.body = held
    answer.is_complete = length is None or len(held) == int(length)


def settings_file(name, ip, seeds, store):
    """The settings that the platform lays for a machine of a small deployment."""
    quoted = "".join('  - "%s"\n' % seed for seed in seeds)
    return f"""node: "{name}"
role: "gateway"
machine-class: "front"
serves:
  - "front"
  - "control_plane"
ip: "{ip}"
zone: "zone-a"
region: "region-1"
zones:
  zone-a: "region-1"
bind:
  front: "{ip}:8740"
  ready: "{ip}:8749"
  control: "{ip}:8748"
port-range:
  - 7200
  - 7215
seeds:
{quoted}bootstrap: true
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
  recovery-s: 12
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


def route(name, prefix, kind, service, attempts=1, timeout_ms=2500, target_ms=150):
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "route-kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": target_ms,
        "priority": 2,
        "service": service,
        "max-attempts": attempts,
        "public": False,
        "session-affinity": False,
        "stream-resume": False,
    }


def service(name):
    return {"name": name, "health-path": "/healthz", "max-connections": 110}


def run(folder, case):
    """Runs a case: `case(deployment, has_trouble)` returns whether the rule held."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(folder)
    try:
        held = case(deployment, has_trouble)
    except (CannotRun, OSError) as error:
        deployment.record("the case could not run: %s" % error)
        status = 2
    else:
        deployment.record("the rule held" if held else "the rule was broken")
        status = 0 if held else 1
    finally:
        deployment.end()
    sys.exit(status)
