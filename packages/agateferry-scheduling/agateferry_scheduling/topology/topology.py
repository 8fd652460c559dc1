"""The topology of one zone: its racks and workers, and the allocations on them."""

from collections.abc import Iterator

from agateferry_core.demand import Worker
from agateferry_scheduling.topology.index import FreedLog, WorkerIndex
from agateferry_scheduling.topology.state import Allocation, AllocationKind, RackState, WorkerState


class Topology:
    """The workers and allocations of one zone, with its totals.

    `version` increases whenever free resources may have increased. `known_workers` also contains
    workers that were lost, so that a demand is called infeasible only when the zone never had the
    hosts for it. While the zone is `evacuated`, no worker accepts new work.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.racks: dict[str, RackState] = {}
        self.workers: dict[str, WorkerState] = {}
        self.known_workers: dict[str, Worker] = {}
        self.allocations: dict[str, Allocation] = {}
        self.evacuated = False
        self.version = 0
        self.join_count = 0
        self.accelerators = 0
        self.slots = 0
        self.free_slots = 0
        self.free_accelerators = 0
        self.index = WorkerIndex()
        self.freed_log = FreedLog()

    def join(self, worker: Worker) -> bool:
        """Add a worker or update its size; return False when it belongs to another zone."""
        if worker.zone != self.zone:
            return False
        self.remove_worker(worker.name)
        self.known_workers[worker.name] = worker
        self.version += 1
        self.join_count += 1
        state = WorkerState(worker, self.join_count, evacuated=self.evacuated)
        state.reset()
        self.workers[worker.name] = state
        rack = self.racks.setdefault(worker.rack, RackState(name=worker.rack))
        rack.workers[worker.name] = state
        rack.accelerators += worker.accelerators
        rack.free_accelerators += worker.accelerators
        self.accelerators += worker.accelerators
        self.slots += worker.slots
        self._restore_allocations(state, rack)
        self.free_slots += state.free_slots
        self.free_accelerators += state.free_accelerators
        self.index.update(state)
        self.freed_log.invalidate()
        return True

    def drain(self, name: str) -> None:
        """Place no new work on a worker; its running work continues."""
        if name in self.workers:
            self.workers[name].draining = True

    def set_evacuated(self, evacuated: bool) -> None:
        """Place no new work on any worker while the zone is evacuated; running work continues."""
        self.evacuated = evacuated
        for state in self.workers.values():
            state.evacuated = evacuated
        self.invalidate_searches()

    def remove_worker(self, name: str) -> None:
        """Remove a lost worker; its allocations stay until their ends are reported."""
        state = self.workers.pop(name, None)
        if state is None:
            return
        rack = self.racks[state.worker.rack]
        del rack.workers[name]
        self.index.remove(name)
        self.accelerators -= state.worker.accelerators
        self.slots -= state.worker.slots
        self.free_slots -= state.free_slots
        self.free_accelerators -= state.free_accelerators
        rack.accelerators -= state.worker.accelerators
        rack.free_accelerators -= state.free_accelerators
        if not rack.workers:
            del self.racks[rack.name]

    def allocate(self, allocation: Allocation) -> None:
        """Add an allocation and use its resources on its workers."""
        self.allocations[allocation.request.request_id] = allocation
        self._count(allocation, 1)

    def release(self, request_id: str) -> Allocation | None:
        """Remove an allocation and free its resources; return None when it is not known."""
        allocation = self.allocations.pop(request_id, None)
        if allocation is not None:
            self._count(allocation, -1)
            self.freed_log.add(allocation.member_counts)
        return allocation

    def update_allocation(
        self,
        allocation: Allocation,
        kind: AllocationKind | None = None,
        stopping: bool | None = None,
        pending: bool | None = None,
    ) -> None:
        """Change attributes of an allocation and update the sums of its workers."""
        self._update_sums(allocation, -1)
        allocation.kind = allocation.kind if kind is None else kind
        allocation.stopping = allocation.stopping if stopping is None else stopping
        allocation.pending = allocation.pending if pending is None else pending
        self._update_sums(allocation, 1)

    def invalidate_searches(self) -> None:
        """Make each search examine all workers again."""
        self.version += 1
        self.freed_log.invalidate()

    def schedulable_workers(self) -> Iterator[WorkerState]:
        """Yield the workers that accept new work, in the order in which they joined."""
        return (state for state in self.workers.values() if state.is_schedulable())

    def _update_sums(self, allocation: Allocation, sign: int) -> None:
        for name, members in allocation.member_counts.items():
            state = self.workers.get(name)
            if state is None:
                continue
            resource_sum = state.sum_for(allocation)
            if resource_sum is not None:
                resource_sum.add(allocation.request.demand, sign * members)

    def _count(self, allocation: Allocation, sign: int) -> None:
        self.version += sign < 0
        self._update_sums(allocation, sign)
        demand = allocation.request.demand
        for name, members in allocation.member_counts.items():
            state = self.workers.get(name)
            if state is None:
                continue
            state.allocate(demand, sign * members)
            self.free_slots -= sign * members
            self.free_accelerators -= sign * members * demand.accelerators
            self.index.update(state)
            rack = self.racks[state.worker.rack]
            rack.free_accelerators -= sign * members * demand.accelerators
            if sign > 0:
                state.request_ids.add(allocation.request.request_id)
            else:
                state.request_ids.discard(allocation.request.request_id)

    def _restore_allocations(self, state: WorkerState, rack: RackState) -> None:
        for request_id, allocation in self.allocations.items():
            members = allocation.member_counts.get(state.name, 0)
            if members == 0:
                continue
            state.allocate(allocation.request.demand, members)
            resource_sum = state.sum_for(allocation)
            if resource_sum is not None:
                resource_sum.add(allocation.request.demand, members)
            rack.free_accelerators -= members * allocation.request.demand.accelerators
            state.request_ids.add(request_id)
