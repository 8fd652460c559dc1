"""A manifest removes a route and adds another at its place, while a job of it is at work."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import BOUNDS, HAS_TROUBLE, Deployment, now_ms, play

WORKERS = 4
FIRST_MS = 8_000
NEED = {"count": 1, "cpu": 3_700, "memMb": 20_000, "gpu": 1, "estimatedMs": FIRST_MS}
STEPS = [NEED, {**NEED, "dependsOn": [0]}]
ASKS = 12


def case(deployment: Deployment) -> list[str]:
    deployment.start()
    for number in range(1, WORKERS + 1):
        deployment.start_worker(f"i-{number}")
    time.sleep(4)
    job = deployment.submit(STEPS, f"ms={FIRST_MS}")
    manifest = deployment.manifest(version=2)
    route = manifest["routes"][0]
    if HAS_TROUBLE:
        route["name"] = "r-2"
    else:
        route["timeoutMs"] = 2_500
    deployment.put_manifest(manifest)
    confirmed_ms = now_ms()
    time.sleep((BOUNDS["configApplyMs"] + BOUNDS["visible_ms"]) / 1000)
    found = []
    for _ in range(ASKS):
        status, _ = deployment.consumer("GET", job)
        if status == 410:
            late_ms = now_ms() - confirmed_ms
            found.append(f"GET {job} is answered 410, {late_ms} ms after the change was confirmed")
        time.sleep(1)
    return found


play(__file__, case)
