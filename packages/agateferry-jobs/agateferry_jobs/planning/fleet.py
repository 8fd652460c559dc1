"""The workers as the planner sees them: what is free now and once all stopping runs have ended."""

import math
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property

from agateferry_jobs.ledger import Job, Ledger, Run, WorkerIncarnation, WorkerState
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.ledger.state import gang_of

WorkerKey = tuple[str, int]
"""The id and `born` of a worker's incarnation."""
RunKey = tuple[str, str]
"""A job's id and a subtask's name."""
NOTHING = Resources()
PACE_CLASS_WIDTH = 0.2
"""Workers whose log paces differ by less count as equal, so that placement packs them as usual."""
UNLIMITED_SUBTASKS = 2**31
"""More subtasks than any worker holds, for a resource that a subtask does not need."""


@dataclass(frozen=True, slots=True)
class WorkerHealth:
    """What calls to a worker showed: whether it answers, and whether its runs fail or hang."""

    answers: bool = True
    accepts_starts: bool = True
    """Whether the worker has not rejected a start just now."""
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
        return self.free_slots + sum(1 for run in self.runs if run.is_stopping)

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
        self.add_runs([AllocatedRun(job, subtask, job.step_of(subtask), is_stopping=False)])

    def add_runs(self, runs: Sequence[AllocatedRun]) -> None:
        """Allocate resources to runs; those of stopping ones count as free after stops."""
        self.runs += runs
        kept = [run for run in runs if not run.is_stopping]
        self.free = self.free.minus(total_need(runs))
        self.free_after_stops = self.free_after_stops.minus(total_need(kept))
        self.free_slots -= len(runs)
        self.version += 1

    def mark_stopping(self, allocated_run: AllocatedRun) -> None:
        """Record that a run is being stopped; its resources are free once it has ended."""
        allocated_run.is_stopping = True
        self.version += 1
        self.free_after_stops = self.free_after_stops.plus(allocated_run.step.need)

    def reserve(self, need: Resources) -> None:
        """Reserve resources for a waiting job, so that jobs planned after it do not get them."""
        self.version += 1
        self.free_after_stops = self.free_after_stops.minus(need)
        self.free = Resources(
            min(self.free.cpu, self.free_after_stops.cpu),
            min(self.free.mem_mb, self.free_after_stops.mem_mb),
            min(self.free.gpu, self.free_after_stops.gpu),
        )


ShapeKey = tuple[str, Resources, str, tuple[str, ...]]
"""A service, what a subtask needs, its worker's label, and the allowed regions (empty: all)."""
CandidateKey = tuple[str, Resources, str, tuple[str, ...], float]
"""The same, and a limit of the worker's pace."""


class CandidateWorkers:
    """The workers that may run subtasks of one shape.

    `feasible` ones could if they were empty and answered; `usable` ones answer too. Both are also
    grouped by rack. `awaited` ones will be usable once they have reported.
    """

    def __init__(
        self,
        key: ShapeKey,
        feasible: list[WorkerAllocation],
        pace_limit: float = math.inf,
    ) -> None:
        self.key: CandidateKey = (*key, pace_limit)
        self._within_pace: dict[float, CandidateWorkers] = {}
        self.service = key[0]
        self.is_paced = pace_limit < math.inf
        """Whether slower workers are left out, so that a rack may hold more than it shows here."""
        self.feasible = feasible
        self.usable = [worker for worker in feasible if worker.health.may_start_runs]
        self.awaited = [worker for worker in feasible if worker.health.reports_soon]

    def within_pace(self, limit: float) -> "CandidateWorkers":
        """Return those of the workers whose runs take up to `limit` times as long as usual."""
        found = self._within_pace.get(limit)
        if found is None:
            workers = [worker for worker in self.feasible if worker.pace <= limit]
            found = CandidateWorkers(self.key[:4], workers, limit)
            self._within_pace[limit] = found
        return found

    @cached_property
    def feasible_racks(self) -> list[list[WorkerAllocation]]:
        """Return the feasible workers of each rack; only gangs that prefer one rack ask for it."""
        return _by_rack(self.feasible)

    @cached_property
    def usable_racks(self) -> list[list[WorkerAllocation]]:
        """Return the usable workers of each rack."""
        return _by_rack(self.usable)


