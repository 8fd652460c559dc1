"""The workers as the planner sees them: what is free now and what will be once stops end."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from agateferry_jobs.ledger import Job, Ledger, Run, WorkerIncarnation, WorkerState
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.ledger.state import gang_of

RunKey = tuple[str, str]
"""A job's id and a subtask's name."""


@dataclass(frozen=True, slots=True)
class WorkerHealth:
    """What calls to a worker showed: whether it answers, and whether its runs come to an end."""

    answers: bool = True
    is_suspect: bool = False
    strays: tuple[RunKey, ...] = ()
    """Runs that the worker holds and the ledger does not count there; they take room too."""


@dataclass(slots=True)
class AllocatedRun:
    """A run that holds a part of a worker."""

    job: Job
    subtask: str
    step: StepSpec
    is_stopping: bool


@dataclass(slots=True)
class WorkerAllocation:
    """One worker: its life, what is free, and who holds the rest.

    `free` is free now. `free_after_stops` is free once everything that is being stopped has ended,
    less what the planner has promised to jobs that wait for it.
    """

    incarnation: WorkerIncarnation
    health: WorkerHealth
    free: Resources
    free_after_stops: Resources
    free_slots: int
    runs: list[AllocatedRun] = field(default_factory=list)

    @property
    def is_staying(self) -> bool:
        """Tell whether this worker takes work once it answers."""
        return self.incarnation.state is WorkerState.READY

    @property
    def takes_work(self) -> bool:
        """Tell whether new runs may go to this worker."""
        return self.is_staying and self.health.answers

    def can_hold(self, step: StepSpec) -> bool:
        """Tell whether a subtask may run here at all, as far as service labels and size go."""
        if step.required_label and step.required_label not in self.incarnation.labels:
            return False
        return step.need.fits(self.incarnation.capacity)

    def has_room(self, step: StepSpec) -> bool:
        """Tell whether a subtask fits now."""
        return self.free_slots > 0 and step.need.fits(self.free)

    def count_of(self, job: Job, gang: str) -> int:
        """Return how many subtasks of one step of one occurrence run here."""
        return sum(1 for o in self.runs if o.job is job and gang_of(o.subtask) == gang)

    def allocate(self, job: Job, subtask: str) -> None:
        """Count a run that holds room here or is about to."""
        step = job.step_of(subtask)
        self.runs.append(AllocatedRun(job, subtask, step, is_stopping=False))
        self.free = self.free.minus(step.need)
        self.free_after_stops = self.free_after_stops.minus(step.need)
        self.free_slots -= 1

    def mark_stopping(self, allocated_run: AllocatedRun) -> None:
        """Count a run as being stopped; its room is free once it has ended."""
        allocated_run.is_stopping = True
        self.free_after_stops = self.free_after_stops.plus(allocated_run.step.need)

    def reserve(self, need: Resources) -> None:
        """Keep room for a job that waits, so that jobs after it do not take it."""
        self.free_after_stops = self.free_after_stops.minus(need)
        self.free = Resources(
            min(self.free.cpu, self.free_after_stops.cpu),
            min(self.free.mem_mb, self.free_after_stops.mem_mb),
            min(self.free.gpu, self.free_after_stops.gpu),
        )


class Fleet:
    """All workers of all services at one moment."""

    def __init__(self, workers: Iterable[WorkerAllocation]) -> None:
        self.by_service: dict[str, list[WorkerAllocation]] = defaultdict(list)
        for worker in workers:
            self.by_service[worker.incarnation.service].append(worker)

    @classmethod
    def from_ledger(
        cls,
        ledger: Ledger,
        health: Mapping[str, WorkerHealth],
        stopping: Collection[RunKey],
    ) -> "Fleet":
        """Return the fleet that a ledger and the calls to its workers tell."""
        unknown = WorkerHealth(answers=False)
        workers = {
            incarnation.id: WorkerAllocation(
                incarnation,
                health.get(incarnation.id, unknown),
                incarnation.capacity,
                incarnation.capacity,
                incarnation.slots,
            )
            for incarnation in ledger.workers.values()
        }
        for job in ledger.jobs.values():
            for name, subtask in job.subtasks.items():
                if subtask.active is not None:
                    _allocate_run(workers, job, name, subtask.active, (job.id, name) in stopping)
        for worker in workers.values():
            _allocate_strays(worker, ledger)
        return cls(workers.values())


def _allocate_run(
    workers: Mapping[str, WorkerAllocation], job: Job, name: str, run: Run, is_stopping: bool
) -> None:
    worker = workers.get(run.worker)
    if worker is None or worker.incarnation.born != run.born:
        return
    worker.allocate(job, name)
    if is_stopping or job.is_over or job.subtasks[name].is_done:
        worker.mark_stopping(worker.runs[-1])


def _allocate_strays(worker: WorkerAllocation, ledger: Ledger) -> None:
    for job_id, name in worker.health.strays:
        job = ledger.jobs.get(job_id)
        if job is not None:
            worker.allocate(job, name)
            worker.mark_stopping(worker.runs[-1])
