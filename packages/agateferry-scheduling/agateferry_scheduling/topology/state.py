"""The racks and workers of one zone, what they have free and what is placed on them.

What counts as free is worked out from what was placed, and never from reported usage, which lags:
an allocation takes its share from the moment of the decision until its end is reported.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from agateferry_core.demand import Assignment, Demand, Urgency, Worker
from agateferry_scheduling.scheduler.messages import PendingRequest
from agateferry_scheduling.topology.amount import Amount


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
    """A request that holds workers, or, while `pending`, was promised them once others stop."""

    request: PendingRequest
    assignments: tuple[Assignment, ...]
    started_ms: int
    backing: Backing = Backing.BORROWED
    stopping: bool = False
    pending: bool = False
    member_counts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Count the members on each worker once, because every release needs it."""
        for assignment in self.assignments:
            self.member_counts[assignment.worker] = self.member_counts.get(assignment.worker, 0) + 1


@dataclass(slots=True)
class WorkerState:
    """One worker with what it has free.

    What is promised to pending allocations is not free, so free amounts may be negative until
    others stop. `stopping` sums what will be given back soon, `borrowed` what could be taken back,
    and `borrowed_urgent` the part of it that urgent work holds, which is taken last.
    """

    worker: Worker
    join_number: int
    free_accelerators: int = 0
    free_slots: int = 0
    free_cpu: int = 0
    free_memory: int = 0
    draining: bool = False
    quarantined: bool = False
    request_ids: set[str] = field(default_factory=set)
    pending: Amount = field(default_factory=Amount)
    stopping: Amount = field(default_factory=Amount)
    borrowed: Amount = field(default_factory=Amount)
    borrowed_urgent: Amount = field(default_factory=Amount)

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.worker.name

    def is_schedulable(self) -> bool:
        """Tell whether new work may come here."""
        return not (self.draining or self.quarantined)

    def fitting_members(self, demand: Demand) -> int:
        """Return how many members of the demand fit into what is free now."""
        room = min(self.free_slots, demand.members)
        if demand.accelerators:
            room = min(room, self.free_accelerators // demand.accelerators)
        if demand.cpu_cores:
            room = min(room, self.free_cpu // demand.cpu_cores)
        if demand.memory_mb:
            room = min(room, self.free_memory // demand.memory_mb)
        return max(room, 0)

    def free(self) -> Amount:
        """Return what is free and not promised."""
        return Amount(self.free_accelerators, self.free_slots, self.free_cpu, self.free_memory)

    def free_including_pending(self) -> Amount:
        """Return what nothing runs on, promised or not."""
        return self.free().plus(self.pending)

    def free_after_preemption(self, include_urgent: bool) -> Amount:
        """Return what would be free if all that is borrowed were taken back."""
        amount = self.free().plus(self.stopping).plus(self.borrowed)
        return amount.plus(self.borrowed_urgent) if include_urgent else amount

    def total_for(self, allocation: Allocation) -> Amount | None:
        """Return the sum that an allocation belongs to, if any."""
        if allocation.pending:
            return self.pending
        if allocation.stopping:
            return self.stopping
        if allocation.backing is not Backing.BORROWED:
            return None
        if allocation.request.urgency is Urgency.URGENT:
            return self.borrowed_urgent
        return self.borrowed

    def reset(self) -> None:
        """Set everything free again."""
        self.free_accelerators = self.worker.accelerators
        self.free_slots = self.worker.slots
        self.free_cpu = self.worker.cpu_cores
        self.free_memory = self.worker.memory_mb

    def allocate(self, demand: Demand, members: int) -> None:
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
    empty = WorkerState(worker=worker, join_number=0)
    empty.reset()
    return empty.fitting_members(demand)
