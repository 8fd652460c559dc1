"""What the duration of a run that did all the work of its subtask shows.

It shows the pace of its workers, and, at that pace, how long runs of its queue take.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Protocol

from agateferry_jobs.ledger.active_runs import ActiveRuns
from agateferry_jobs.ledger.commands import RunEnded
from agateferry_jobs.ledger.durations import DurationEstimate
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.ledger.state import Job, Run, WorkerIncarnation, gang_of
from agateferry_jobs.ledger.worker_speeds import WorkerSpeeds


class DurationState(Protocol):
    """The part of the ledger's state that durations of runs change or need."""

    workers: dict[str, WorkerIncarnation]
    durations: dict[str, DurationEstimate]
    speeds: WorkerSpeeds


def record_run(
    state: DurationState,
    active_runs: ActiveRuns,
    job: Job,
    end: RunEnded,
    duration_ms: int,
    at_ms: int,
) -> None:
    """Record the duration of a run that ended as done.

    A gang shows the pace of its workers once, at the end that completes it, and only while all of
    its members still have a run.
    """
    step = job.step_of(end.subtask)
    workers = {end.run.worker_key}
    if step.is_gang:
        workers.update(active_runs.workers_of(job, gang_of(end.subtask)))
    estimate = state.durations.setdefault(job.queue, DurationEstimate())
    reference = estimate.reference(step.estimated_ms)
    log_pace = max(state.speeds.log_pace(worker, at_ms) for worker in workers)
    estimate.record(step.estimated_ms, duration_ms / math.exp(log_pace))
    if step.is_gang and job.subtasks[end.subtask].is_done:
        return
    runs = _runs_of_gang(job, step, end)
    is_repeated = step.is_gang and len(runs) < step.count
    is_known = all(is_current(run, state.workers) for run in runs)
    if reference is None or is_repeated or not is_known:
        return
    if not _is_at_full_speed(step, runs, state.workers):
        return
    if step.is_gang:
        keys = [run.worker_key for run in runs]
        state.speeds.record_gang(keys, duration_ms, reference, at_ms)
    else:
        key = f"{job.id}/{gang_of(end.subtask)}"
        state.speeds.record(end.run.worker_key, key, duration_ms, reference, at_ms)


def _runs_of_gang(job: Job, step: StepSpec, end: RunEnded) -> list[Run]:
    """Return the run that ended, with the active ones of the other members if it is of a gang."""
    if not step.is_gang:
        return [end.run]
    found = (job.subtasks.get(name) for name in job.members(gang_of(end.subtask)))
    others = (each.active for each in found if each is not None and each.active is not None)
    return [end.run, *others]


def is_current(run: Run, workers: Mapping[str, WorkerIncarnation]) -> bool:
    """Return whether a run is on the newest incarnation of its worker, which has not left."""
    incarnation = workers.get(run.worker)
    return incarnation is not None and incarnation.born == run.born


def _is_at_full_speed(
    step: StepSpec, runs: Sequence[Run], workers: Mapping[str, WorkerIncarnation]
) -> bool:
    """Return whether the runs lay in the racks in which they do not take three times as long."""
    racks = {workers[run.worker].rack for run in runs}
    if step.is_gang and step.same_rack and len(racks) > 1:
        return False
    return not step.data_rack or racks == {step.data_rack}
