"""All workers as the planner sees them, with the runs that the ledger places on them."""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping

from agateferry_jobs.ledger import Job, Ledger, Run
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.ledger.state import RunKey, WorkerKey
from agateferry_jobs.planning.candidates import CandidateWorkers, ShapeKey
from agateferry_jobs.planning.plan_limits import Steps, run_all
from agateferry_jobs.planning.worker_allocation import AllocatedRun, WorkerAllocation, WorkerHealth


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
        overdue: Collection[RunKey] = (),
    ) -> "Fleet":
        """Return the fleet of a ledger, with the health of each worker and the stopping runs.

        Nobody counts on the ends of those in `overdue`, whose stops have taken too long.
        `zone_regions` maps zones to regions. Where none are known, queues may use all workers.
        """
        return run_all(cls.build(ledger, health, stopping, zone_regions, overdue))

    @classmethod
    def build(
        cls,
        ledger: Ledger,
        health: Mapping[str, WorkerHealth],
        stopping: Collection[RunKey],
        zone_regions: Mapping[str, str] | None = None,
        overdue: Collection[RunKey] = (),
    ) -> "Steps[Fleet]":
        """Do the same step by step."""
        unknown = WorkerHealth(answers=False)
        evacuations, regions = ledger.state.evacuations, zone_regions or {}
        workers: dict[str, WorkerAllocation] = {}
        for incarnation in list(ledger.workers.values()):
            workers[incarnation.id] = WorkerAllocation(
                incarnation,
                health.get(incarnation.id, unknown),
                incarnation.capacity,
                incarnation.capacity,
                incarnation.slots,
                ledger.largest_capacity(incarnation),
                is_evacuated=incarnation.zone in evacuations,
                region=regions.get(incarnation.zone, ""),
            )
            yield
        runs = yield from _runs_by_worker(ledger, workers, stopping, overdue)
        for id, on_worker in runs.items():
            workers[id].add_runs(on_worker)
            yield
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
        known = job.subtasks.get(subtask)
        run = known.active if known is not None else None
        worker = self._by_id.get(run.worker) if run is not None else None
        if worker is None:
            return None
        for allocated_run in worker.runs:
            is_it = allocated_run.job is job and allocated_run.subtask == subtask
            if is_it and not allocated_run.is_stopping:
                worker.mark_stopping(allocated_run)
                return run
        return None


def _runs_by_worker(
    ledger: Ledger,
    workers: Mapping[str, WorkerAllocation],
    stopping: Collection[RunKey],
    overdue: Collection[RunKey],
) -> Steps[dict[str, list[AllocatedRun]]]:
    """Return the runs that the ledger places on each worker, then the unexpected ones."""
    runs: dict[str, list[AllocatedRun]] = defaultdict(list)
    for key, active in ledger.active_runs.in_order(ledger.jobs):
        yield
        worker = workers.get(active.worker)
        job = ledger.jobs.get(key[0])
        subtask = job.subtasks.get(key[1]) if job is not None else None
        if worker is None or worker.incarnation.born != active.born:
            continue
        if job is None or subtask is None or subtask.active != active:
            continue
        is_stopping = job.is_over or subtask.is_done or key in stopping
        step, is_overdue = job.step_of(key[1]), key in overdue
        runs[active.worker].append(
            AllocatedRun(job, key[1], step, is_stopping, is_overdue=is_overdue)
        )
    for id, worker in workers.items():
        for job_id, name in worker.health.unexpected_runs:
            unexpected = ledger.jobs.get(job_id)
            known = _step_if_any(unexpected, name) if unexpected is not None else None
            if unexpected is not None and known is not None:
                runs[id].append(AllocatedRun(unexpected, name, known, is_stopping=True))
    return runs


def _step_if_any(job: Job, name: str) -> StepSpec | None:
    """Return the step of a subtask that a worker names, None where the job has no such step."""
    try:
        return job.step_of(name)
    except (ValueError, IndexError):
        return None
