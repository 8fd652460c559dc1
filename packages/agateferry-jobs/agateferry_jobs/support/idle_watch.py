"""Observe whether jobs are kept idle beside free workers, from the ledger and the workers alone.

A job must not have nothing running for `IDLE_LIMIT_MS` on end while a subtask of it may start, the
workers that may start runs have room for it twice over, and under half of the service is in use.
"""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from agateferry_jobs.ledger import Job, WorkerIncarnation, WorkerState
from agateferry_jobs.ledger.specs import Resources, StepSpec, sum_of
from agateferry_jobs.support.planning_play import START_MS, PlanningPlay, active_runs

IDLE_LIMIT_MS = 3_000
ROOM_FACTOR = 2
"""How many times over a gang, or one subtask, must fit before its job counts as kept idle."""


@dataclass(frozen=True, slots=True)
class IdleJob:
    """A job that was kept idle for too long; times are in ms, `since_ms` from the play's start."""

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
    """Observe a play after each of its plans."""

    def __init__(self, play: PlanningPlay) -> None:
        self._play = play
        self._since_ms: dict[str, int] = {}
        self._found: dict[tuple[str, int], IdleJob] = {}
        self.has_waiting = False
        """Whether a job had a subtask that might start and nothing running, when last observed."""

    @property
    def found(self) -> list[IdleJob]:
        """Return the jobs that were kept idle, once for each time."""
        return list(self._found.values())

    def observe(self) -> None:
        """Advance the clock of each job that is idle now, and reset that of all others."""
        waiting = {}
        for job in self._play.ledger.jobs.values():
            ready = list(self._ready_steps(job))
            if ready:
                waiting[job.id] = ready
        self.has_waiting = bool(waiting)
        idle = self._idle_among(waiting) if waiting else {}
        self._since_ms = {id: self._since_ms.get(id, self._play.now_ms) for id in idle}
        for id, step in idle.items():
            if self._play.now_ms - self._since_ms[id] >= IDLE_LIMIT_MS:
                self._record(id, step, waiting)

    def idle_jobs(self) -> list[str]:
        """Return the jobs whose clock runs."""
        return list(self._since_ms)

    def _record(
        self, id: str, step: StepSpec, waiting: dict[str, list[tuple[str, StepSpec]]]
    ) -> None:
        plan, since_ms = self._play.plan, self._since_ms[id]
        others = [step for other, ready in waiting.items() if other != id for _, step in ready]
        self._found[id, since_ms] = IdleJob(
            id,
            shape_of(self._play.ledger.jobs[id], step),
            since_ms - START_MS,
            self._play.now_ms - since_ms,
            plan.errors.get(id, plan.waits.get(id, "none")),
            any(other.is_gang for other in others),
        )

    def _ready_steps(self, job: Job) -> Iterator[tuple[str, StepSpec]]:
        """Return the steps of which a subtask may start, of a job with nothing running."""
        if job.is_over or any(each.active is not None for each in job.subtasks.values()):
            return
        for occurrence in range(job.spec.occurrences):
            if job.spec.due_ms(occurrence) > self._play.now_ms:
                return
            for number, step in enumerate(job.spec.steps):
                gang = f"{occurrence}.{number}"
                is_left = not job.is_step_done(occurrence, number)
                if is_left and all(job.is_step_done(occurrence, each) for each in step.depends_on):
                    yield gang, step

    def _idle_among(self, waiting: dict[str, list[tuple[str, StepSpec]]]) -> dict[str, StepSpec]:
        """Return the waiting jobs that might run, each with the step that might."""
        service = ServiceRoom(self._play)
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

    def __init__(self, play: PlanningPlay) -> None:
        self._play = play
        self._runs: dict[str, list[Resources]] = defaultdict(list)
        for job, name, run in active_runs(play.ledger):
            known = play.ledger.workers.get(run.worker)
            if known is not None and known.born == run.born:
                self._runs[run.worker].append(job.step_of(name).need)

    def is_under_half_in_use(self) -> bool:
        """Return whether under half of the cores and accelerators that answer are in use."""
        answering = [each for each in self._workers() if self._play.health[each.id].answers]
        total = sum_of(each.capacity for each in answering)
        used = sum_of(need for each in answering for need in self._runs[each.id])
        return 2 * used.cpu < total.cpu and 2 * used.gpu < total.gpu

    def has_room(self, step: StepSpec) -> bool:
        """Return whether a gang, or else one subtask, fits `ROOM_FACTOR` times."""
        wanted = ROOM_FACTOR * (step.count if step.is_gang else 1)
        found = 0
        for incarnation in self._workers():
            if found >= wanted:
                break
            if self._may_start_runs(incarnation):
                found += self._count_fitting(incarnation, step)
        return found >= wanted

    def _workers(self) -> list[WorkerIncarnation]:
        return list(self._play.ledger.workers.values())

    def _may_start_runs(self, incarnation: WorkerIncarnation) -> bool:
        play = self._play
        is_open = (
            incarnation.state is WorkerState.READY
            and incarnation.zone not in play.ledger.state.evacuations
            and incarnation.id not in play.refusing
        )
        return is_open and play.health[incarnation.id].may_start_runs

    def _count_fitting(self, incarnation: WorkerIncarnation, step: StepSpec) -> int:
        """Return how many subtasks fit on a worker on which none of their job run."""
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
