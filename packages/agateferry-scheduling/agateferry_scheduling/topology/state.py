"""The state of a zone's racks and workers: free resources and allocations.

Free resources are computed from allocations and never from reported usage, which lags behind: an
allocation uses its resources from the decision to place it until its end is reported.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from agateferry_core.demand import Assignment, Demand, Urgency, Worker
from agateferry_scheduling.scheduler.messages import PendingRequest
from agateferry_scheduling.topology.resources import Resources


class AllocationKind(StrEnum):
    """Whether an allocation is covered by a guarantee, and whether it can be preempted.

    GUARANTEED work runs within its team's guaranteed shapes, BORROWED work can be preempted, and
    PINNED work runs outside all guaranteed shapes and cannot be preempted.
    """

    GUARANTEED = "guaranteed"
    BORROWED = "borrowed"
    PINNED = "pinned"


@dataclass(slots=True)
class Allocation:
    """A request with its workers; while `pending`, it waits for other work there to stop."""

    request: PendingRequest
    assignments: tuple[Assignment, ...]
    started_ms: int
    kind: AllocationKind = AllocationKind.BORROWED
    stopping: bool = False
    pending: bool = False
    member_counts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Count the members on each worker once, because each later change needs the counts."""
        for assignment in self.assignments:
            self.member_counts[assignment.worker] = self.member_counts.get(assignment.worker, 0) + 1


@dataclass(slots=True)
class WorkerState:
    """A worker with its free resources and the sums of some kinds of allocations on it.

    The resources of pending allocations do not count as free, so free numbers may be negative until
    other work stops. `pending` sums the pending allocations, `stopping` those that will end soon,
    `borrowed` the preemptible ones without urgency, and `borrowed_urgent` the urgent preemptible
    ones, which are preempted last. An allocation counts in at most one of the sums.
    """

    worker: Worker
    join_number: int
    free_accelerators: int = 0
    free_slots: int = 0
    free_cpu: int = 0
    free_memory: int = 0
    draining: bool = False
    quarantined: bool = False
    evacuated: bool = False
    request_ids: set[str] = field(default_factory=set)
    pending: Resources = field(default_factory=Resources)
    stopping: Resources = field(default_factory=Resources)
    borrowed: Resources = field(default_factory=Resources)
    borrowed_urgent: Resources = field(default_factory=Resources)

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.worker.name

    def is_schedulable(self) -> bool:
        """Return whether new work may be placed here."""
        return not (self.draining or self.quarantined or self.evacuated)

    def fitting_members(self, demand: Demand) -> int:
        """Return how many members of the demand fit into the free resources."""
        fitting = min(self.free_slots, demand.members)
        if demand.accelerators:
            fitting = min(fitting, self.free_accelerators // demand.accelerators)
        if demand.cpu_cores:
            fitting = min(fitting, self.free_cpu // demand.cpu_cores)
        if demand.memory_mb:
            fitting = min(fitting, self.free_memory // demand.memory_mb)
        return max(fitting, 0)

    def free(self) -> Resources:
        """Return the resources that no allocation uses, pending ones included."""
        return Resources(self.free_accelerators, self.free_slots, self.free_cpu, self.free_memory)

    def free_including_pending(self) -> Resources:
        """Return the resources that no running work uses, those of pending allocations included."""
        return self.free().plus(self.pending)

    def free_after_preemption(self, include_urgent: bool) -> Resources:
        """Return what would be free if all stopping and borrowed work had stopped.

        Urgent borrowed work counts only with `include_urgent`.
        """
        resources = self.free().plus(self.stopping).plus(self.borrowed)
        return resources.plus(self.borrowed_urgent) if include_urgent else resources

    def sum_for(self, allocation: Allocation) -> Resources | None:
        """Return the sum in which an allocation counts, or None."""
        if allocation.pending:
            return self.pending
        if allocation.stopping:
            return self.stopping
        if allocation.kind is not AllocationKind.BORROWED:
            return None
        if allocation.request.urgency is Urgency.URGENT:
            return self.borrowed_urgent
        return self.borrowed

    def reset(self) -> None:
        """Mark all resources of the worker as free."""
        self.free_accelerators = self.worker.accelerators
        self.free_slots = self.worker.slots
        self.free_cpu = self.worker.cpu_cores
        self.free_memory = self.worker.memory_mb

    def allocate(self, demand: Demand, members: int) -> None:
        """Subtract the demand of this many members; a negative number frees it."""
        self.free_accelerators -= demand.accelerators * members
        self.free_slots -= members
        self.free_cpu -= demand.cpu_cores * members
        self.free_memory -= demand.memory_mb * members


@dataclass(slots=True)
class RackState:
    """The workers of one rack, whose accelerators are adjacent to each other."""

    name: str
    workers: dict[str, WorkerState] = field(default_factory=dict)
    free_accelerators: int = 0
    accelerators: int = 0


def capacity_for(worker: Worker, demand: Demand) -> int:
    """Return how many members of the demand fit on the worker when it is empty."""
    empty = WorkerState(worker=worker, join_number=0)
    empty.reset()
    return empty.fitting_members(demand)
