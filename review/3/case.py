"""Consumers leave an entry that stands still, and cancel at another what they have sent."""

import http.client
import json
import secrets
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import BOUNDS, HAS_TROUBLE, HOST, KEY, Deployment, now_ms, play

WORKERS = 8
ENTRIES = 9
"""One of nine stands still; the site allows a share of 0.11."""
FROZEN_S = 0.6
"""How long it stands still; the site allows 3.5 s."""
CONSUMERS = 24
LEAVE_EVERY = 3
"""One consumer of three leaves; the site allows a share of 0.35."""
LEAVES_AFTER_S = 0.125 if HAS_TROUBLE else 3.0
"""Half of the objective of bu-telling, after which consumers leave; else their time budget."""
FIRST_MS, SECOND_MS = 9_000, 2_000
NEED = {"count": 1, "cpu": 7_500, "memMb": 22_000, "gpu": 1}
STEPS = [
    {**NEED, "estimatedMs": FIRST_MS},
    {**NEED, "estimatedMs": SECOND_MS, "dependsOn": [0]},
]
Acks = dict[str, tuple[int | None, int]]
"""By job, the answer to its DELETE and when it came."""


def case(deployment: Deployment) -> list[str]:
    deployment.start()
    for number in range(1, WORKERS + 1):
        deployment.start_worker(f"i-{number}", labels=f"a,r1-{1 + number // 5}")
    time.sleep(4)
    if HAS_TROUBLE:
        deployment.signal("front-1", signal.SIGSTOP)
    acks: Acks = {}
    threads = [
        threading.Thread(target=consume, args=(deployment, number, acks))
        for number in range(CONSUMERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(FROZEN_S)
    if HAS_TROUBLE:
        deployment.signal("front-1", signal.SIGCONT)
    for thread in threads:
        thread.join()
    time.sleep((FIRST_MS + SECOND_MS) / 1000 + 4)
    return uncancelled(deployment, acks)


def consume(deployment: Deployment, number: int, acks: Acks) -> None:
    """Submit a job; a consumer of the first entry leaves and cancels its job at the second one."""
    id = secrets.token_hex(8)
    if number % LEAVE_EVERY:
        front = 1 + number % (ENTRIES - 1)
        deployment.submit([STEPS[0]], f"ms={FIRST_MS}", id, front)
        return
    submit_and_leave(deployment, id)
    status, _ = deployment.consumer("DELETE", id, None, front=1)
    acks[id] = (status, now_ms())


def submit_and_leave(deployment: Deployment, id: str) -> None:
    ip = deployment.fronts[0]
    connection = http.client.HTTPConnection(ip, deployment.front_port, timeout=3)
    headers = {
        "Host": HOST,
        "Content-Type": "application/json",
        "Authorization": f"Token {KEY}",
        "Request-Deadline-Ms": "3000",
    }
    body = json.dumps({"spec": f"ms={FIRST_MS}", "steps": STEPS})
    deployment.note(f"consumer: POST {id} to {ip}")
    connection.request("POST", f"/q1/{id}", body, headers)
    assert connection.sock is not None
    connection.sock.settimeout(LEAVES_AFTER_S)
    try:
        status = connection.getresponse().status
        deployment.note(f"consumer: POST {id} at {ip} -> {status}")
    except OSError:
        deployment.note(f"consumer: POST {id} at {ip}: no answer, the consumer leaves")
    connection.close()


def uncancelled(deployment: Deployment, acks: Acks) -> list[str]:
    """Return where the rule UNASKED is broken: starts later than cancel_ms after the answer."""
    found = []
    for id, (status, at_ms) in acks.items():
        if status is None or not (200 <= status < 300 or status == 410):
            continue
        for start in deployment.starts(id):
            late_ms = start["at"] - at_ms
            if late_ms > BOUNDS["cancel_ms"]:
                found.append(
                    f"{start['task']} starts {late_ms} ms after its DELETE was answered {status}"
                )
    return found


play(__file__, case, entries=ENTRIES)
