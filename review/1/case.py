"""A worker starts again under its id, and gets an order before its first status report."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import HAS_TROUBLE, Deployment, doubles, play

WORKERS = 8
DOWN_S = 0.5
"""How long the crashed worker is down; the site allows 4.5 s."""
FIRST_REPORT_MS = 700
"""When the first status report comes after the start; a worker sends one every 1,500 ms."""
WORK_MS = 6_000
STEP = {
    "count": 1,
    "cpu": 13_000,
    "memMb": 68_000,
    "gpu": 1,
    "estimatedMs": WORK_MS,
    "dataRack": "r1-1",
}


def case(deployment: Deployment) -> list[str]:
    deployment.start()
    for number in range(1, WORKERS + 1):
        rack = "r1-1" if number == 1 else "r1-2"
        deployment.start_worker(f"i-{number}", labels=f"a,{rack}")
    time.sleep(5)
    if HAS_TROUBLE:
        deployment.signal("i-1", signal.SIGKILL)
        time.sleep(DOWN_S)
        deployment.start_worker("i-1", first_report_ms=FIRST_REPORT_MS)
        deployment.until("the new boot", lambda: boots(deployment) == 2, 10)
    job = deployment.submit([STEP], f"ms={WORK_MS}")
    deployment.until("an end", lambda: has_ended(deployment, job), 40)
    time.sleep(2)
    return doubles(deployment.rows())


def boots(deployment: Deployment) -> int:
    return sum(r["worker"] == "i-1" and r["what"] == "boot" for r in deployment.rows())


def has_ended(deployment: Deployment, job: str) -> bool:
    return deployment.consumer("GET", job)[1].get("state") in ("completed", "failed")


play(__file__, case)
