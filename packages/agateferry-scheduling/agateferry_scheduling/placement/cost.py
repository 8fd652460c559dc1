"""The cost of a placement: the largest free shapes that it breaks up.

An empty rack can hold the largest gangs, an empty worker the next smaller ones, and a rack with few
free accelerators neither. So partly used workers in nearly full racks are filled first, as Borg
(Verma et al., EuroSys 2015) scores machines to avoid stranded capacity.
"""

from agateferry_core.demand import Demand
from agateferry_scheduling.topology import RackState, WorkerState

BREAK_UP_RACK_COST = 100_000.0
BREAK_UP_WORKER_COST = 10_000.0
STRANDED_ACCELERATOR_COST = 1_000.0
FREE_ACCELERATOR_IN_RACK_COST = 10.0


def placement_cost(state: WorkerState, rack: RackState, demand: Demand) -> float:
    """Return the cost of placing members of the demand on a worker; lower is better."""
    if state.worker.accelerators == 0:
        return float(state.free_slots)
    if demand.accelerators == 0:
        return _cost_without_accelerators(state, rack, demand)
    left = state.free_accelerators - demand.accelerators * demand.members
    cost = FREE_ACCELERATOR_IN_RACK_COST * rack.free_accelerators + max(left, 0)
    if left > 0 and state.free_accelerators == state.worker.accelerators:
        cost += BREAK_UP_WORKER_COST
    if rack.free_accelerators == rack.accelerators:
        cost += BREAK_UP_RACK_COST
    return cost


def _cost_without_accelerators(state: WorkerState, rack: RackState, demand: Demand) -> float:
    """Return the cost of work without accelerators on a worker that has some.

    It counts the free accelerators that are left without a slot or processor cores to use them.
    """
    free = state.free_accelerators
    cost = FREE_ACCELERATOR_IN_RACK_COST * rack.free_accelerators + state.free_slots
    if free <= 0:
        return cost
    worker = state.worker
    slots = state.free_slots - 1
    cpu = (state.free_cpu - demand.cpu_cores) * worker.accelerators // max(worker.cpu_cores, 1)
    usable = max(min(slots, cpu), 0)
    cost += STRANDED_ACCELERATOR_COST * max(free - usable, 0)
    if free == worker.accelerators:
        cost += BREAK_UP_WORKER_COST
    if rack.free_accelerators == rack.accelerators:
        cost += BREAK_UP_RACK_COST
    return cost
