"""The racks and workers of one zone, what they have free and what is placed on them.

What counts as free is worked out from what was placed, and never from reported usage, which lags:
an allocation takes its share from the moment of the decision until its end is reported.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from agateferry_core.demand import Assignment, Demand, Worker
from agateferry_scheduling.scheduler.messages import PendingRequest


class Backing(StrEnum):
    """Say by what right an allocation holds its workers.

    GUARANTEED work lies within its team's guaranteed shapes, BORROWED work can be taken back, and
    PINNED work lies outside every guarantee and cannot be taken back.
    """

    GUARANTEED = "guaranteed"
    BORROWED = "borrowed"
    PINNED = "pinned"


@dataclass(slots=True)
class Allocation:
    """A request that holds workers."""

    request: PendingRequest
    assignments: tuple[Assignment, ...]
    started_ms: int
    backing: Backing = Backing.BORROWED
    stopping: bool = False
    counts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Count the members on each worker once, because every release needs it."""
        for assignment in self.assignments:
            self.counts[assignment.worker] = self.counts.get(assignment.worker, 0) + 1


@dataclass(slots=True)
class WorkerState:
    """One worker with what it has free."""

    worker: Worker
    number: int
    free_accelerators: int = 0
    free_slots: int = 0
    free_cpu: int = 0
    free_memory: int = 0
    draining: bool = False
    quarantined: bool = False
    requests: set[str] = field(default_factory=set)

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.worker.name

    def is_open(self) -> bool:
        """Tell whether new work may come here."""
        return not (self.draining or self.quarantined)

    def room_for(self, demand: Demand) -> int:
        """Return how many members of the demand fit into what is free now."""
        room = min(self.free_slots, demand.members)
        if demand.accelerators:
            room = min(room, self.free_accelerators // demand.accelerators)
        if demand.cpu_cores:
            room = min(room, self.free_cpu // demand.cpu_cores)
        if demand.memory_mb:
            room = min(room, self.free_memory // demand.memory_mb)
        return max(room, 0)

    def reset(self) -> None:
        """Set everything free again."""
        self.free_accelerators = self.worker.accelerators
        self.free_slots = self.worker.slots
        self.free_cpu = self.worker.cpu_cores
        self.free_memory = self.worker.memory_mb

    def take(self, demand: Demand, members: int) -> None:
        """Take the share of so many members; a negative number gives it back."""
        self.free_accelerators -= demand.accelerators * members
        self.free_slots -= members
        self.free_cpu -= demand.cpu_cores * members
        self.free_memory -= demand.memory_mb * members


@dataclass(slots=True)
class RackState:
    """The workers of one rack, whose accelerators are adjacent."""

    name: str
    workers: dict[str, WorkerState] = field(default_factory=dict)
    free_accelerators: int = 0
    accelerators: int = 0


def capacity_for(worker: Worker, demand: Demand) -> int:
    """Return how many members of the demand an empty worker holds."""
    empty = WorkerState(worker=worker, number=0)
    empty.reset()
    return empty.room_for(demand)


class Topology:
    """Keep the workers and allocations of one zone.

    `seen` also holds workers that were lost, so that a demand is called infeasible only when the
    zone never had the machines for it.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.racks: dict[str, RackState] = {}
        self.workers: dict[str, WorkerState] = {}
        self.seen: dict[str, Worker] = {}
        self.allocations: dict[str, Allocation] = {}

    def join(self, worker: Worker) -> bool:
        """Add a worker or take its new size over; return whether it belongs to this zone."""
        if worker.zone != self.zone:
            return False
        self.lose(worker.name)
        self.seen[worker.name] = worker
        state = WorkerState(worker=worker, number=len(self.workers))
        state.reset()
        self.workers[worker.name] = state
        rack = self.racks.setdefault(worker.rack, RackState(name=worker.rack))
        rack.workers[worker.name] = state
        rack.accelerators += worker.accelerators
        rack.free_accelerators += worker.accelerators
        self._retake(state, rack)
        return True

    def drain(self, name: str) -> None:
        """Give a worker no new work; what it runs goes on."""
        if name in self.workers:
            self.workers[name].draining = True

    def lose(self, name: str) -> None:
        """Forget a worker; its allocations stay until their ends are reported."""
        state = self.workers.pop(name, None)
        if state is None:
            return
        rack = self.racks[state.worker.rack]
        del rack.workers[name]
        rack.accelerators -= state.worker.accelerators
        rack.free_accelerators -= state.free_accelerators
        if not rack.workers:
            del self.racks[rack.name]

    def allocate(self, allocation: Allocation) -> None:
        """Take the allocation's share on its workers."""
        self.allocations[allocation.request.request_id] = allocation
        self._take(allocation, 1)

    def release(self, request_id: str) -> Allocation | None:
        """Give an allocation's share back; return None when it is not known."""
        allocation = self.allocations.pop(request_id, None)
        if allocation is not None:
            self._take(allocation, -1)
        return allocation

    def open_workers(self) -> Iterator[WorkerState]:
        """Yield the workers that may be given work, in the order in which they joined."""
        return (state for state in self.workers.values() if state.is_open())

    def _take(self, allocation: Allocation, sign: int) -> None:
        demand = allocation.request.demand
        for name, members in allocation.counts.items():
            state = self.workers.get(name)
            if state is None:
                continue
            state.take(demand, sign * members)
            rack = self.racks[state.worker.rack]
            rack.free_accelerators -= sign * members * demand.accelerators
            if sign > 0:
                state.requests.add(allocation.request.request_id)
            else:
                state.requests.discard(allocation.request.request_id)

    def _retake(self, state: WorkerState, rack: RackState) -> None:
        for request_id, allocation in self.allocations.items():
            members = allocation.counts.get(state.name, 0)
            if members == 0:
                continue
            state.take(allocation.request.demand, members)
            rack.free_accelerators -= members * allocation.request.demand.accelerators
            state.requests.add(request_id)
