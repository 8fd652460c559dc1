"""Simulated workers of a zone, which execute the scheduler's decisions in virtual time.

The simulation counts free resources independently of the scheduler and raises
`InvariantError` for a decision that no real zone could execute.
"""

from collections import Counter
from dataclasses import dataclass, field

from agateferry_core.demand import Adjacency, Assignment, Demand, Urgency, Worker
from agateferry_scheduling.scheduler.messages import PendingRequest
from agateferry_scheduling.topology.resources import Resources, total_resources


class InvariantError(AssertionError):
    """A decision of the scheduler violated an invariant; the text says which."""


@dataclass(slots=True)
class Run:
    """One run of a request, until it ends, is stopped or loses a worker.

    `workers` counts the members on each worker. `failing_workers` are those of them that make the
    run fail. `checkpoint_ms` is when it was ordered to stop, if it had time for a checkpoint then.
    """

    request: PendingRequest
    workers: Counter[str]
    started_ms: int
    remaining_ms: int
    failing_workers: tuple[str, ...] = ()
    checkpoint_ms: int | None = None


@dataclass
class Cluster:
    """The workers that are up, their free resources and the runs on them, by name or request id.

    `broken` workers fail every run that starts there. `leaving` workers accept no new run,
    and no worker does while the zone is `evacuated`.
    """

    workers: dict[str, Worker] = field(default_factory=dict)
    free: dict[str, Resources] = field(default_factory=dict)
    runs: dict[str, Run] = field(default_factory=dict)
    broken: set[str] = field(default_factory=set)
    leaving: set[str] = field(default_factory=set)
    evacuated: bool = False

    def join(self, worker: Worker) -> None:
        """Add an empty worker."""
        self.workers[worker.name] = worker
        self.free[worker.name] = total_resources(worker)
        self.leaving.discard(worker.name)

    def remove_worker(self, name: str) -> list[str]:
        """Remove a worker and return the ids of the requests that ran there."""
        self.workers.pop(name, None)
        self.free.pop(name, None)
        return [request_id for request_id, run in self.runs.items() if name in run.workers]

    def start(
        self,
        request: PendingRequest,
        assignments: tuple[Assignment, ...],
        now_ms: int,
        remaining_ms: int,
    ) -> Run:
        """Start a run; raise `InvariantError` unless its gang is whole, adjacent and fits."""
        request_id = request.request_id
        if request_id in self.runs:
            raise InvariantError(f"{request_id} is already running")
        self._check_whole(request, assignments)
        workers = Counter(assignment.worker for assignment in assignments)
        self._check_adjacent(request, workers)
        for name, members in workers.items():
            self.free[name].add(request.demand, -members)
            if self.free[name].is_negative():
                raise InvariantError(f"{request_id} takes {name} over its capacity")
        failing_workers = tuple(name for name in workers if name in self.broken)
        run = Run(request, workers, now_ms, remaining_ms, failing_workers)
        self.runs[request_id] = run
        return run

    def end(self, request_id: str) -> Run:
        """Remove a run and release its resources."""
        run = self.runs.pop(request_id)
        for name, members in run.workers.items():
            if name in self.free:
                self.free[name].add(run.request.demand, members)
        return run

    def could_fit_urgent(self, demand: Demand) -> bool:
        """Return whether an urgent request would fit on one worker without its preemptible runs.

        Runs of urgent requests count as not preemptible here.
        """
        not_preemptible: dict[str, Resources] = {name: Resources() for name in self.workers}
        for run in self.runs.values():
            if run.request.preemptible and run.request.urgency is not Urgency.URGENT:
                continue
            for name, members in run.workers.items():
                if name in not_preemptible:
                    not_preemptible[name].add(run.request.demand, members)
        return any(
            total_resources(worker).minus(not_preemptible[name]).fitting_members(demand)
            >= demand.members
            for name, worker in self.workers.items()
        )

    def _check_whole(self, request: PendingRequest, assignments: tuple[Assignment, ...]) -> None:
        numbers = sorted(assignment.member for assignment in assignments)
        if numbers != list(range(request.demand.members)):
            raise InvariantError(f"{request.request_id} starts with members {numbers}")
        if any(
            assignment.accelerators != request.demand.accelerators for assignment in assignments
        ):
            raise InvariantError(
                f"{request.request_id} does not get the accelerators of its demand"
            )

    def _check_adjacent(self, request: PendingRequest, workers: Counter[str]) -> None:
        for name in workers:
            if self.evacuated or name not in self.workers or name in self.leaving:
                raise InvariantError(f"{request.request_id} starts on {name}, which is closed")
        adjacency = request.demand.adjacency
        racks = {self.workers[name].rack for name in workers}
        if adjacency is Adjacency.WORKER and len(workers) > 1:
            raise InvariantError(f"{request.request_id} is placed on several workers")
        if adjacency is Adjacency.RACK and len(racks) > 1:
            raise InvariantError(f"{request.request_id} is placed in several racks")
