"""The replicated ledger: a deterministic state machine over its commands.

Every decision that callers or workers may see is stored here first. A start that contradicts the
ledger (a cancelled job, a subtask that already runs, an evacuated zone) is dropped when the command
is applied, and only the accepted starts are returned as the result.
"""

from typing import Any

import msgspec

from agateferry_core.clock import Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.ledger import commands, events
from agateferry_jobs.ledger.active_runs import ActiveRuns
from agateferry_jobs.ledger.cancellations import CancelResult
from agateferry_jobs.ledger.commands import LossCause
from agateferry_jobs.ledger.crashes import (
    WideFailures,
    exonerate,
    record_crash,
    record_silences,
)
from agateferry_jobs.ledger.evacuations import evacuate, readmit, startable
from agateferry_jobs.ledger.job_ends import (
    drop_inactive_subtasks,
    fail,
    mark_done,
    update_job_end,
)
from agateferry_jobs.ledger.job_progress import JobProgress
from agateferry_jobs.ledger.job_records import JobRecords
from agateferry_jobs.ledger.run_durations import record_run
from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.ledger.state import (
    Gang,
    GivenUp,
    Job,
    Subtask,
    WorkerIncarnation,
    gang_of,
)
from agateferry_jobs.ledger.stored_sizes import StoredSizes
from agateferry_jobs.ledger.stored_state import State
from agateferry_jobs.ledger.team_records import Caller
from agateferry_jobs.ledger.worker_records import WorkerRecords
from agateferry_jobs.manifest import Manifest, Queue
from agateferry_state.replica.protocols import NotApplied

MAX_GIVEN_UP_KEPT = 100
"""How many of the jobs that were given up are remembered, to find the queues of many."""

OUTCOMES_OF_BEGUN_RUNS = frozenset(commands.RunOutcome) - {
    commands.RunOutcome.LOST,
    commands.RunOutcome.REFUSED,
}
"""The outcomes that workers report, of runs that they have begun."""


