"""The replicated ledger: a deterministic function of its commands.

Every decision that callers or workers may see is stored here first. A start that contradicts what
the ledger holds (a cancelled job, a subtask that already runs) is left out when it is applied, and
only the starts that were taken come back as the outcome.
"""

from typing import Any

import msgspec
from msgspec import Struct, field

from agateferry_jobs.ledger import commands
from agateferry_jobs.ledger.durations import DurationEstimate
from agateferry_jobs.ledger.specs import JobSpec
from agateferry_jobs.ledger.state import (
    Gang,
    Job,
    Subtask,
    WorkerIncarnation,
    WorkerState,
    gang_of,
)
from agateferry_jobs.manifest import Manifest

RETAIN_MS = 300_000
"""How long the state of a job that ended can be asked for; over twice the platform's longest."""


class State(Struct):
    """All that the ledger holds."""

    manifest: Manifest | None = None
    jobs: dict[str, Job] = field(default_factory=dict)
    workers: dict[str, WorkerIncarnation] = field(default_factory=dict)
    gone: dict[str, int] = field(default_factory=dict)
    """For each worker that left, the start of its last life; its late words are dropped."""
    lengths: dict[str, DurationEstimate] = field(default_factory=dict)
    """How long runs really take, by queue."""


class Ledger:
    """Apply commands to jobs and workers; also the state machine of the replicated log."""

    def __init__(self) -> None:
        self.state = State()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(State)

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
        """Return the newest life of each worker by id."""
        return self.state.workers

    def expected_duration_ms(self, queue: str, declared_ms: int) -> int:
        """Return how long a subtask of a queue takes, as far as its runs so far tell."""
        record = self.state.lengths.get(queue)
        return record.expected_duration_ms(declared_ms) if record is not None else declared_ms

    def apply(self, index: int, command: bytes) -> Any:
        """Apply one command and return its outcome."""
        match commands.decode(command):
            case commands.PutManifest(manifest):
                return self._put_manifest(manifest)
            case commands.AcceptJob() as accepted:
                return self._accept(accepted)
            case commands.CancelJob(id, at_ms):
                return self._cancel(id, at_ms)
            case commands.NoteWorker(worker):
                return self._note_worker(worker)
            case commands.StartRuns(starts, at_ms):
                return tuple(start for start in starts if self._start(start, at_ms))
            case commands.EndRuns(ends, at_ms):
                return tuple(end for end in ends if self._end(end, at_ms))

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return self._encoder.encode(self.state)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
        self.state = self._decoder.decode(data)

    def _put_manifest(self, manifest: Manifest) -> bool:
        current = self.state.manifest
        if current is not None and manifest.version <= current.version:
            return False
        self.state.manifest = manifest
        return True

    def _accept(self, command: commands.AcceptJob) -> bool:
        if command.id in self.jobs:
            return False
        self._forget_old(command.at_ms)
        job = Job(
            id=command.id,
            queue=command.queue,
            service=command.service,
            team=command.team,
            priority=command.priority,
            attempts=command.attempts,
            accepted_ms=command.at_ms,
            spec=command.spec,
        )
        job.subtasks = {name: Subtask() for name in _subtask_names(command.spec)}
        self.jobs[job.id] = job
        return True

    def _forget_old(self, now_ms: int) -> None:
        for job in list(self.jobs.values()):
            if job.is_over and not job.subtasks and now_ms - job.ended_ms > RETAIN_MS:
                del self.jobs[job.id]

    def _cancel(self, id: str, at_ms: int) -> bool:
        job = self.jobs.get(id)
        if job is None:
            return False
        if not job.is_over:
            job.is_cancelled = True
            job.ended_ms = at_ms
            _drop_idle(job)
        return True

    def _note_worker(self, worker: WorkerIncarnation) -> bool:
        known = self.workers.get(worker.id)
        if known is not None and worker.born < known.born:
            return False
        if worker.born <= self.state.gone.get(worker.id, -1):
            return False
        if worker.state is WorkerState.GONE:
            self.workers.pop(worker.id, None)
            self.state.gone[worker.id] = worker.born
            return known is not None
        if known is not None and known.born == worker.born and _is_step_back(known, worker):
            return False
        self.workers[worker.id] = worker
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
        subtask.started_ms = at_ms
        gang = job.gangs.setdefault(gang_of(start.subtask), Gang())
        gang.last_run = max(gang.last_run, start.run.number)
        job.has_started = True
        return True

    def _end(self, end: commands.RunEnded, at_ms: int) -> bool:
        job = self.jobs.get(end.job)
        subtask = job.subtasks.get(end.subtask) if job is not None else None
        if job is None or subtask is None:
            return False
        was_active = subtask.active == end.run
        if was_active:
            subtask.active = None
            self._note_length(job, subtask, end, at_ms)
        if end.checkpoint and end.run.number == subtask.last_run:
            subtask.checkpoint = end.checkpoint
        self._count(job, subtask, end, was_active)
        _settle(job, at_ms)
        if job.is_over:
            _drop_idle(job)
        return was_active or end.outcome is commands.RunOutcome.DONE

    def _note_length(self, job: Job, subtask: Subtask, end: commands.RunEnded, at_ms: int) -> None:
        """Learn from a run that did all of its work by itself."""
        step = job.step_of(end.subtask)
        if (
            end.outcome is commands.RunOutcome.DONE
            and not step.is_long_running
            and not subtask.checkpoint
        ):
            record = self.state.lengths.setdefault(job.queue, DurationEstimate())
            record.note(step.estimated_ms, at_ms - subtask.started_ms)

    def _count(self, job: Job, subtask: Subtask, end: commands.RunEnded, was_active: bool) -> None:
        step = job.step_of(end.subtask)
        if end.outcome is commands.RunOutcome.DONE and not step.is_long_running:
            _mark_done(job, end)
        if end.outcome is commands.RunOutcome.FAILED and was_active:
            subtask.failures += 1
            gang = job.gangs[gang_of(end.subtask)]
            if end.run.number > gang.failed_run:
                gang.failed_run = end.run.number
                gang.failures += 1


