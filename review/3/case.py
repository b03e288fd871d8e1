"""The two hosts that watch the store lose power at once, and a key is taken away just after."""

import os
import signal
import sys
import threading
import time
import urllib.request

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import deployment as d

HOSTS = 5
TAKEN_KEY = "wsjnbanfqasnmgkcuyj8"
# The requests that are judged are sent this long after the ack and later.
JUDGED_FROM_MS = d.CONFIG_APPLY_MS + 50
# How long the hosts stay dark: less than the 5 s of the bench's power losses.
DARK_MS = 4500


def configuration_calls(ip):
    """How often a host has read or watched the configuration in the store, by its metrics."""
    with urllib.request.urlopen(f"http://{ip}:7215/metrics", timeout=2) as page:
        text = page.read().decode()
    lines = [line for line in text.splitlines() if "store_calls_total" in line]
    return sum(float(line.split()[-1]) for line in lines if '"configuration"' in line)


def watchers(deployment):
    before = [configuration_calls(ip) for ip in deployment.hosts]
    time.sleep(2.6)
    after = [configuration_calls(ip) for ip in deployment.hosts]
    return [number for number in range(HOSTS) if after[number] > before[number]]


def case(deployment, has_trouble):
    deployment.start_store(d.configuration(7, keys=(d.KEY, TAKEN_KEY)))
    deployment.start_hosts()
    replica, _ = deployment.start_replica(d.PLAIN, ["--work", "5"])
    time.sleep(8)
    watching = watchers(deployment)
    deployment.record(f"hosts that watch the configuration: {watching}")
    if not 1 <= len(watching) <= 3:
        raise d.CannotRun(f"{len(watching)} hosts watch")
    calm = [number for number in range(HOSTS) if number not in watching]
    if has_trouble:
        for number in watching:
            deployment.signal(f"front-{number}", signal.SIGSTOP)
    dark_from_ms = deployment.now_ms()
    time.sleep(0.1)
    acked_ms = deployment.put("config", "main", d.configuration(8, keys=(d.KEY,)))
    deployment.record("the store acks version 8, which lacks the second key")
    until_ms = dark_from_ms + DARK_MS
    broken = []
    lock = threading.Lock()

    def poll(number):
        ip = deployment.hosts[number]
        sequence = 0
        while (sent_ms := deployment.now_ms()) < until_ms:
            sequence += 1
            request_id = f"{(number + 1) << 32 | sequence:016x}"
            data = d.request_bytes("GET", "/puxa403/2f", request_id, 2500, key=TAKEN_KEY)
            answer = d.ask(ip, data, 3)
            after_ms = sent_ms - acked_ms
            with lock:
                deployment.record(
                    f"front-{number} to {request_id}, sent {after_ms:.0f} ms after the ack, "
                    f"with the key taken away: {answer.status}"
                )
                if answer.status == 200 and after_ms > JUDGED_FROM_MS:
                    broken.append((after_ms, f"front-{number}", request_id))
            time.sleep(0.05)

    threads = [threading.Thread(target=poll, args=(number,)) for number in calm]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if has_trouble:
        for number in watching:
            deployment.signal(f"front-{number}", signal.SIGKILL)
    ran = {text.split()[1] for _, text in deployment.events(replica) if text.startswith("runs ")}
    return [
        f"{request_id}, sent {after_ms:.0f} ms after the ack to {host}, was run by {replica}"
        for after_ms, host, request_id in sorted(broken)
        if request_id in ran
    ]


d.run_case(FOLDER, case, HOSTS)
