"""The paces of workers as the planner sees them, from run ends and from the progress of runs.

What ended runs show is in the replicated ledger. The progress that workers report shows a pace some
seconds earlier; it is soft state of the leader, which a new leader learns from the next polls.
"""

import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from agateferry_jobs.ledger import Job, Ledger, Run
from agateferry_jobs.ledger.durations import DurationEstimate, Reference
from agateferry_jobs.ledger.run_durations import is_current
from agateferry_jobs.ledger.state import RunKey, Subtask, WorkerKey, gang_of

UPDATE_INTERVAL_MS = 1_000
MIN_ELAPSED_MS = 1_000
"""A run that has worked for less shows no pace; the start itself takes up to 100 ms."""
MIN_PERCENT = 3.0
"""A run that has done less of its work shows no pace either."""


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a run was at a moment, in percent of its work; `at_ms` is wall-clock time."""

    run: Run
    percent: float
    at_ms: int


class PaceTracker:
    """Keep the current estimate of each worker's pace; one instance serves one leader."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._updated_ms: int | None = None
        self.paces: dict[WorkerKey, float] = {}
        """The pace of each known incarnation; empty if they do not differ significantly."""

    def is_due(self, now_ms: int) -> bool:
        """Return whether the estimates are too old."""
        updated_ms = self._updated_ms
        return updated_ms is None or not 0 <= now_ms - updated_ms < UPDATE_INTERVAL_MS

    def update(self, progress: Mapping[RunKey, Progress], now_ms: int) -> None:
        """Estimate anew from the ledger and the progress of the running runs."""
        self._updated_ms = now_ms
        running = self._running_steps(progress)
        speeds = self._ledger.state.speeds.with_running(running, now_ms)
        self.paces = {}
        if speeds.spread_variance:
            keys = ((id, evidence.born) for id, evidence in speeds.workers.items())
            self.paces = {key: math.exp(speeds.log_pace(key, now_ms)) for key in keys}

    def _running_steps(
        self, progress: Mapping[RunKey, Progress]
    ) -> dict[str, tuple[Reference, list[tuple[WorkerKey, float]]]]:
        found: dict[str, list[tuple[WorkerKey, float]]] = defaultdict(list)
        workers = self._ledger.workers
        references: dict[str, Reference] = {}
        for (id, name), reported in progress.items():
            job = self._ledger.jobs.get(id)
            subtask = job.subtasks.get(name) if job is not None else None
            if job is None or subtask is None or not is_current(reported.run, workers):
                continue
            log_ms = _log_duration_ms(job, name, subtask, reported)
            reference = self._reference(job, name)
            if log_ms is None or reference is None:
                continue
            key = f"{id}/{gang_of(name)}"
            references[key] = reference
            found[key].append((reported.run.worker_key, log_ms))
        return {key: (references[key], runs) for key, runs in found.items()}

    def _reference(self, job: Job, name: str) -> Reference | None:
        estimate = self._ledger.state.durations.get(job.queue) or DurationEstimate()
        return estimate.reference(job.step_of(name).estimated_ms)


def _log_duration_ms(job: Job, name: str, subtask: Subtask, reported: Progress) -> float | None:
    """Return the log duration to expect of a run by its progress; None where it shows none.

    A gang's members progress together, so they show no pace of their own.
    """
    step = job.step_of(name)
    is_whole = subtask.active == reported.run and not subtask.is_done and not subtask.checkpoint
    if not is_whole or step.is_gang or step.is_long_running or step.data_rack:
        return None
    elapsed_ms = reported.at_ms - subtask.started_ms
    if elapsed_ms < MIN_ELAPSED_MS or reported.percent < MIN_PERCENT:
        return None
    return math.log(elapsed_ms * 100 / reported.percent)
