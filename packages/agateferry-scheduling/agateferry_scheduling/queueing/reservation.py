"""A reservation of workers for the oldest blocked gang, with backfill before its start.

This is EASY backfill (Lifka, 1995) on named workers: the gang reserves the workers that are
expected to be free first, and other requests start there only when they are expected to end before
the gang's start. Run times are the corrected estimates; work that overruns its estimate on a
reserved worker is preempted.
"""

from dataclasses import dataclass

from agateferry_core.demand import Adjacency, Demand
from agateferry_scheduling.estimates import Estimates
from agateferry_scheduling.scheduler.messages import PendingRequest
from agateferry_scheduling.topology import Topology, WorkerState
from agateferry_scheduling.topology.resources import Resources
from agateferry_scheduling.topology.state import capacity_for

MAX_RACKS_CONSIDERED = 4
FAR_FUTURE_MS = 1 << 60


@dataclass(frozen=True, slots=True)
class Reservation:
    """The workers reserved for a request, and when it is expected to fit on them."""

    request: PendingRequest
    workers: frozenset[str]
    start_ms: int
    created_ms: int

    def blocks(self, worker: str, end_ms: int) -> bool:
        """Return whether other work that is expected to end then may not start on a worker."""
        return worker in self.workers and end_ms > self.start_ms


def reserve(
    topology: Topology, estimates: Estimates, request: PendingRequest, now_ms: int
) -> Reservation | None:
    """Return the reservation with the earliest expected start of the request, or None."""
    best: Reservation | None = None
    for workers in _worker_groups(topology, request.demand):
        option = _earliest_start(topology, estimates, request, workers, now_ms)
        if option is not None and (best is None or option.start_ms < best.start_ms):
            best = option
    return best


def _worker_groups(topology: Topology, demand: Demand) -> list[list[WorkerState]]:
    racks = sorted(topology.racks.values(), key=lambda rack: -rack.free_accelerators)
    if demand.adjacency is Adjacency.ANY:
        return [_freest_workers(topology, demand)]
    groups = [[w for w in rack.workers.values() if w.is_schedulable()] for rack in racks]
    if demand.adjacency is Adjacency.RACK:
        return groups[:MAX_RACKS_CONSIDERED]
    return [[worker] for group in groups[:MAX_RACKS_CONSIDERED] for worker in group]


def _freest_workers(topology: Topology, demand: Demand) -> list[WorkerState]:
    """Return workers with the most free resources, enough to hold twice the demand when empty."""
    workers = topology.index.accelerated if demand.accelerators else topology.workers
    ordered = sorted(
        workers.values(), key=lambda w: (-w.free_accelerators, -w.free_slots, w.join_number)
    )
    chosen = []
    capacity = 0
    for worker in ordered:
        if worker.is_schedulable():
            chosen.append(worker)
            capacity += capacity_for(worker.worker, demand)
        if capacity >= 2 * demand.members:
            break
    return chosen


def _earliest_start(
    topology: Topology,
    estimates: Estimates,
    request: PendingRequest,
    workers: list[WorkerState],
    now_ms: int,
) -> Reservation | None:
    """Simulate the expected ends of the work on these workers until the gang fits.

    Return a reservation of the fewest workers that then hold the gang, or None if it never fits.
    """
    demand = request.demand
    free: dict[str, Resources] = {
        worker.name: worker.free_including_pending() for worker in workers
    }
    fitting = {name: resources.fitting_members(demand) for name, resources in free.items()}
    total = sum(fitting.values())
    start_ms = now_ms
    for end_ms, request_id in _expected_ends(topology, estimates, workers, now_ms):
        if total >= demand.members:
            break
        allocation = topology.allocations[request_id]
        for name in allocation.member_counts.keys() & free.keys():
            free[name].add(allocation.request.demand, allocation.member_counts[name])
            total -= fitting[name]
            fitting[name] = free[name].fitting_members(demand)
            total += fitting[name]
        start_ms = end_ms
    if total < demand.members:
        return None
    chosen = _fewest_workers(fitting, demand.members)
    return Reservation(request, frozenset(chosen), start_ms, now_ms)


def _expected_ends(
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


def _fewest_workers(fitting: dict[str, int], members: int) -> list[str]:
    chosen = []
    for name, count in sorted(fitting.items(), key=lambda item: -item[1]):
        if members <= 0:
            break
        chosen.append(name)
        members -= count
    return chosen
