"""The choice of victims: the borrowed work to preempt for a demand, with the least work lost."""

from collections.abc import Callable
from dataclasses import dataclass

from agateferry_core.demand import Demand, Urgency
from agateferry_scheduling.topology import Allocation, AllocationKind, Topology, WorkerState
from agateferry_scheduling.topology.resources import Resources

CHECKPOINT_COST_MS = 5_000
URGENT_PENALTY_MS = 24 * 3_600_000

VictimFilter = Callable[[Allocation], bool]


@dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """The allocations to stop, and the work that is lost with them.

    `lost_work_ms` is in slot-milliseconds, or accelerator-milliseconds for accelerated work.
    """

    victims: tuple[Allocation, ...]
    lost_work_ms: int


def lost_work_ms(allocation: Allocation, now_ms: int) -> int:
    """Return the work that is lost by stopping now, in slot- or accelerator-milliseconds.

    Checkpointable work loses no more than the time that a checkpoint takes. Urgent work gets a
    penalty, so that it is preempted last.
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
    """Return what to stop so that this many members fit on one worker, or None if they cannot.

    Resources of work that is already stopping count as free. `allowed` decides whether an
    allocation may be a victim.
    """
    needed = Resources()
    needed.add(demand, members)
    free = state.free().plus(state.stopping)
    if not free.minus(needed).is_negative():
        return PreemptionPlan((), 0)
    candidates = _candidates(topology, state, allowed, now_ms)
    chosen: list[tuple[int, Allocation]] = []
    for lost, allocation in candidates:
        resources = _resources_on(allocation, state)
        if not _reduces_shortage(free.minus(needed), resources):
            continue
        free = free.plus(resources)
        chosen.append((lost, allocation))
        if not free.minus(needed).is_negative():
            return _without_unneeded(state, chosen, free.minus(needed))
    return None


def _candidates(
    topology: Topology, state: WorkerState, allowed: VictimFilter, now_ms: int
) -> list[tuple[int, Allocation]]:
    found = []
    for request_id in state.request_ids:
        allocation = topology.allocations[request_id]
        is_borrowed = allocation.kind is AllocationKind.BORROWED
        if is_borrowed and not (allocation.stopping or allocation.pending) and allowed(allocation):
            found.append((lost_work_ms(allocation, now_ms), allocation))
    found.sort(key=lambda item: (item[0], item[1].request.request_id))
    return found


def _resources_on(allocation: Allocation, state: WorkerState) -> Resources:
    resources = Resources()
    resources.add(allocation.request.demand, allocation.member_counts[state.name])
    return resources


def _reduces_shortage(balance: Resources, resources: Resources) -> bool:
    return (
        (balance.accelerators < 0 and resources.accelerators > 0)
        or (balance.slots < 0 and resources.slots > 0)
        or (balance.cpu < 0 and resources.cpu > 0)
        or (balance.memory < 0 and resources.memory > 0)
    )


def _without_unneeded(
    state: WorkerState, chosen: list[tuple[int, Allocation]], spare: Resources
) -> PreemptionPlan:
    """Return the plan without the victims that are not needed, dropping the costliest first.

    `spare` is what remains free beyond the need when all chosen victims stop.
    """
    needed: list[tuple[int, Allocation]] = []
    for lost, allocation in reversed(chosen):
        spare_without = spare.minus(_resources_on(allocation, state))
        if spare_without.is_negative():
            needed.append((lost, allocation))
        else:
            spare = spare_without
    needed.reverse()
    return PreemptionPlan(tuple(a for _, a in needed), sum(lost for lost, _ in needed))
