"""Another writer reports a service that no manifest names; a sound worker's work runs twice."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import system as stand

JOB = "5c0e7a21d94b36f8"
STEP = {"count": 1, "cpu": 13000, "memMb": 68000, "gpu": 8, "estimatedMs": 12000}


def play(system):
    system.start()
    system.submit(JOB, [STEP], 12_000)
    starts = stand.wait_until(lambda: system.starts_of(JOB), 30)
    if not starts:
        raise stand.CannotRun("the subtask was not started")
    time.sleep(2)
    if system.trouble:
        report_of_another_writer(system, starts[0]["worker"])
    if not stand.wait_until(lambda: system.state(JOB) == "completed", 50, 0.5):
        raise stand.CannotRun("the job did not end")
    if not all(map(system.is_up, system.workers)):
        raise stand.CannotRun("a worker has ended")
    return find_overlap(system.worker_lines())


def report_of_another_writer(system, worker):
    """Send one report, under an id of its own, of a service that no manifest has named."""
    report = {
        "service": "another-service",
        "address": system.address_of(worker),
        "zone": "jumla",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "capacity": {"cpu": 1000, "memMb": 1024, "gpu": 0},
        "labels": ["b", "r9"],
        "born": int(time.time() * 1000),
        "clockMs": 1000,
        "sequence": 1,
    }
    path = "/agateferry/instances/i-of-another-writer"
    status, text = system.call(system.control[0], "PUT", path, report, timeout=1.0)
    system.record("PUT of another writer", report=report, status=status, answer=text.decode())


def find_overlap(lines):
    """Return the first start of a subtask while another run of it is at work."""
    at_work = {}
    for line in lines:
        task = line.get("task")
        if line["what"] == "started":
            if task in at_work:
                other = at_work[task]
                return (
                    f"TWICE: run {line['run']} of {task} starts on {line['worker']} while "
                    f"run {other['run']} is at work on {other['worker']}, which is up"
                )
            at_work[task] = line
        if line["what"] == "ended":
            at_work.pop(task, None)
    return None


sys.exit(stand.main(Path(__file__).with_name(sys.argv[1]), play, workers=8))
