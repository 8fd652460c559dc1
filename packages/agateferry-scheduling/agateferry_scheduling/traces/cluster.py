"""A small fake of a zone's workers, which carries decisions out in virtual time.

It keeps its own books, apart from the scheduler's, and raises `BrokenInvariant` for a decision that
no real zone could carry out.
"""

from collections import Counter
from dataclasses import dataclass, field

from agateferry_core.demand import Adjacency, Assignment, Demand, Urgency, Worker
from agateferry_scheduling.scheduler.messages import PendingRequest
from agateferry_scheduling.topology.resources import Resources, total_resources


class BrokenInvariant(AssertionError):  # noqa: N818
    """A decision broke what must always hold; the text says how."""


@dataclass(slots=True)
class Run:
    """One run of a request, until it ends, is stopped or its worker is lost."""

    request: PendingRequest
    workers: Counter[str]
    started_ms: int
    left_ms: int
    fails_on: tuple[str, ...] = ()
    stop_ms: int | None = None


@dataclass
class Cluster:
    """The workers that are up, what runs on them, and which are broken."""

    workers: dict[str, Worker] = field(default_factory=dict)
    free: dict[str, Resources] = field(default_factory=dict)
    runs: dict[str, Run] = field(default_factory=dict)
    broken: set[str] = field(default_factory=set)
    leaving: set[str] = field(default_factory=set)

    def join(self, worker: Worker) -> None:
        """Add an empty worker."""
        self.workers[worker.name] = worker
        self.free[worker.name] = total_resources(worker)
        self.leaving.discard(worker.name)

    def lose(self, name: str) -> list[str]:
        """Remove a worker and return the requests that ran there."""
        self.workers.pop(name, None)
        self.free.pop(name, None)
        return [request_id for request_id, run in self.runs.items() if name in run.workers]

    def start(
        self,
        request: PendingRequest,
        assignments: tuple[Assignment, ...],
        now_ms: int,
        left_ms: int,
    ) -> Run:
        """Start a whole gang, and check that it is whole, adjacent and fits."""
        request_id = request.request_id
        if request_id in self.runs:
            raise BrokenInvariant(f"{request_id} runs already")
        self._check_whole(request, assignments)
        workers = Counter(assignment.worker for assignment in assignments)
        self._check_adjacent(request, workers)
        for name, members in workers.items():
            self.free[name].add(request.demand, -members)
            if self.free[name].is_negative():
                raise BrokenInvariant(f"{request_id} takes {name} over its capacity")
        fails_on = tuple(name for name in workers if name in self.broken)
        run = Run(request, workers, now_ms, left_ms, fails_on)
        self.runs[request_id] = run
        return run

    def end(self, request_id: str) -> Run:
        """Give a run's share back."""
        run = self.runs.pop(request_id)
        for name, members in run.workers.items():
            if name in self.free:
                self.free[name].add(run.request.demand, members)
        return run

    def could_hold_urgent(self, demand: Demand) -> bool:
        """Tell whether an urgent single task would fit if all other work that may stop did."""
        fixed: dict[str, Resources] = {name: Resources() for name in self.workers}
        for run in self.runs.values():
            if run.request.preemptible and run.request.urgency is not Urgency.URGENT:
                continue
            for name, members in run.workers.items():
                if name in fixed:
                    fixed[name].add(run.request.demand, members)
        return any(
            total_resources(worker).minus(fixed[name]).fitting_members(demand) >= demand.members
            for name, worker in self.workers.items()
        )

    def _check_whole(self, request: PendingRequest, assignments: tuple[Assignment, ...]) -> None:
        numbers = sorted(assignment.member for assignment in assignments)
        if numbers != list(range(request.demand.members)):
            raise BrokenInvariant(f"{request.request_id} starts with members {numbers}")
        if any(a.accelerators != request.demand.accelerators for a in assignments):
            raise BrokenInvariant(f"{request.request_id} gets other accelerators than it asks for")

    def _check_adjacent(self, request: PendingRequest, workers: Counter[str]) -> None:
        for name in workers:
            if name not in self.workers or name in self.leaving:
                raise BrokenInvariant(f"{request.request_id} starts on {name}, which is closed")
        adjacency = request.demand.adjacency
        racks = {self.workers[name].rack for name in workers}
        if adjacency is Adjacency.WORKER and len(workers) > 1:
            raise BrokenInvariant(f"{request.request_id} lies on several workers")
        if adjacency is Adjacency.RACK and len(racks) > 1:
            raise BrokenInvariant(f"{request.request_id} lies in several racks")
