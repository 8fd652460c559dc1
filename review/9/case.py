"""A worker answers all starts with 503 for some seconds; the jobs that wait are not counted."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import system as stand

BIG = {"count": 1, "cpu": 13000, "memMb": 68000, "gpu": 8, "estimatedMs": 20000}
SMALL = {"count": 1, "cpu": 1000, "memMb": 1024, "gpu": 1, "estimatedMs": 2000}
WORKERS, WAITING = 12, 8
VISIBLE_S = stand.BOUNDS["visible_ms"] / 1000 + 2
UNHEALTHY_S = 6.5
STALE_S = 0.3


def play(system):
    system.start()
    for number in range(WORKERS - 1):
        system.submit(f"{number:016x}", [BIG], 25_000)
    time.sleep(1.5)
    busy = {line["worker"] for line in system.worker_lines() if line["what"] == "started"}
    free = [worker for worker in system.workers if worker not in busy]
    if len(free) != 1:
        raise stand.CannotRun(f"{free} are free instead of one worker")
    if system.trouble:
        system.set_unhealthy(free[0], True)
    began_s = time.time()
    ids = [f"{0x100 + number:016x}" for number in range(WAITING)]
    for id in ids:
        system.submit(id, [SMALL], 2_000)
    accepted_s = time.time()
    broken = None
    while time.time() < began_s + UNHEALTHY_S:
        time.sleep(0.1)
        if time.time() > accepted_s + VISIBLE_S + STALE_S and broken is None:
            broken = check(system, ids)
    if system.trouble:
        system.set_unhealthy(free[0], False)
    stand.wait_until(lambda: all(system.state(id) == "completed" for id in ids), 12, 0.5)
    return broken


def check(system, ids):
    """Compare what is given as pending with the jobs that have not begun."""
    status, text = system.front("GET", stand.PREFIX)
    begun = {line["task"].partition(".")[0] for line in system.worker_lines() if line["what"] == "started"}
    waiting = [id for id in ids if id not in begun]
    pending = json.loads(text).get("pending") if status == 200 else None
    system.record("GET of the queue", status=status, pending=pending, not_begun=len(waiting))
    if pending is not None and waiting and pending < len(waiting) / 2:
        return f"MIXED: pending is {pending}, and {len(waiting)} jobs accepted over 5 s ago wait"
    return None


sys.exit(stand.main(Path(__file__).with_name(sys.argv[1]), play, workers=WORKERS))