def _is_step_back(known: WorkerIncarnation, word: WorkerIncarnation) -> bool:
    """Tell whether a word is older than what is known: a life that drains is never ready again."""
    return known.state is WorkerState.DRAINING and word.state is WorkerState.READY


def _mark_done(job: Job, end: commands.RunEnded) -> None:
    """Note a subtask as done; one member's end stands for its whole gang."""
    names = [end.subtask]
    if job.step_of(end.subtask).is_gang:
        names = job.members(gang_of(end.subtask))
    for name in names:
        if name in job.subtasks:
            job.subtasks[name].is_done = True


def _settle(job: Job, at_ms: int) -> None:
    """Work out whether the job completed or failed."""
    if job.is_over:
        return
    if all(subtask.is_done for subtask in job.subtasks.values()):
        job.is_completed = True
        job.ended_ms = at_ms
        return
    for name, subtask in job.subtasks.items():
        step = job.step_of(name)
        if subtask.is_done or step.is_long_running:
            continue
        failures = subtask.failures
        if step.is_gang and subtask.last_run:
            failures = job.gangs[gang_of(name)].failures
        if failures >= job.attempts:
            job.is_failed = True
            job.ended_ms = at_ms
            return


def _drop_idle(job: Job) -> None:
    """Keep only the subtasks that still hold a worker."""
    job.subtasks = {name: s for name, s in job.subtasks.items() if s.active is not None}


def _subtask_names(spec: JobSpec) -> list[str]:
    return [
        f"{occurrence}.{step}.{index}"
        for occurrence in range(spec.occurrences)
        for step, each in enumerate(spec.steps)
        for index in range(each.count)
    ]
