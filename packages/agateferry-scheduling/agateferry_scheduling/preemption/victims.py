"""Which borrowed work to take back so that a demand fits, with the least work lost."""

from collections.abc import Callable
from dataclasses import dataclass

from agateferry_core.demand import Demand, Urgency
from agateferry_scheduling.topology import Allocation, Backing, Topology, WorkerState
from agateferry_scheduling.topology.amount import Amount

CHECKPOINT_COST_MS = 5_000
URGENT_PENALTY_MS = 24 * 3_600_000

VictimFilter = Callable[[Allocation], bool]


@dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """The allocations to stop, and the work that is lost with them in slot-milliseconds."""

    victims: tuple[Allocation, ...]
    lost_work_ms: int


def lost_work_ms(allocation: Allocation, now_ms: int) -> int:
    """Return the work lost by stopping now, in slot- or accelerator-milliseconds.

    Work that checkpoints loses only the time that the checkpoint takes.
    """
    demand = allocation.request.demand
    width = demand.members * max(demand.accelerators, 1)
    run_ms = max(now_ms - allocation.started_ms, 0)
    if allocation.request.checkpointable:
        run_ms = min(run_ms, CHECKPOINT_COST_MS)
    penalty = URGENT_PENALTY_MS if allocation.request.urgency is Urgency.URGENT else 0
    return (run_ms + 1) * width + penalty


def plan_preemption(
    topology: Topology,
    state: WorkerState,
    demand: Demand,
    members: int,
    allowed: VictimFilter,
    now_ms: int,
) -> PreemptionPlan | None:
    """Return what to stop so that so many members fit on one worker, or None."""
    needed = Amount()
    needed.add(demand, members)
    room = state.free().plus(state.stopping)
    if not room.minus(needed).is_negative():
        return PreemptionPlan((), 0)
    victims = _candidates(topology, state, allowed, now_ms)
    chosen: list[tuple[int, Allocation]] = []
    for lost, allocation in victims:
        part = _part(allocation, state)
        if not _helps(room.minus(needed), part):
            continue
        room = room.plus(part)
        chosen.append((lost, allocation))
        if not room.minus(needed).is_negative():
            return _pruned(state, chosen, room.minus(needed))
    return None


def _candidates(
    topology: Topology, state: WorkerState, allowed: VictimFilter, now_ms: int
) -> list[tuple[int, Allocation]]:
    found = []
    for request_id in state.request_ids:
        allocation = topology.allocations[request_id]
        taken_back = allocation.backing is Backing.BORROWED
        if taken_back and not (allocation.stopping or allocation.pending) and allowed(allocation):
            found.append((lost_work_ms(allocation, now_ms), allocation))
    found.sort(key=lambda item: (item[0], item[1].request.request_id))
    return found


def _part(allocation: Allocation, state: WorkerState) -> Amount:
    part = Amount()
    part.add(allocation.request.demand, allocation.member_counts[state.name])
    return part


def _helps(left: Amount, part: Amount) -> bool:
    return (
        (left.accelerators < 0 and part.accelerators > 0)
        or (left.slots < 0 and part.slots > 0)
        or (left.cpu < 0 and part.cpu > 0)
        or (left.memory < 0 and part.memory > 0)
    )


def _pruned(
    state: WorkerState, chosen: list[tuple[int, Allocation]], spare: Amount
) -> PreemptionPlan:
    """Let the dearest of the chosen go on where the others are enough."""
    kept: list[tuple[int, Allocation]] = []
    for lost, allocation in reversed(chosen):
        without = spare.minus(_part(allocation, state))
        if without.is_negative():
            kept.append((lost, allocation))
        else:
            spare = without
    kept.reverse()
    return PreemptionPlan(tuple(a for _, a in kept), sum(lost for lost, _ in kept))