class Fleet:
    """All workers of all services at one moment."""

    def __init__(self, workers: Iterable[WorkerAllocation], knows_regions: bool = False) -> None:
        self._knows_regions = knows_regions
        self.by_service: dict[str, list[WorkerAllocation]] = defaultdict(list)
        self._by_id: dict[str, WorkerAllocation] = {}
        for worker in workers:
            self.by_service[worker.incarnation.service].append(worker)
            self._by_id[worker.incarnation.id] = worker
        self._candidates: dict[ShapeKey, CandidateWorkers] = {}
        self.slowest_pace = self.fastest_pace = 1.0
        self._trials: Counter[str] = Counter()

    @classmethod
    def from_ledger(
        cls,
        ledger: Ledger,
        health: Mapping[str, WorkerHealth],
        stopping: Collection[RunKey],
        zone_regions: Mapping[str, str] | None = None,
    ) -> "Fleet":
        """Return the fleet of a ledger, with the health of each worker and the stopping runs.

        `zone_regions` maps zones to regions. Where none are known, queues may use all workers.
        """
        unknown = WorkerHealth(answers=False)
        evacuations, regions = ledger.state.evacuations, zone_regions or {}
        workers = {
            incarnation.id: WorkerAllocation(
                incarnation,
                health.get(incarnation.id, unknown),
                incarnation.capacity,
                incarnation.capacity,
                incarnation.slots,
                ledger.largest_capacity(incarnation),
                is_evacuated=incarnation.zone in evacuations,
                region=regions.get(incarnation.zone, ""),
            )
            for incarnation in ledger.workers.values()
        }
        for id, runs in _runs_by_worker(ledger, workers, stopping).items():
            workers[id].add_runs(runs)
        return cls(workers.values(), knows_regions=bool(regions))

    def candidates(
        self, service: str, step: StepSpec, allowed_regions: tuple[str, ...] = ()
    ) -> CandidateWorkers:
        """Return the workers of a service that may run a step's subtasks.

        Empty `allowed_regions` allow all.
        """
        regions = allowed_regions if self._knows_regions else ()
        key = (service, step.need, step.required_label, regions)
        found = self._candidates.get(key)
        if found is None:
            workers = self.by_service.get(service, [])
            if regions:
                workers = [each for each in workers if each.region in regions]
            feasible = [each for each in workers if each.is_ready and each.can_ever_run(step)]
            found = self._candidates[key] = CandidateWorkers(key, feasible)
        return found

    def set_paces(self, paces: Mapping[WorkerKey, float]) -> None:
        """Set the paces of the incarnations in `paces`, and 1 for all others."""
        if not paces and not self.has_paces:
            return
        for worker in self._by_id.values():
            incarnation = worker.incarnation
            worker.set_pace(paces.get((incarnation.id, incarnation.born), 1.0))
        values = [worker.pace for worker in self._by_id.values()]
        self.slowest_pace, self.fastest_pace = max(values, default=1.0), min(values, default=1.0)

    @property
    def has_paces(self) -> bool:
        """Return whether the workers are known to differ in pace."""
        return self.slowest_pace > self.fastest_pace

    def mark_trials(self, trials: Iterable[tuple[Job, str, Run]]) -> None:
        """Keep the workers of suspects on trial from other work; stopping runs end soon."""
        for job, subtask, run in trials:
            worker = self._by_id.get(run.worker)
            for each in worker.runs if worker is not None else ():
                is_it = each.job is job and each.subtask == subtask
                if worker is not None and is_it and not each.is_stopping:
                    self.open_trial(worker, job)

    def open_trial(self, worker: WorkerAllocation, job: Job) -> None:
        """Keep a worker for a suspected job."""
        if not worker.trial_job:
            self._trials[worker.incarnation.service] += 1
        worker.trial_job = job.id

    def count_trials(self, service: str) -> int:
        """Return how many workers of a service are kept for suspects."""
        return self._trials[service]

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


def total_need(runs: Sequence[AllocatedRun]) -> Resources:
    """Return what several runs need together."""
    return Resources(
        sum(run.step.need.cpu for run in runs),
        sum(run.step.need.mem_mb for run in runs),
        sum(run.step.need.gpu for run in runs),
    )


def _runs_by_worker(
    ledger: Ledger, workers: Mapping[str, WorkerAllocation], stopping: Collection[RunKey]
) -> dict[str, list[AllocatedRun]]:
    """Return the runs that the ledger places on each worker, then the unexpected ones."""
    runs: dict[str, list[AllocatedRun]] = defaultdict(list)
    for job in ledger.jobs.values():
        is_over = job.is_over
        for name, subtask in job.subtasks.items():
            active = subtask.active
            worker = workers.get(active.worker) if active is not None else None
            if active is None or worker is None or worker.incarnation.born != active.born:
                continue
            is_stopping = is_over or subtask.is_done or (job.id, name) in stopping
            runs[active.worker].append(AllocatedRun(job, name, job.step_of(name), is_stopping))
    for id, worker in workers.items():
        for job_id, name in worker.health.unexpected_runs:
            unexpected = ledger.jobs.get(job_id)
            step = _step_if_any(unexpected, name) if unexpected is not None else None
            if unexpected is not None and step is not None:
                runs[id].append(AllocatedRun(unexpected, name, step, is_stopping=True))
    return runs


def _step_if_any(job: Job, name: str) -> StepSpec | None:
    """Return the step of a subtask that a worker names, None where the job has no such step."""
    try:
        return job.step_of(name)
    except (ValueError, IndexError):
        return None


def _by_rack(workers: Sequence[WorkerAllocation]) -> list[list[WorkerAllocation]]:
    racks: dict[str, list[WorkerAllocation]] = defaultdict(list)
    for worker in workers:
        racks[worker.incarnation.rack].append(worker)
    return list(racks.values())
