"""Compaction: move small checkpointable work so that whole workers and racks become free again.

Suspending a job and resuming it elsewhere is the migration of Gandiva (Xiao et al., OSDI 2018). A
move is worthwhile when it increases the sum of the squares of free accelerators, by worker and by
rack: free accelerators are then less scattered. Moves only ever increase that sum, so compaction
terminates.
"""

from collections import defaultdict
from dataclasses import dataclass

from agateferry_scheduling.placement.choice import Candidate, choose
from agateferry_scheduling.placement.cost import placement_cost
from agateferry_scheduling.placement.first_fit import MemberCounts
from agateferry_scheduling.topology import Allocation, AllocationKind, Topology, WorkerState

MAX_WORKERS_CONSIDERED = 16
MAX_MOVES_CONSIDERED = 12
MAX_MOVED_ACCELERATORS = 16
MIN_RUN_BEFORE_MOVE_MS = 60_000
MIN_GAIN = 0.5


@dataclass(frozen=True, slots=True)
class Move:
    """A running allocation, its new workers and the gain in the sum of squares."""

    allocation: Allocation
    member_counts: MemberCounts
    gain: float


def best_move(
    topology: Topology, now_ms: int, last_moved_ms: dict[str, int], min_gap_ms: int
) -> Move | None:
    """Return the move with the largest gain, or None when no move is worthwhile.

    `last_moved_ms` maps a request to the time of its last move; a request that moved less than
    `min_gap_ms` ago is not considered.
    """
    best: Move | None = None
    for allocation in _movable(topology, now_ms, last_moved_ms, min_gap_ms):
        counts = _new_placement(topology, allocation)
        if counts is None:
            continue
        gain = _gain(topology, allocation, counts)
        if gain >= MIN_GAIN and (best is None or gain > best.gain):
            best = Move(allocation, counts, gain)
    return best


def _movable(
    topology: Topology, now_ms: int, last_moved_ms: dict[str, int], min_gap_ms: int
) -> list[Allocation]:
    """Return movable allocations on the partly used workers with the most free accelerators."""
    workers = topology.index.accelerated.values()
    used = [
        w
        for w in workers
        if w.worker.accelerators > w.free_accelerators >= 0 and w.is_schedulable()
    ]
    used.sort(key=lambda w: (-w.free_accelerators, w.join_number))
    movable: dict[str, Allocation] = {}
    for state in used[:MAX_WORKERS_CONSIDERED]:
        for request_id in sorted(state.request_ids):
            allocation = topology.allocations[request_id]
            if (
                not _is_movable(allocation)
                or now_ms - allocation.started_ms < MIN_RUN_BEFORE_MOVE_MS
            ):
                continue
            if now_ms - last_moved_ms.get(request_id, -min_gap_ms) >= min_gap_ms:
                movable[request_id] = allocation
        if len(movable) >= MAX_MOVES_CONSIDERED:
            break
    return list(movable.values())


def _is_movable(allocation: Allocation) -> bool:
    request = allocation.request
    wanted = request.demand.members * request.demand.accelerators
    busy = allocation.stopping or allocation.pending or allocation.kind is AllocationKind.PINNED
    can_stop = request.preemptible and request.checkpointable
    return can_stop and not busy and 0 < wanted <= MAX_MOVED_ACCELERATORS


def _new_placement(topology: Topology, allocation: Allocation) -> MemberCounts | None:
    demand = allocation.request.demand
    candidates = []
    for state in topology.index.accelerated.values():
        if state.free_accelerators < demand.accelerators or not state.is_schedulable():
            continue
        if state.name in allocation.member_counts:
            continue
        fitting = state.fitting_members(demand)
        if fitting:
            rack = topology.racks[state.worker.rack]
            candidates.append(Candidate(state, fitting, placement_cost(state, rack, demand)))
    return choose(candidates, demand)


def _gain(topology: Topology, allocation: Allocation, counts: MemberCounts) -> float:
    """Return how much the sum of squares grows over workers and racks, each by its size."""
    accelerators = allocation.request.demand.accelerators
    change: dict[str, int] = defaultdict(int)
    for name, members in allocation.member_counts.items():
        change[name] += members * accelerators
    for name, members in counts.items():
        change[name] -= members * accelerators
    racks: dict[str, int] = defaultdict(int)
    gain = 0.0
    for name, delta in change.items():
        state = topology.workers.get(name)
        if state is None:
            return 0.0
        racks[state.worker.rack] += delta
        gain += _growth_of_square(_free_accelerators(state), delta, state.worker.accelerators)
    for name, delta in racks.items():
        rack = topology.racks[name]
        gain += _growth_of_square(rack.free_accelerators, delta, rack.accelerators)
    return gain


def _free_accelerators(state: WorkerState) -> int:
    return max(state.free_accelerators, 0)


def _growth_of_square(free: int, delta: int, whole: int) -> float:
    return ((free + delta) ** 2 - free**2) / max(whole, 1)
