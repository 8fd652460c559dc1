"""The cost of a placement: the largest shapes that it destroys.

A whole rack serves the largest gangs, a whole worker the next ones, and a rack with few free
accelerators serves none of them any more. So partly used workers in well used racks are filled
first, as Borg (Verma et al., EuroSys 2015) scores machines to avoid stranded capacity.
"""

from agateferry_core.demand import Demand
from agateferry_scheduling.topology import RackState, WorkerState

BROKEN_RACK = 100_000.0
BROKEN_WORKER = 10_000.0
STRANDED_ACCELERATOR = 1_000.0
FREE_IN_RACK = 10.0


def placement_cost(state: WorkerState, rack: RackState, demand: Demand) -> float:
    """Return what it costs to put members of the demand on a worker; lower is better."""
    if state.worker.accelerators == 0:
        return float(state.free_slots)
    if demand.accelerators == 0:
        return _cost_without_accelerators(state, rack, demand)
    left = state.free_accelerators - demand.accelerators * demand.members
    cost = FREE_IN_RACK * rack.free_accelerators + max(left, 0)
    if left > 0 and state.free_accelerators == state.worker.accelerators:
        cost += BROKEN_WORKER
    if rack.free_accelerators == rack.accelerators:
        cost += BROKEN_RACK
    return cost


def _cost_without_accelerators(state: WorkerState, rack: RackState, demand: Demand) -> float:
    """Weigh how many free accelerators are left with no slot, processor or memory to use them."""
    free = state.free_accelerators
    cost = FREE_IN_RACK * rack.free_accelerators + state.free_slots
    if free <= 0:
        return cost
    worker = state.worker
    slots = state.free_slots - 1
    cpu = (state.free_cpu - demand.cpu_cores) * worker.accelerators // max(worker.cpu_cores, 1)
    usable = max(min(slots, cpu), 0)
    cost += STRANDED_ACCELERATOR * max(free - usable, 0)
    if free == worker.accelerators:
        cost += BROKEN_WORKER
    if rack.free_accelerators == rack.accelerators:
        cost += BROKEN_RACK
    return cost
