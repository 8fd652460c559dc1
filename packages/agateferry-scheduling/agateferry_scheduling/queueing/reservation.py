"""A reservation of workers for the oldest blocked gang, with backfill in front of it.

This is EASY backfill (Lifka, 1995) with places: the gang is promised the workers that are likely to
have room first, and others start on them only when they are likely to end before that time. Run
times are the corrected ones, and work that overruns them on reserved workers yields.
"""

from dataclasses import dataclass

from agateferry_core.demand import Adjacency, Demand
from agateferry_scheduling.estimates import Estimates
from agateferry_scheduling.scheduler.messages import PendingRequest
from agateferry_scheduling.topology import Topology, WorkerState
from agateferry_scheduling.topology.amount import Amount
from agateferry_scheduling.topology.state import capacity_for

RACKS_WEIGHED = 4
FAR_FUTURE_MS = 1 << 60


@dataclass(frozen=True, slots=True)
class Reservation:
    """The workers promised to a request, and when they are likely to have room."""

    request: PendingRequest
    workers: frozenset[str]
    start_ms: int
    created_ms: int

    def blocks(self, worker: str, ends_ms: int) -> bool:
        """Tell whether others that are likely to end then may not start on a worker."""
        return worker in self.workers and ends_ms > self.start_ms


def reserve(
    topology: Topology, estimates: Estimates, request: PendingRequest, now_ms: int
) -> Reservation | None:
    """Return the reservation that is likely to start the request first, or None."""
    best: Reservation | None = None
    for workers in _places(topology, request.demand):
        option = _soonest(topology, estimates, request, workers, now_ms)
        if option is not None and (best is None or option.start_ms < best.start_ms):
            best = option
    return best


def _places(topology: Topology, demand: Demand) -> list[list[WorkerState]]:
    racks = sorted(topology.racks.values(), key=lambda rack: -rack.free_accelerators)
    if demand.adjacency is Adjacency.ANY:
        return [_enough(topology, demand)]
    groups = [[w for w in rack.workers.values() if w.is_schedulable()] for rack in racks]
    if demand.adjacency is Adjacency.RACK:
        return groups[:RACKS_WEIGHED]
    return [[worker] for group in groups[:RACKS_WEIGHED] for worker in group]


def _enough(topology: Topology, demand: Demand) -> list[WorkerState]:
    """Return the freest workers that, empty, would hold twice the demand."""
    workers = topology.index.accelerated if demand.accelerators else topology.workers
    ordered = sorted(
        workers.values(), key=lambda w: (-w.free_accelerators, -w.free_slots, w.join_number)
    )
    enough = []
    capacity = 0
    for worker in ordered:
        if worker.is_schedulable():
            enough.append(worker)
            capacity += capacity_for(worker.worker, demand)
        if capacity >= 2 * demand.members:
            break
    return enough


def _soonest(
    topology: Topology,
    estimates: Estimates,
    request: PendingRequest,
    workers: list[WorkerState],
    now_ms: int,
) -> Reservation | None:
    """Let the running work of these workers end in its likely order until the gang fits."""
    demand = request.demand
    room: dict[str, Amount] = {worker.name: worker.free_including_pending() for worker in workers}
    fits = {name: amount.fitting_members(demand) for name, amount in room.items()}
    total = sum(fits.values())
    start_ms = now_ms
    for end_ms, request_id in _ends(topology, estimates, workers, now_ms):
        if total >= demand.members:
            break
        allocation = topology.allocations[request_id]
        for name in allocation.member_counts.keys() & room.keys():
            room[name].add(allocation.request.demand, allocation.member_counts[name])
            total -= fits[name]
            fits[name] = room[name].fitting_members(demand)
            total += fits[name]
        start_ms = end_ms
    if total < demand.members:
        return None
    chosen = _fewest(fits, demand.members)
    return Reservation(request, frozenset(chosen), start_ms, now_ms)


def _ends(
    topology: Topology, estimates: Estimates, workers: list[WorkerState], now_ms: int
) -> list[tuple[int, str]]:
    ids = {request_id for worker in workers for request_id in worker.request_ids}
    ends = []
    for request_id in ids:
        allocation = topology.allocations[request_id]
        if allocation.pending:
            continue
        run_ms = estimates.likely_ms(allocation.request)
        ends.append((max(allocation.started_ms + run_ms, now_ms + 1), request_id))
    return sorted(ends)


def _fewest(fits: dict[str, int], members: int) -> list[str]:
    chosen = []
    for name, room in sorted(fits.items(), key=lambda item: -item[1]):
        if members <= 0:
            break
        chosen.append(name)
        members -= room
    return chosen
