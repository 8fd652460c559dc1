"""Observe whether jobs are kept idle beside free workers, from the ledger and the workers alone.

A job must not have nothing running for `IDLE_LIMIT_MS` on end while a subtask of it may start, the
workers that may start runs have room for it twice over, and under half of the service is in use.
The watch shares no limit or count with the planner, so that it finds what is wrong there.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Protocol

from agateferry_jobs.ledger import Job, Ledger, Run, WorkerIncarnation, WorkerState
from agateferry_jobs.ledger.specs import Resources, StepSpec, sum_of
from agateferry_jobs.planning import Plan, WorkerHealth

IDLE_LIMIT_MS = 3_000
MAX_SHARE_IN_USE = 0.5
"""The share of the capacity in use from which on a job may be idle."""
ROOM_FACTOR = 2
"""How many times over a gang, or one subtask, must fit before its job counts as kept idle."""


class ObservedCell(Protocol):
    """The jobs, workers and runs that a watch observes."""

    start_ms: int
    """The time that reported times count from."""

    @property
    def ledger(self) -> Ledger:
        """Return the ledger, which has the jobs."""

    @property
    def now_ms(self) -> int:
        """Return the time."""

    @property
    def plan(self) -> Plan:
        """Return the newest plan."""

    @property
    def health(self) -> Mapping[str, WorkerHealth]:
        """Return the health of each worker."""

    @property
    def refusing(self) -> Collection[str]:
        """Return the ids of the workers that refuse each start."""

    @property
    def workers(self) -> Mapping[str, WorkerIncarnation]:
        """Return the workers by their ids."""

    def active_runs(self) -> Iterable[tuple[Job, str, Run]]:
        """Return the runs, with their job and subtask."""


@dataclass(frozen=True, slots=True)
class IdleViolation:
    """A job that was kept idle for too long; times are in ms, `since_ms` from the start."""

    job: str
    shape: str
    since_ms: int
    idle_ms: int
    reason: str
    """Why the job waits, by the newest plan."""
    is_beside_gang: bool
    """Whether a gang of another job waits too."""

    def __str__(self) -> str:
        beside = ", beside a waiting gang" if self.is_beside_gang else ""
        return (
            f"{self.job} ({self.shape}{beside}) idle for {self.idle_ms} ms"
            f" from {self.since_ms} ms on, reason {self.reason}"
        )


class IdleWatch:
    """Observe a cell, such as a play after each of its plans."""

    def __init__(self, cell: ObservedCell) -> None:
        self._cell = cell
        self._since_ms: dict[str, int] = {}
        self._found: dict[tuple[str, int], IdleViolation] = {}
        self.has_waiting = False
        """Whether a job had a subtask that might start and nothing running, when last observed."""
        self.longest_idle_ms = 0
        """The longest time for which a job was kept idle."""

    @property
    def found(self) -> list[IdleViolation]:
        """Return the jobs that were kept idle, once for each time."""
        return list(self._found.values())

    def observe(self) -> None:
        """Advance the clock of each job that is idle now, and reset that of all others."""
        running = {job.id for job, _, _ in self._cell.active_runs()}
        waiting = {}
        for job in self._cell.ledger.jobs.values():
            ready = list(self._ready_steps(job)) if job.id not in running else []
            if ready:
                waiting[job.id] = ready
        self.has_waiting = bool(waiting)
        idle = self._idle_among(waiting) if waiting else {}
        self._since_ms = {id: self._since_ms.get(id, self._cell.now_ms) for id in idle}
        for id, step in idle.items():
            idle_ms = self._cell.now_ms - self._since_ms[id]
            self.longest_idle_ms = max(self.longest_idle_ms, idle_ms)
            if idle_ms >= IDLE_LIMIT_MS:
                self._record(id, step, waiting)

    def idle_jobs(self) -> list[str]:
        """Return the jobs whose clock runs."""
        return list(self._since_ms)

    def _record(
        self, id: str, step: StepSpec, waiting: dict[str, list[tuple[str, StepSpec]]]
    ) -> None:
        plan, since_ms = self._cell.plan, self._since_ms[id]
        others = [step for other, ready in waiting.items() if other != id for _, step in ready]
        self._found[id, since_ms] = IdleViolation(
            id,
            shape_of(self._cell.ledger.jobs[id], step),
            since_ms - self._cell.start_ms,
            self._cell.now_ms - since_ms,
            plan.errors.get(id, plan.waits.get(id, "none")),
            any(other.is_gang for other in others),
        )

    def _ready_steps(self, job: Job) -> Iterator[tuple[str, StepSpec]]:
        """Return the steps of which a subtask may start, of a job with nothing running."""
        if job.is_over:
            return
        for occurrence in range(job.spec.occurrences):
            if job.spec.due_ms(occurrence) > self._cell.now_ms:
                return
            for number, step in enumerate(job.spec.steps):
                gang = f"{occurrence}.{number}"
                is_left = not job.is_step_done(occurrence, number)
                if is_left and all(job.is_step_done(occurrence, each) for each in step.depends_on):
                    yield gang, step

    def _idle_among(self, waiting: dict[str, list[tuple[str, StepSpec]]]) -> dict[str, StepSpec]:
        """Return the waiting jobs that might run, each with the step that might."""
        service = ServiceRoom(self._cell)
        if not service.is_under_half_in_use():
            return {}
        found = {}
        for id, ready in waiting.items():
            for _, step in ready:
                if service.has_room(step):
                    found[id] = step
                    break
        return found


class ServiceRoom:
    """What the workers of a service have in use and free, at one moment."""

    def __init__(self, cell: ObservedCell) -> None:
        self._cell = cell
        self._runs: dict[str, list[Resources]] = defaultdict(list)
        for job, name, run in cell.active_runs():
            known = cell.workers.get(run.worker)
            if known is not None and known.born == run.born:
                self._runs[run.worker].append(job.step_of(name).need)

    def is_under_half_in_use(self) -> bool:
        """Return whether under half of the cores and accelerators that answer are in use."""
        return self.share_in_use() < MAX_SHARE_IN_USE

    def share_in_use(self) -> float:
        """Return the share in use of the cores or the accelerators that answer, the larger one."""
        answering = [each for each in self._workers() if self._cell.health[each.id].answers]
        total = sum_of(each.capacity for each in answering)
        used = sum_of(need for each in answering for need in self._runs[each.id])
        if not total.cpu or not total.gpu:
            return 1.0
        return max(used.cpu / total.cpu, used.gpu / total.gpu)

    def has_room(self, step: StepSpec) -> bool:
        """Return whether a gang, or else one subtask, fits `ROOM_FACTOR` times."""
        wanted = ROOM_FACTOR * (step.count if step.is_gang else 1)
        found = 0
        for incarnation in self._workers():
            if found >= wanted:
                break
            found += self.count_fitting(incarnation, step)
        return found >= wanted

    def _workers(self) -> list[WorkerIncarnation]:
        return list(self._cell.workers.values())

    def _may_start_runs(self, incarnation: WorkerIncarnation) -> bool:
        cell = self._cell
        is_open = (
            incarnation.state is WorkerState.READY
            and incarnation.zone not in cell.ledger.state.evacuations
            and incarnation.id not in cell.refusing
        )
        return is_open and cell.health[incarnation.id].may_start_runs

    def count_fitting(self, incarnation: WorkerIncarnation, step: StepSpec) -> int:
        """Return how many subtasks may start on a worker on which none of their job run."""
        if not self._may_start_runs(incarnation):
            return 0
        if step.required_label and step.required_label not in incarnation.labels:
            return 0
        runs = self._runs[incarnation.id]
        free = incarnation.capacity.minus(sum_of(runs))
        if not Resources().fits(free):
            return 0
        limits = [incarnation.slots - len(runs)]
        for needed, available in zip(_amounts(step.need), _amounts(free), strict=True):
            if needed:
                limits.append(available // needed)
        if step.max_per_worker:
            limits.append(step.max_per_worker)
        return max(0, min(limits))


def shape_of(job: Job, step: StepSpec) -> str:
    """Return what decides where and when a step of a job starts, in words."""
    need = f"{step.need.gpu} GPUs, {step.need.cpu} millicores"
    kind = "gang" if step.is_gang else "subtasks"
    parts = [f"{step.count} {kind} of {need}, expected {step.estimated_ms} ms"]
    parts.append(f"priority {job.priority} of {job.team}")
    for name in ("same_rack", "data_rack", "required_label", "max_per_worker"):
        if value := getattr(step, name):
            parts.append(f"{name} {value}")
    if step.is_long_running:
        parts.append("long-running")
    if job.crashes:
        parts.append(f"{sum(map(len, job.crashes.values()))} crashes")
    return ", ".join(parts)


def _amounts(resources: Resources) -> tuple[int, int, int]:
    return resources.cpu, resources.mem_mb, resources.gpu