class Ledger:
    """The jobs and workers, and the state machine that the replicated log drives."""

    def __init__(self) -> None:
        self._log = EventLogger()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(State)
        self.clock: Clock | None = None
        """The clock of this host, by which leases of silent workers expire; not replicated."""
        self._use_state(State())

    def _use_state(self, state: State) -> None:
        """Replace the whole state, and all that is derived from it."""
        self.state = state
        self._wide_failures: WideFailures | None = None
        self._worker_records = WorkerRecords(state)
        self._job_records = JobRecords(state)
        self._progress: dict[str, JobProgress] = {}
        self.active_runs = ActiveRuns(self.jobs.values())

    @property
    def manifest(self) -> Manifest | None:
        """Return the manifest in force."""
        return self.state.manifest

    @property
    def jobs(self) -> dict[str, Job]:
        """Return the jobs by id."""
        return self.state.jobs

    @property
    def workers(self) -> dict[str, WorkerIncarnation]:
        """Return the newest incarnation of each worker by id."""
        return self.state.workers

    def is_silent(self, worker: WorkerIncarnation) -> bool:
        """Return whether an incarnation is granted no lease until it is recorded to answer."""
        return self._worker_records.is_silent(worker)

    def silent_lease_until_ms(self, worker: WorkerIncarnation) -> int | None:
        """Return when a silent worker's lease expires on this host's clock, if that is known."""
        return self._worker_records.silent_lease_until_ms(worker)

    def progress_of(self, job: Job) -> JobProgress:
        """Return the progress of a job; it is kept for as long as the job is not over."""
        progress = self._progress.get(job.id)
        if job.is_over:
            return progress or JobProgress(job)
        if progress is None:
            progress = self._progress[job.id] = JobProgress(job)
        return progress

    def peak_gpus(self, job: Job) -> int:
        """Return an upper bound of the accelerators that a job needs at the same time."""
        return self.progress_of(job).peak_gpus

    def queue_of(self, job: Job) -> Queue | None:
        """Return the queue of a job, or None if the manifest has none at its address any more."""
        if self.manifest is None:
            return None
        return self.manifest.queue_of_job(job.queue, job.host, job.path)

    def job_at(self, host: str, path: str, id: str, queue: Queue) -> Job | None:
        """Return the job at an address, None if there is none.

        `id` and `queue` are what the manifest in force makes of the address. They tell only for a
        job without an address of its own: it is the one with this id, if it was accepted for a
        queue of this name or its queue's name is in use no more.
        """
        known = self._job_records.at_address(host, path)
        if known is not None:
            return known
        job = self.jobs.get(id)
        if job is None or job.path:
            return None
        return job if self.queue_of(job) in (queue, None) else None

    def service_of(self, job: Job) -> str:
        """Return the service whose workers run a job: its queue's, else that of its acceptance."""
        queue = self.queue_of(job)
        return queue.service if queue is not None else job.service

    def expected_duration_ms(self, queue: str, declared_ms: int) -> int:
        """Return how long a subtask of a queue is expected to run, given its declared duration."""
        estimate = self.state.durations.get(queue)
        return estimate.expected_duration_ms(declared_ms) if estimate is not None else declared_ms

    def apply(self, index: int, command: bytes) -> Any:
        """Apply one command and return its result, or `NotApplied` after an unexpected error.

        Each replica meets the same error at the same index, and again at each restart. So it must
        not end the replica. A command of an unknown kind does: it is of a newer build, and a
        replica that skipped it would show an older state than what was acknowledged.
        """
        decoded = commands.decode(command)
        try:
            return self._apply(decoded)
        except MemoryError:
            raise
        except Exception as exc:
            command_name = type(decoded).__name__
            detail = f"{type(exc).__name__}: {exc}"
            self._log.error(events.COMMAND_FAILED, index=index, command=command_name, detail=detail)
            metrics.COMMANDS_FAILED.labels(command_name).inc()
            return NotApplied(f"{command_name}: {detail}")

    def _apply(self, command: commands.Command) -> Any:
        match command:
            case commands.PutManifest() as put:
                return self._job_records.put_manifest(put)
            case commands.AcceptJob() as accepted:
                return self._job_records.accept(accepted)
            case commands.CancelJob() as cancelled:
                return self._cancel(cancelled)
            case commands.NoteWorker() | commands.AdmitWorker() | commands.NoteSilences():
                return self._apply_to_workers(command)
            case commands.StartRuns(starts, at_ms):
                allowed = startable(starts, self.jobs, self.workers, self.state.evacuations)
                return tuple(start for start in allowed if self._start(start, at_ms))
            case commands.EndRuns() as ended:
                return self._end_runs(ended)
            case commands.GiveUpJob() as given_up:
                return self._give_up(given_up)
            case commands.EvacuateZone() as evacuation:
                state = self.state
                return evacuate(state.evacuations, state.evacuation_revisions, evacuation)
            case commands.ReadmitZone() as readmission:
                state = self.state
                return readmit(state.evacuations, state.evacuation_revisions, readmission)

    def _apply_to_workers(
        self, command: commands.NoteWorker | commands.AdmitWorker | commands.NoteSilences
    ) -> Any:
        match command:
            case commands.NoteWorker():
                return self._note_worker(command)
            case commands.AdmitWorker(worker, sequence):
                self._wide_failures = None
                return self._worker_records.admit(worker, sequence)
            case commands.NoteSilences():
                return self._worker_records.note_silences(command, self.clock)

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        return self._encoder.encode(self.state)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
        self._use_state(self._decoder.decode(data))

    def may_access(self, caller: Caller, job: Job) -> bool:
        """Return whether a call is about a job of a team that its key belongs or belonged to."""
        return self._job_records.teams.may_access(caller, job)

    def cancelled_until_ms(self, caller: Caller, host: str, path: str, at_ms: int) -> int | None:
        """Return until when a submission counts as cancelled, None if it doesn't."""
        return self._job_records.teams.cancelled_until_ms(caller, host + path, at_ms)

    def expired_jobs(self, now_ms: int) -> list[Job]:
        """Return the ended jobs that are dropped when a job is accepted now."""
        return self._job_records.expired(now_ms)

    @property
    def stored_sizes(self) -> StoredSizes:
        """Return the estimated bytes of all jobs."""
        return self._job_records.stored_sizes

    def _cancel(self, command: commands.CancelJob) -> CancelResult:
        job = self._job_records.find_cancelled(command)
        if job is None:
            return self._job_records.store_cancellation(command)
        if not job.is_over:
            job.is_cancelled = True
            job.ended_ms = command.at_ms
            self._forget_inactive(job)
        return CancelResult.CANCELLED

    def largest_capacity(self, worker: WorkerIncarnation) -> Resources:
        """Return the largest capacity that an incarnation has reported."""
        reports = self.state.reports.get(worker.id)
        return reports.largest if reports is not None else worker.capacity

    def wide_failures(self) -> WideFailures:
        """Return the failures that took many workers at about the same time."""
        if self._wide_failures is None:
            self._wide_failures = WideFailures(self.state.crashes, self.workers)
        return self._wide_failures

    def _note_worker(self, note: commands.NoteWorker) -> bool:
        self._wide_failures = None
        crash = note.crash
        crashed = self.workers.get(crash.worker) if crash is not None else None
        if not self._worker_records.note(note.worker, note.sequence):
            return False
        if crash is not None and crashed is not None and crashed.born == crash.born:
            lost = self.active_runs.on((crashed.id, crashed.born))
            record_crash(
                self.jobs,
                lost,
                self.state.crashes,
                self.wide_failures(),
                crashed,
                crash,
                note.at_ms,
            )
            self._wide_failures = None
        return True

    def _give_up(self, command: commands.GiveUpJob) -> bool:
        job = self.jobs.get(command.id)
        if job is None or job.is_over:
            return False
        fail(job, command.reason, command.at_ms)
        self.state.given_up = [
            *self.state.given_up[1 - MAX_GIVEN_UP_KEPT :],
            GivenUp(job.queue, command.at_ms),
        ]
        exonerate(self.jobs, self.state.crashes, job)
        self._wide_failures = None
        self._forget_inactive(job)
        return True

    def _start(self, start: commands.RunStart, at_ms: int) -> bool:
        job = self.jobs.get(start.job)
        if job is None or job.is_over:
            return False
        subtask = job.subtasks.get(start.subtask)
        if subtask is None or subtask.is_done or subtask.active is not None:
            return False
        if start.run.number <= subtask.last_run:
            return False
        subtask.last_run = start.run.number
        subtask.active = start.run
        self.active_runs.add((job.id, start.subtask), start.run)
        self.progress_of(job).record_start(start.subtask)
        subtask.started_ms = at_ms
        subtask.is_cold = start.is_cold
        gang = job.gangs.setdefault(gang_of(start.subtask), Gang())
        gang.last_run = max(gang.last_run, start.run.number)
        job.has_started = True
        return True

    def _end_runs(self, command: commands.EndRuns) -> tuple[commands.RunEnded, ...]:
        ends, at_ms = command.ends, command.at_ms
        for id in command.begun or ():
            if id in self.jobs:
                self.jobs[id].is_known_begun = True
        if any(end.loss is LossCause.SILENT for end in ends):
            wide = self.wide_failures()
            record_silences(self.jobs, self.active_runs, wide, ends, at_ms)
        return tuple(end for end in ends if self._end(end, at_ms))

    def _end(self, end: commands.RunEnded, at_ms: int) -> bool:
        job = self.jobs.get(end.job)
        subtask = job.subtasks.get(end.subtask) if job is not None else None
        if job is None or subtask is None:
            return False
        was_active = subtask.active == end.run
        if was_active:
            subtask.active = None
            self.active_runs.remove((job.id, end.subtask))
            self._record_duration(job, subtask, end, at_ms)
        if end.checkpoint and end.run.number == subtask.last_run:
            subtask.checkpoint = end.checkpoint
        if end.outcome in OUTCOMES_OF_BEGUN_RUNS or end.loss is LossCause.UNLISTED:
            job.is_known_begun = True
        progress = None if job.is_over else self.progress_of(job)
        if progress is not None and was_active:
            progress.record_end(end.subtask)
        self._record_outcome(job, progress, end, was_active)
        if progress is not None:
            update_job_end(job, progress, end.subtask, at_ms)
            if job.is_over:
                self._forget_inactive(job)
        elif subtask.active is None:
            del job.subtasks[end.subtask]
            self.stored_sizes.update(job)
        return was_active or end.outcome is commands.RunOutcome.DONE

    def _forget_inactive(self, job: Job) -> None:
        """Drop what is no longer needed of a job that is over."""
        drop_inactive_subtasks(job)
        self.stored_sizes.update(job)
        self._progress.pop(job.id, None)

    def _record_duration(
        self, job: Job, subtask: Subtask, end: commands.RunEnded, at_ms: int
    ) -> None:
        """Record the duration of a run that did all its subtask's work by itself, while warm."""
        step = job.step_of(end.subtask)
        if (
            end.outcome is commands.RunOutcome.DONE
            and not step.is_long_running
            and not subtask.checkpoint
            and not subtask.is_cold
        ):
            duration_ms = at_ms - subtask.started_ms
            record_run(self.state, self.active_runs, job, end, duration_ms, at_ms)

    def _record_outcome(
        self, job: Job, progress: JobProgress | None, end: commands.RunEnded, was_active: bool
    ) -> None:
        subtask, step = job.subtasks[end.subtask], job.step_of(end.subtask)
        if end.outcome is commands.RunOutcome.DONE and not step.is_long_running:
            mark_done(job, progress, end)
        if end.is_hung is True and was_active and end.outcome is commands.RunOutcome.STOPPED:
            subtask.hung_stops += 1
        if end.outcome is commands.RunOutcome.FAILED and was_active:
            subtask.failures += 1
            gang = job.gangs[gang_of(end.subtask)]
            if end.run.number > gang.failed_run:
                gang.failed_run = end.run.number
                gang.failures += 1
