"""One worker as the planner sees it: its health, its runs, and what is free now and later."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from agateferry_jobs.ledger import Job, WorkerIncarnation, WorkerState
from agateferry_jobs.ledger.specs import Resources, StepSpec, sum_of
from agateferry_jobs.ledger.state import RunKey, gang_of

NOTHING = Resources()
PACE_CLASS_WIDTH = 0.2
"""Workers whose log paces differ by less count as equal, so that placement packs them as usual."""
UNLIMITED_SUBTASKS = 2**31
"""More subtasks than any worker holds, for a resource that a subtask does not need."""


@dataclass(frozen=True, slots=True)
class WorkerHealth:
    """What calls to a worker showed: whether it answers, and whether its runs fail or hang."""

    answers: bool = True
    may_return: bool = True
    """Whether a worker that does not answer has been silent so briefly that it may be back soon."""
    accepts_starts: bool = True
    """Whether the worker has neither rejected a start nor left one unanswered just now."""
    has_recent_report: bool = True
    """Whether the worker has reported its capacity lately enough to start work by it."""
    reports_soon: bool = False
    """Whether such a report is still awaited, from a worker that has just begun to answer."""
    is_suspect: bool = False
    is_cold: bool = False
    """Whether the worker has started lately, so that runs are slow on it for now."""
    unexpected_runs: tuple[RunKey, ...] = ()
    """Runs that the worker reports but the ledger does not place there; they use resources too."""

    @property
    def is_expected(self) -> bool:
        """Return whether the worker answers or may do so again in time for work that waits."""
        return self.answers or self.may_return

    @property
    def may_start_runs(self) -> bool:
        """Return whether new runs may be ordered from the worker now."""
        return self.answers and self.accepts_starts and self.has_recent_report


@dataclass(slots=True)
class AllocatedRun:
    """A run that holds resources of a worker."""

    job: Job
    subtask: str
    step: StepSpec
    is_stopping: bool
    pace: float = 1.0
    """The pace of its worker."""
    is_overdue: bool = False
    """Whether its stop has taken so long that its end is not counted on."""

    @property
    def started_ms(self) -> int:
        """Return when its subtask's newest run was started; 0 if the job has ended since."""
        subtask = self.job.subtasks.get(self.subtask)
        return subtask.started_ms if subtask is not None else 0

    @property
    def ends_soon(self) -> bool:
        """Return whether what it holds counts as free after stops."""
        return self.is_stopping and not self.is_overdue


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
    largest_capacity: Resources
    """The largest capacity that the worker has reported; it may be smaller for a while."""
    runs: list[AllocatedRun] = field(default_factory=list)
    yielding: Resources = NOTHING
    """What reservations that yield to idle jobs take of the free resources."""
    is_evacuated: bool = False
    """Whether the worker's zone is evacuated."""
    region: str = ""
    """The region of the worker's zone; empty if it is not known."""
    trial_job: str = ""
    """The id of a suspected job that runs here; until it has shown to be safe, no other starts."""
    pace: float = 1.0
    """How many times as long as usual its runs take; 1 where paces are not known to differ."""
    pace_class: int = 0
    """The logarithm of the pace in steps of `PACE_CLASS_WIDTH`."""
    version: int = 0
    """Grows with each change of the runs or of what is free."""

    @property
    def is_ready(self) -> bool:
        """Return whether this worker may get new runs, provided that it answers."""
        return self.incarnation.state is WorkerState.READY and not self.is_evacuated

    @property
    def slots_after_stops(self) -> int:
        """Return the free slots once all stopping runs have ended."""
        return self.free_slots + sum(1 for run in self.runs if run.ends_soon)

    @property
    def free_for_idle_jobs(self) -> Resources:
        """Return what would be free now without the reservations that yield to idle jobs."""
        return self.free.plus(self.yielding)

    def set_pace(self, pace: float) -> None:
        """Set the pace of the worker and of the runs on it."""
        self.pace = pace
        self.pace_class = round(math.log(pace) / PACE_CLASS_WIDTH)
        for run in self.runs:
            run.pace = pace

    def can_ever_run(self, step: StepSpec) -> bool:
        """Return whether a subtask would fit here if the worker were empty and at its largest."""
        if step.required_label and step.required_label not in self.incarnation.labels:
            return False
        return step.need.fits(self.largest_capacity)

    def is_open_to(self, job: Job) -> bool:
        """Return whether runs of a job may start here, as far as suspects are concerned."""
        return self.trial_job in ("", job.id)

    def fits_now(self, step: StepSpec) -> bool:
        """Return whether a subtask of this step fits into the free resources."""
        return self.free_slots > 0 and step.need.fits(self.free)

    def count_subtasks(self, job: Job, gang: str) -> int:
        """Return how many subtasks of one step and occurrence run here, named `OCCURRENCE.STEP`."""
        return sum(1 for run in self.runs if run.job is job and gang_of(run.subtask) == gang)

    def max_subtasks(self, step: StepSpec, available: Resources, job: Job, gang: str) -> int:
        """Return how many subtasks of a step fit into `available`; slots are not counted."""
        if not NOTHING.fits(available):
            return 0
        need = step.need
        fitting = self.incarnation.slots
        if need.cpu or need.mem_mb or need.gpu:
            fitting = min(
                available.cpu // need.cpu if need.cpu else UNLIMITED_SUBTASKS,
                available.mem_mb // need.mem_mb if need.mem_mb else UNLIMITED_SUBTASKS,
                available.gpu // need.gpu if need.gpu else UNLIMITED_SUBTASKS,
            )
        if step.max_per_worker:
            fitting = min(fitting, step.max_per_worker - self.count_subtasks(job, gang))
        return max(0, fitting)

    def allocate(self, job: Job, subtask: str) -> None:
        """Allocate resources to a run that is about to start."""
        step = job.step_of(subtask)
        self.add_runs([AllocatedRun(job, subtask, step, is_stopping=False, pace=self.pace)])

    def add_runs(self, runs: Sequence[AllocatedRun]) -> None:
        """Allocate resources to runs; those of stopping ones count as free after stops."""
        self.runs += runs
        kept = [run for run in runs if not run.ends_soon]
        self.free = self.free.minus(total_need(runs))
        self.free_after_stops = self.free_after_stops.minus(total_need(kept))
        self.free_slots -= len(runs)
        self.version += 1

    def mark_stopping(self, allocated_run: AllocatedRun) -> None:
        """Record that a run is being stopped; its resources are free once it has ended."""
        allocated_run.is_stopping = True
        self.version += 1
        self.free_after_stops = self.free_after_stops.plus(allocated_run.step.need)

    def reserve(self, need: Resources, yields: bool) -> None:
        """Reserve resources for a waiting job, so that jobs planned after it do not get them.

        A reservation that yields is passed over for jobs that have been idle for too long.
        """
        self.version += 1
        self.free_after_stops = self.free_after_stops.minus(need)
        free_for_idle_jobs = self.free_for_idle_jobs
        self.free = Resources(
            min(self.free.cpu, self.free_after_stops.cpu),
            min(self.free.mem_mb, self.free_after_stops.mem_mb),
            min(self.free.gpu, self.free_after_stops.gpu),
        )
        if yields:
            self.yielding = free_for_idle_jobs.minus(self.free)


def total_need(runs: Sequence[AllocatedRun]) -> Resources:
    """Return what several runs need together."""
    return sum_of(run.step.need for run in runs)
