"""Where the time of a job went, and the accelerators that its lost runs held."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.history.jobs import JobHistory, RunHistory


@dataclass(frozen=True, slots=True)
class Cause:
    """A span of a job's time, in ms, and what it went into."""

    name: str
    took_ms: int


def split(job: JobHistory, until_ms: int) -> list[Cause]:
    """Return where the time of a job's last subtask went, from its hand-in to its end.

    A job that has not ended is followed up to `until_ms`, the end of the logs.
    """
    end_ms = job.last_ms(until_ms)
    runs = _last_runs(job)
    if not runs:
        return [Cause("never started", end_ms - job.accepted_ms)]
    causes = [Cause("waited to start", runs[0].placed_ms - job.accepted_ms)]
    for run, following in zip(runs, [*runs[1:], None], strict=True):
        ended_ms = run.ended_ms if run.ended_ms is not None else end_ms
        causes.append(Cause(_name(run), ended_ms - run.placed_ms))
        if following is not None:
            causes.append(Cause("waited to start again", following.placed_ms - ended_ms))
    return causes


def _last_runs(job: JobHistory) -> list[RunHistory]:
    """Return the runs of the subtask that ended last, by number."""
    if not job.runs:
        return []
    subtask = max(job.runs, key=lambda name: _last_end(job.runs[name].values()))
    return [run for _, run in sorted(job.runs[subtask].items())]


def _last_end(runs: Iterable[RunHistory]) -> float:
    return max(run.ended_ms if run.ended_ms is not None else float("inf") for run in runs)


def _name(run: RunHistory) -> str:
    if run.how == "done":
        return "worked"
    if not run.how:
        return "no end was seen"
    return f"lost: {run.how}{f', {run.stopped_for}' if run.stopped_for else ''}"


def late_seconds(jobs: Iterable[JobHistory], until_ms: int) -> Counter[tuple[str, str]]:
    """Return the seconds of jobs beyond their objective, by queue and cause."""
    seconds: Counter[tuple[str, str]] = Counter()
    for job in jobs:
        if job.state == "cancelled" or not _is_late(job, until_ms):
            continue
        for cause in split(job, until_ms):
            seconds[(job.queue, cause.name)] += round(cause.took_ms / MS_PER_S)
    return seconds


def thrown_away(jobs: Iterable[JobHistory]) -> Counter[tuple[str, str]]:
    """Return the accelerator-seconds of runs that did not end as done, by queue and cause."""
    seconds: Counter[tuple[str, str]] = Counter()
    for job, subtask, run in _runs(jobs):
        if run.how != "done" and run.ended_ms is not None:
            held_s = (run.ended_ms - run.placed_ms) / MS_PER_S
            seconds[(job.queue, _name(run))] += round(held_s * job.gpus_of(subtask))
    return seconds


def _runs(jobs: Iterable[JobHistory]) -> Iterator[tuple[JobHistory, str, RunHistory]]:
    for job in jobs:
        for subtask, runs in job.runs.items():
            for run in runs.values():
                yield job, subtask, run


def _is_late(job: JobHistory, until_ms: int) -> bool:
    return job.state == "failed" or job.last_ms(until_ms) - job.accepted_ms > job.objective_ms
