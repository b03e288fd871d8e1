"""An engine loses the answer to a generation and works on; the generation goes on elsewhere."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from deployment import call, route, run, service  # noqa: E402

ENGINES = 4
EVENTS = 60
GENERATIONS = 20
OVERLAP_S = 0.4
ENGINE = {
    "slots": 24,
    "kv-capacity": 30000,
    "kv-token-bytes": 18432,
    "link-mbps": 2700.0,
    "moves": True,
    "backups": True,
    "stride": 4,
    "most": 12,
    "pin-ms": 4000.0,
    "hold-ms": 2000.0,
    "handle-ttl-s": 5.0,
    "models": [{"name": "m"}],
}


def case(deployment, has_trouble):
    log = Path(deployment.scratch.name) / "engines.log"
    log.touch()
    arguments = ["--log", str(log), "--count", str(ENGINES), "--events", str(EVENTS)]
    arguments += ["--keeps-running"]
    if has_trouble:
        arguments += ["--reset-after", "20", "--reset-count", "1"]
    addresses = deployment.start_engines(*arguments)
    for number, address in enumerate(addresses, 1):
        deployment.register("e-%d" % number, address, "engines", born=int(time.time() * 1000))
    drafts = route("drafts", "/drafts/", "streaming", "engines", timeout_ms=39000, target_ms=1800)
    drafts |= {"session-affinity": True, "target-gap-ms": 180}
    deployment.configure([drafts], [service("engines") | {"engine": ENGINE}])
    deployment.start_gateways(3)
    time.sleep(3)

    def generate(number):
        request_id = "request-%d" % number
        headers = [
            ("Fulmarpath-Model", "m"),
            ("Fulmarpath-Token-Usage", "1000,400"),
            ("Fulmarpath-Prompt-Prefix", "5c1e07a2:800,%x:200" % (0xE4402B00 + number)),
        ]
        gateway = deployment.gateways[number % 3]
        answer = call(
            gateway.ip, "POST", "/drafts/a", request_id, headers, b"draft", time_limit_ms=20000
        )
        deployment.record(
            "%s: status %s, %d events, %s"
            % (
                request_id,
                answer.status,
                answer.body.count(b"id: "),
                "complete" if answer.is_complete else "broken off",
            )
        )

    threads = []
    for number in range(GENERATIONS):
        threads.append(threading.Thread(target=generate, args=(number,)))
        threads[-1].start()
        time.sleep(0.1)
    for thread in threads:
        thread.join()
    time.sleep(1)
    works = {}
    for line in log.read_text().splitlines():
        at, engine, event, *rest = line.split()
        deployment.record("engine log: %s %s %s" % (engine, event, " ".join(rest)))
        if event in ("runs", "goes-on"):
            works.setdefault(rest[0], []).append([engine, float(at), None])
        elif event == "ends":
            for work in works[rest[0]]:
                if work[0] == engine:
                    work[2] = float(at)
    twice = 0
    for request_id, of_request in sorted(works.items()):
        for (before, _, ended), (after, began, _) in zip(of_request, of_request[1:]):
            overlap = ended - began
            deployment.record(
                "%s goes on at %s; %s works on it for %.3f s after that"
                % (request_id, after, before, overlap)
            )
            twice += overlap > OVERLAP_S
    return not twice


run(FOLDER, case)
