"""The workers as the planner sees them: what is free now and once all stopping runs have ended."""

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
    """What calls to a worker showed: whether it answers, and whether its runs fail or hang."""

    answers: bool = True
    is_suspect: bool = False
    unexpected_runs: tuple[RunKey, ...] = ()
    """Runs that the worker reports but the ledger does not place there; they use resources too."""


@dataclass(slots=True)
class AllocatedRun:
    """A run that holds resources of a worker."""

    job: Job
    subtask: str
    step: StepSpec
    is_stopping: bool


@dataclass(slots=True)
class WorkerAllocation:
    """One worker: its incarnation, its free resources, and the runs that hold the rest.

    `free` is free now. `free_after_stops` is what is free once all stopping runs have ended, less
    what the planner has reserved for waiting jobs.
    """

    incarnation: WorkerIncarnation
    health: WorkerHealth
    free: Resources
    free_after_stops: Resources
    free_slots: int
    runs: list[AllocatedRun] = field(default_factory=list)

    @property
    def is_ready(self) -> bool:
        """Return whether this worker may get new runs, provided that it answers."""
        return self.incarnation.state is WorkerState.READY

    @property
    def accepts_runs(self) -> bool:
        """Return whether new runs may go to this worker now."""
        return self.is_ready and self.health.answers

    def can_ever_run(self, step: StepSpec) -> bool:
        """Return whether a subtask of this step would fit here if the worker were empty."""
        if step.required_label and step.required_label not in self.incarnation.labels:
            return False
        return step.need.fits(self.incarnation.capacity)

    def fits_now(self, step: StepSpec) -> bool:
        """Return whether a subtask of this step fits into the free resources."""
        return self.free_slots > 0 and step.need.fits(self.free)

    def count_subtasks(self, job: Job, gang: str) -> int:
        """Return how many subtasks of one step and occurrence run here, named `OCCURRENCE.STEP`."""
        return sum(1 for run in self.runs if run.job is job and gang_of(run.subtask) == gang)

    def allocate(self, job: Job, subtask: str) -> None:
        """Allocate resources to a run that is here or is about to start."""
        step = job.step_of(subtask)
        self.runs.append(AllocatedRun(job, subtask, step, is_stopping=False))
        self.free = self.free.minus(step.need)
        self.free_after_stops = self.free_after_stops.minus(step.need)
        self.free_slots -= 1

    def mark_stopping(self, allocated_run: AllocatedRun) -> None:
        """Record that a run is being stopped; its resources are free once it has ended."""
        allocated_run.is_stopping = True
        self.free_after_stops = self.free_after_stops.plus(allocated_run.step.need)

    def reserve(self, need: Resources) -> None:
        """Reserve resources for a waiting job, so that jobs planned after it do not get them."""
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
        self._by_id: dict[str, WorkerAllocation] = {}
        for worker in workers:
            self.by_service[worker.incarnation.service].append(worker)
            self._by_id[worker.incarnation.id] = worker

    @classmethod
    def from_ledger(
        cls,
        ledger: Ledger,
        health: Mapping[str, WorkerHealth],
        stopping: Collection[RunKey],
    ) -> "Fleet":
        """Return the fleet of a ledger, with the health of each worker and the stopping runs."""
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
            _allocate_unexpected_runs(worker, ledger)
        return cls(workers.values())

    def mark_stopping(self, job: Job, subtask: str) -> Run | None:
        """Mark a job's active run as stopping; return it, or None if there is none to stop."""
        run = job.subtasks[subtask].active
        worker = self._by_id.get(run.worker) if run is not None else None
        if worker is None:
            return None
        for allocated_run in worker.runs:
            is_it = allocated_run.job is job and allocated_run.subtask == subtask
            if is_it and not allocated_run.is_stopping:
                worker.mark_stopping(allocated_run)
                return run
        return None


def _allocate_run(
    workers: Mapping[str, WorkerAllocation], job: Job, name: str, run: Run, is_stopping: bool
) -> None:
    worker = workers.get(run.worker)
    if worker is None or worker.incarnation.born != run.born:
        return
    worker.allocate(job, name)
    if is_stopping or job.is_over or job.subtasks[name].is_done:
        worker.mark_stopping(worker.runs[-1])


def _allocate_unexpected_runs(worker: WorkerAllocation, ledger: Ledger) -> None:
    for job_id, name in worker.health.unexpected_runs:
        job = ledger.jobs.get(job_id)
        if job is not None:
            worker.allocate(job, name)
            worker.mark_stopping(worker.runs[-1])
