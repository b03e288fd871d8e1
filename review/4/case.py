"""A replica is killed while it writes an answer that ends with its channel."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from deployment import call, route, run, service  # noqa: E402

BODY_BYTES = 4000
REQUESTS = 6
HALVES_MS = 400


def case(deployment, has_trouble):
    log = Path(deployment.scratch.name) / "replicas.log"
    log.touch()
    replicas = []
    for number in (1, 2):
        replica = deployment.start_replica(
            "i-%d" % number,
            "--log", str(log),
            "--body-bytes", str(BODY_BYTES),
            "--unframed-halves-ms", str(HALVES_MS),
        )
        deployment.register("i-%d" % number, replica.address, "portal")
        replicas.append(replica)
    deployment.configure(
        [
            route("polls", "/polls/", "non_idempotent", "portal"),
            route("checks", "/checks/", "idempotent", "portal", attempts=2, target_ms=1500),
        ],
        [service("portal")],
    )
    deployment.start_gateways()
    ip = deployment.gateways[0].ip
    deployment.wait(
        lambda: call(ip, "GET", "/checks/first", "warm-up").status == 200, "a first answer"
    )
    answers = {}

    def send(request_id, method, path):
        answers[request_id] = call(ip, method, path, request_id)

    threads = []
    for number in range(REQUESTS):
        kind = ("POST", "/polls/a") if number % 2 else ("GET", "/checks/a")
        request_id = "request-%d" % number
        thread = threading.Thread(target=send, args=(request_id, *kind))
        thread.start()
        threads.append(thread)
        deployment.record("%s %s sent as %s" % (*kind, request_id))
    time.sleep(0.03 + HALVES_MS / 2000)
    if has_trouble:
        replicas[0].kill()
        deployment.record("replica i-1 is killed (SIGKILL)")
    for thread in threads:
        thread.join()
    held = True
    for request_id, answer in sorted(answers.items()):
        size, whole = len(answer.body), answer.is_complete
        deployment.record(
            "%s: status %s, %d bytes of the replica's %d, %s by its framing, signature %s"
            % (
                request_id,
                answer.status,
                size,
                BODY_BYTES,
                "complete" if whole else "broken off",
                answer.header("fulmarpath-response-signature"),
            )
        )
        if answer.status == 200 and whole and size != BODY_BYTES:
            held = False
    for line in log.read_text().splitlines():
        deployment.record("replica log: " + line.split(" ", 1)[1])
    if has_trouble and not any(line.startswith("request") for line in answers):
        return True
    return held


run(FOLDER, case)
