"""What the time of jobs was spent on, and the accelerator time of runs that were lost."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.history.jobs import JobHistory, RunHistory


@dataclass(frozen=True, slots=True)
class Cause:
    """A part of a job's time and what it was spent on; `agateferry analyze` prints the name."""

    name: str
    duration_ms: int


def split_by_cause(job: JobHistory, until_ms: int) -> list[Cause]:
    """Split the time from a job's acceptance to its end by cause, in order of time.

    The causes are those of the subtask that ended last. A job that has not ended counts up to
    `until_ms`, the end of the logs.
    """
    end_ms = job.end_ms(until_ms)
    runs = _runs_of_last_subtask(job)
    if not runs:
        return [Cause("never started", end_ms - job.accepted_ms)]
    causes = [Cause("waited to start", runs[0].placed_ms - job.accepted_ms)]
    for run, following in zip(runs, [*runs[1:], None], strict=True):
        ended_ms = run.ended_ms if run.ended_ms is not None else end_ms
        causes.append(Cause(_cause_name(run), ended_ms - run.placed_ms))
        if following is not None:
            causes.append(Cause("waited to start again", following.placed_ms - ended_ms))
    return causes


def _runs_of_last_subtask(job: JobHistory) -> list[RunHistory]:
    """Return the runs of the subtask that ended last, in order of their numbers.

    A subtask with a run that has not ended counts as the last.
    """
    if not job.runs:
        return []
    subtask = max(job.runs, key=lambda name: _last_end_ms(job.runs[name].values()))
    return [run for _, run in sorted(job.runs[subtask].items())]


def main_cause(job: JobHistory, until_ms: int) -> str:
    """Return what took most of a job's time, apart from the work that its end needed."""
    causes = [cause for cause in split_by_cause(job, until_ms) if cause.name != "worked"]
    longest = max(causes, key=lambda cause: cause.duration_ms, default=None)
    took_ms = job.end_ms(until_ms) - job.accepted_ms
    if longest is None or took_ms - longest.duration_ms > job.objective_ms:
        return "worked for longer than its objective"
    return longest.name


def _last_end_ms(runs: Iterable[RunHistory]) -> float:
    return max(run.ended_ms if run.ended_ms is not None else float("inf") for run in runs)


def _cause_name(run: RunHistory) -> str:
    if run.outcome == "done":
        return "worked"
    if not run.outcome:
        return "no end was seen"
    detail = ", ".join(filter(None, (run.outcome, run.loss, run.stop_reason)))
    return f"lost: {detail}"


def late_seconds(jobs: Iterable[JobHistory], until_ms: int) -> Counter[tuple[str, str]]:
    """Return the total seconds that jobs took which missed their objective, by queue and cause.

    A failed job counts as late, a cancelled one doesn't. `until_ms` is the end of the logs.
    """
    seconds: Counter[tuple[str, str]] = Counter()
    for job in jobs:
        if job.state == "cancelled" or job.is_in_time(until_ms):
            continue
        for cause in split_by_cause(job, until_ms):
            seconds[(job.queue, cause.name)] += round(cause.duration_ms / MS_PER_S)
    return seconds


def lost_accelerator_seconds(jobs: Iterable[JobHistory]) -> Counter[tuple[str, str]]:
    """Return the accelerator-seconds of runs with another outcome than done, by queue and cause."""
    seconds: Counter[tuple[str, str]] = Counter()
    for job, subtask, run in all_runs(jobs):
        if run.is_lost:
            seconds[(job.queue, _cause_name(run))] += round(accelerator_seconds(job, subtask, run))
    return seconds


def accelerator_seconds(job: JobHistory, subtask: str, run: RunHistory) -> float:
    """Return the accelerator-seconds of a run; 0 if the logs do not contain its end."""
    ended_ms = run.ended_ms if run.ended_ms is not None else run.placed_ms
    return (ended_ms - run.placed_ms) / MS_PER_S * job.gpus_of(subtask)


def all_runs(jobs: Iterable[JobHistory]) -> Iterator[tuple[JobHistory, str, RunHistory]]:
    """Return each run with its job and the name of its subtask."""
    for job in jobs:
        for subtask, runs in job.runs.items():
            for run in runs.values():
                yield job, subtask, run
