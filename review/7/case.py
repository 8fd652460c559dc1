"""Two workers crash under a subtask that lasts; its job is given up and never runs again."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import system as stand

JOB = "5c0e7a21d94b36f8"
STEP = {"count": 1, "cpu": 13000, "memMb": 68000, "gpu": 8, "estimatedMs": 8500}
DOWN_S = 4.5
WORK_S = 2.5
"""How long each run is at work before its worker crashes."""
WATCH_S = 15


def play(system):
    system.start()
    system.submit(JOB, [{**STEP, "longRunning": True}], 3_600_000)
    for number in range(2):
        starts = stand.wait_until(lambda: system.starts_of(JOB)[number:], 30)
        if not starts:
            raise stand.CannotRun(f"start {number + 1} did not come")
        time.sleep(WORK_S)
        if not system.trouble:
            break
        worker = starts[0]["worker"]
        system.kill(worker)
        time.sleep(DOWN_S)
        system.start_worker(worker)
    failed = stand.wait_until(lambda: system.state(JOB) == "failed", WATCH_S, 0.5)
    ends = [line["how"] for line in system.worker_lines() if line["what"] == "ended"]
    system.record("ends that workers listed", ends=ends)
    if failed and "failed" not in ends:
        return "LOST: a job that lasts is shown as failed, and no run of it has ended failed"
    if system.state(JOB) != "running":
        raise stand.CannotRun("the job is neither running nor failed")
    return None


sys.exit(stand.main(Path(__file__).parent, play, workers=8))
