"""Record under which runs workers crashed, and tell a wider failure from the fault of a job.

All runs on a crashed worker are recorded alike, since any of them may be the cause. What tells them
apart is whether other suspected jobs were there, and whether many workers crashed at about the same
time for no known reason, as when a rack loses power.
"""

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence

from msgspec.structs import replace

from agateferry_jobs.ledger.active_runs import ActiveRuns
from agateferry_jobs.ledger.commands import CrashReport, LossCause, RunEnded
from agateferry_jobs.ledger.state import (
    CrashEvidence,
    Job,
    Run,
    RunCrash,
    RunKey,
    WorkerCrash,
    WorkerIncarnation,
    WorkerKey,
)

CRASH_RETENTION_MS = 600_000
"""How long a crash of a worker counts against what ran there."""
MAX_CRASHES_KEPT = 300
MAX_CRASHES_OF_LASTING = 16
"""How many crashes are kept of a subtask that lasts, which may go on to crash its workers."""
LONG_RUN_MS = 60_000
"""A run that worked for this long before its worker crashed is hardly the cause."""
SILENCE_RESOLUTION_MS = 30_000
"""How long after its lease expired a new incarnation shows that a silent worker had crashed."""
WIDE_FAILURE_WINDOW_MS = 1_500
"""Workers that crash together, as when a rack loses power, are back within this time."""
WIDE_FAILURE_MIN_WORKERS = 3
"""How many other workers crash at least in a wider failure."""
WIDE_FAILURE_SHARE = 0.1
"""The share of a service's workers whose crashes together are a wider failure."""
WIDE_FAILURE_RACK_SHARE = 0.5
"""The share of a rack's workers whose crashes together are a failure of the rack."""


class WideFailures:
    """The failures that took many workers at about the same time, whatever these ran.

    Whether a crash belongs to one depends on the job that is in question: workers on which the same
    job ran, or another suspected one, are no sign of a failure of another kind. `crashes` are in
    order of time.
    """

    def __init__(
        self, crashes: Sequence[WorkerCrash], workers: Mapping[str, WorkerIncarnation]
    ) -> None:
        self._crashes = crashes
        self._times = [crash.at_ms for crash in crashes]
        self._by_key = {(crash.worker, crash.born): crash for crash in crashes}
        self._by_service = Counter(each.service for each in workers.values())
        self._by_rack = Counter((each.service, each.rack) for each in workers.values())

    def excuse(self, job: str, worker: WorkerKey) -> bool:
        """Return whether a wider failure explains that a worker crashed under a job."""
        crash = self._by_key.get(worker)
        if crash is None:
            return False
        together = [
            each
            for each in self._at_the_time_of(crash)
            if each.service == crash.service and not each.is_explained and job not in each.jobs
        ]
        if len(together) < WIDE_FAILURE_MIN_WORKERS:
            return False
        share = len(together) / max(1, self._by_service[crash.service])
        in_rack = sum(each.rack == crash.rack for each in together)
        rack_share = in_rack / max(1, self._by_rack[(crash.service, crash.rack)])
        return share >= WIDE_FAILURE_SHARE or rack_share >= WIDE_FAILURE_RACK_SHARE

    def _at_the_time_of(self, crash: WorkerCrash) -> Sequence[WorkerCrash]:
        first = bisect_left(self._times, crash.at_ms - WIDE_FAILURE_WINDOW_MS)
        last = bisect_right(self._times, crash.at_ms + WIDE_FAILURE_WINDOW_MS)
        return self._crashes[first:last]


def record_crash(
    jobs: Mapping[str, Job],
    lost_keys: Iterable[RunKey],
    crashes: list[WorkerCrash],
    wide: WideFailures,
    crashed: WorkerIncarnation,
    report: CrashReport,
    at_ms: int,
) -> None:
    """Record the crash of a worker against all runs that were on it, which have these keys."""
    lost = list(_active(jobs, lost_keys))
    suspects = _suspects_among(lost, wide)
    for job, name, run in lost:
        has_begun = (job.id, name) not in report.uncertain_runs
        ran_ms = report.since_ms - job.subtasks[name].started_ms
        if not has_begun and ran_ms < 0:
            continue
        is_sure = has_begun and ran_ms < LONG_RUN_MS
        evidence = CrashEvidence.CRASHED if is_sure else CrashEvidence.POSSIBLE
        is_alone = _is_alone(job, lost, suspects)
        _add(job, name, RunCrash(run, evidence, at_ms, max(0, ran_ms), is_alone))
    _confirm_silences(jobs, report, at_ms)
    crashes.append(
        WorkerCrash(
            crashed.id,
            crashed.born,
            crashed.service,
            crashed.rack,
            at_ms,
            tuple(sorted({job.id for job, _, _ in lost})),
            bool(suspects),
        )
    )
    crashes[:] = _recent(crashes, at_ms)


