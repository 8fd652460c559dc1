"""Move small work that can checkpoint, so that whole workers and racks come free again.

Suspending a job and going on elsewhere is the migration of Gandiva (Xiao et al., OSDI 2018). A move
is worth while when it makes the sum of the squares of free accelerators larger, by worker and by
rack: free accelerators then lie closer together. As that sum only grows by moves, they come to an
end.
"""

from collections import defaultdict
from dataclasses import dataclass

from agateferry_scheduling.placement.choice import Candidate, choose
from agateferry_scheduling.placement.cost import placement_cost
from agateferry_scheduling.placement.first_fit import MemberCounts
from agateferry_scheduling.topology import Allocation, Backing, Topology, WorkerState

WORKERS_WEIGHED = 16
MOVES_WEIGHED = 12
LARGEST_MOVED = 16
SHORTEST_RUN_MS = 60_000
SMALLEST_GAIN = 0.5


@dataclass(frozen=True, slots=True)
class Move:
    """A running allocation, where it goes, and how much closer free accelerators then lie."""

    allocation: Allocation
    member_counts: MemberCounts
    gain: float


def best_move(
    topology: Topology, now_ms: int, moved_ms: dict[str, int], gap_ms: int
) -> Move | None:
    """Return the move with the largest gain for its size, or None when none is worth while."""
    best: Move | None = None
    for allocation in _movable(topology, now_ms, moved_ms, gap_ms):
        counts = _target(topology, allocation)
        if counts is None:
            continue
        gain = _gain(topology, allocation, counts)
        if gain >= SMALLEST_GAIN and (best is None or gain > best.gain):
            best = Move(allocation, counts, gain)
    return best


def _movable(
    topology: Topology, now_ms: int, moved_ms: dict[str, int], gap_ms: int
) -> list[Allocation]:
    """Return checkpointable allocations on the least used of the partly used racks' workers."""
    workers = topology.index.accelerated.values()
    used = [
        w
        for w in workers
        if w.worker.accelerators > w.free_accelerators >= 0 and w.is_schedulable()
    ]
    used.sort(key=lambda w: (-w.free_accelerators, w.join_number))
    found: dict[str, Allocation] = {}
    for state in used[:WORKERS_WEIGHED]:
        for request_id in sorted(state.request_ids):
            allocation = topology.allocations[request_id]
            if not _may_move(allocation) or now_ms - allocation.started_ms < SHORTEST_RUN_MS:
                continue
            if now_ms - moved_ms.get(request_id, -gap_ms) >= gap_ms:
                found[request_id] = allocation
        if len(found) >= MOVES_WEIGHED:
            break
    return list(found.values())


def _may_move(allocation: Allocation) -> bool:
    request = allocation.request
    wanted = request.demand.members * request.demand.accelerators
    busy = allocation.stopping or allocation.pending or allocation.backing is Backing.PINNED
    can_stop = request.preemptible and request.checkpointable
    return can_stop and not busy and 0 < wanted <= LARGEST_MOVED


def _target(topology: Topology, allocation: Allocation) -> MemberCounts | None:
    demand = allocation.request.demand
    candidates = []
    for state in topology.index.accelerated.values():
        if state.free_accelerators < demand.accelerators or not state.is_schedulable():
            continue
        if state.name in allocation.member_counts:
            continue
        room = state.fitting_members(demand)
        if room:
            rack = topology.racks[state.worker.rack]
            candidates.append(Candidate(state, room, placement_cost(state, rack, demand)))
    return choose(candidates, demand)


def _gain(topology: Topology, allocation: Allocation, counts: MemberCounts) -> float:
    """Return the growth of the sum of squares, by worker and by rack, in accelerators."""
    accelerators = allocation.request.demand.accelerators
    change: dict[str, int] = defaultdict(int)
    for name, members in allocation.member_counts.items():
        change[name] += members * accelerators
    for name, members in counts.items():
        change[name] -= members * accelerators
    racks: dict[str, int] = defaultdict(int)
    gain = 0.0
    for name, by in change.items():
        state = topology.workers.get(name)
        if state is None:
            return 0.0
        racks[state.worker.rack] += by
        gain += _growth(_free(state), by, state.worker.accelerators)
    for name, by in racks.items():
        rack = topology.racks[name]
        gain += _growth(rack.free_accelerators, by, rack.accelerators)
    return gain


def _free(state: WorkerState) -> int:
    return max(state.free_accelerators, 0)


def _growth(free: int, by: int, whole: int) -> float:
    return ((free + by) ** 2 - free**2) / max(whole, 1)
