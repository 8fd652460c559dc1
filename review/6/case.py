"""One job of many steps is handed in; from then on no job starts, though all workers are free."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import system as stand

LARGE = "5c0e7a21d94b36f8"
STEPS = 1_000
NEED = {"cpu": 1000, "memMb": 512, "gpu": 1, "estimatedMs": 2000}
SMALL = 10
FINISH_S = 14
WATCH_S = 3


def play(system):
    system.start()
    if system.trouble:
        body = {"spec": json.dumps({"ms": 1000}), "steps": [NEED] * STEPS}
        system.record("large job", steps=STEPS, bytes=len(json.dumps(body)))
        hand_in(system, LARGE, body)
    ids = [f"{number:016x}" for number in range(SMALL)]
    for id in ids:
        hand_in(system, id, {"spec": json.dumps({"ms": 1000}), "steps": [NEED]})
        time.sleep(0.3)
    time.sleep(FINISH_S)
    looks = []
    for _ in range(2):
        idle = [id for id in ids if not system.starts_of(id)]
        at_work = count_at_work(system.worker_lines())
        system.record("work", not_begun=idle, runs_at_work=at_work)
        looks.append(at_work)
        for id in ids:
            system.state(id)
        time.sleep(WATCH_S)
    if not all(map(system.is_up, system.workers)):
        raise stand.CannotRun("a worker has ended")
    if idle and not any(looks):
        return (
            f"LOST: {FINISH_S} s after the last job came, {len(idle)} of {SMALL} accepted jobs have "
            f"nothing running for {WATCH_S} s, and all {len(system.workers)} workers are free"
        )
    if idle:
        raise stand.CannotRun(f"{idle} have not begun, and {at_work} runs are at work")
    return None


def hand_in(system, id, body):
    """Send a job until it is accepted, as a consumer that gets no clear answer does."""
    for _ in range(40):
        status, text = system.front("POST", stand.PREFIX + id, body)
        system.record("POST", job=id, status=status, answer=text.decode(errors="replace"))
        if status == 200:
            return
        time.sleep(0.5)
    raise stand.CannotRun(f"the job {id} was not accepted")


def count_at_work(lines):
    """Return how many runs are at work on the workers."""
    started = sum(line["what"] == "started" for line in lines)
    return started - sum(line["what"] == "ended" for line in lines)


sys.exit(stand.main(Path(__file__).with_name(sys.argv[1]), play, workers=8))