def record_silences(
    jobs: Mapping[str, Job],
    active_runs: ActiveRuns,
    wide: WideFailures,
    ends: Sequence[RunEnded],
    at_ms: int,
) -> None:
    """Record runs whose worker was silent until its lease expired, while they are active."""
    silent = {end.run.worker_key for end in ends if end.loss is LossCause.SILENT}
    for worker in sorted(silent):
        lost = list(_active(jobs, active_runs.on(worker)))
        suspects = _suspects_among(lost, wide)
        for job, name, run in lost:
            ran_ms = max(0, at_ms - job.subtasks[name].started_ms)
            is_alone = _is_alone(job, lost, suspects)
            _add(job, name, RunCrash(run, CrashEvidence.SILENT, at_ms, ran_ms, is_alone))


def exonerate(jobs: Mapping[str, Job], crashes: Sequence[WorkerCrash], guilty: Job) -> None:
    """Take crashes that a job caused off the records of the others that were there."""
    caused = {crash.run.worker_key for each in guilty.crashes.values() for crash in each}
    for event in crashes:
        event.is_explained |= (event.worker, event.born) in caused
    for job in jobs.values():
        if job.crashes and job is not guilty:
            kept = {
                name: tuple(crash for crash in each if crash.run.worker_key not in caused)
                for name, each in job.crashes.items()
            }
            job.crashes = {name: each for name, each in kept.items() if each}


def _active(jobs: Mapping[str, Job], keys: Iterable[RunKey]) -> Iterator[tuple[Job, str, Run]]:
    """Return the jobs, subtasks and active runs with these keys."""
    for id, name in keys:
        run = jobs[id].subtasks[name].active
        if run is not None:
            yield jobs[id], name, run


def _suspects_among(lost: Sequence[tuple[Job, str, Run]], wide: WideFailures) -> set[str]:
    """Return the ids of the jobs whose subtasks there had crashed workers before."""
    return {job.id for job, name, _ in lost if sure_crashes(job, name, wide)}


def sure_crashes(job: Job, name: str, wide: WideFailures) -> list[RunCrash]:
    """Return the crashes under a subtask that no wider failure explains."""
    return [
        crash
        for crash in job.crashes.get(name, ())
        if crash.evidence is CrashEvidence.CRASHED and not wide.excuse(job.id, crash.run.worker_key)
    ]


def _is_alone(job: Job, lost: Sequence[tuple[Job, str, Run]], suspects: Collection[str]) -> bool:
    in_question = suspects or {other.id for other, _, _ in lost}
    return in_question == {job.id}


def _add(job: Job, name: str, crash: RunCrash) -> None:
    """Add a crash to a subtask's record, once for each run."""
    if job.step_of(name).is_long_running and crash.ran_ms >= LONG_RUN_MS:
        job.crashes.pop(name, None)
        return
    known = job.crashes.get(name, ())
    if any(each.run == crash.run for each in known):
        return
    if job.step_of(name).is_long_running:
        known = known[1 - MAX_CRASHES_OF_LASTING :]
    job.crashes[name] = (*known, crash)


def _confirm_silences(jobs: Mapping[str, Job], report: CrashReport, at_ms: int) -> None:
    """Turn the silence of a worker into a crash, once a new incarnation shows it."""
    for job in jobs.values():
        for name, crashes in job.crashes.items():
            job.crashes[name] = tuple(_resolved(crash, report, at_ms) for crash in crashes)


def _resolved(crash: RunCrash, report: CrashReport, at_ms: int) -> RunCrash:
    if not _is_confirmed(crash, report, at_ms):
        return crash
    return replace(crash, evidence=CrashEvidence.CRASHED, at_ms=at_ms)


def _is_confirmed(crash: RunCrash, report: CrashReport, at_ms: int) -> bool:
    is_same = crash.run.worker_key == (report.worker, report.born)
    is_recent = at_ms - crash.at_ms <= SILENCE_RESOLUTION_MS
    return is_same and is_recent and crash.evidence is CrashEvidence.SILENT


def _recent(crashes: Sequence[WorkerCrash], now_ms: int) -> list[WorkerCrash]:
    """Return the crashes that are kept, in order of time."""
    oldest_ms = now_ms - CRASH_RETENTION_MS
    kept = [each for each in crashes if each.at_ms >= oldest_ms]
    return sorted(kept, key=lambda each: each.at_ms)[-MAX_CRASHES_KEPT:]
