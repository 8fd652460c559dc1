"""How many free accelerators a placement strands.

Free accelerators are stranded for a group size when they would serve such groups if they lay
together, and do not where they lie. docs/design/measures.md defines the measure.
"""

from collections import defaultdict

from agateferry_core.demand import Adjacency, Demand
from agateferry_scheduling.guarantees import Layout
from agateferry_scheduling.placement.first_fit import MemberCounts
from agateferry_scheduling.topology import Topology


def largest_rack_group(layout: Layout) -> int:
    """Return the largest group of accelerators that is promised within one rack, or 0."""
    groups = (cell.accelerators for cell in layout.cells if cell.adjacency is Adjacency.RACK)
    return max(groups, default=0)


def stranding_change(topology: Topology, demand: Demand, counts: MemberCounts, group: int) -> float:
    """Return by how many accelerators a placement changes what is stranded.

    It is the mean for groups of a whole worker and for groups of `group` within a rack.
    """
    free = topology.free_accelerators
    taken = demand.accelerators * demand.members
    racks: dict[str, int] = defaultdict(int)
    by_worker = 0
    size = 1
    for name, members in counts.items():
        state = topology.workers[name]
        size = max(state.worker.accelerators, 1)
        by = members * demand.accelerators
        racks[state.worker.rack] += by
        by_worker += _fall(state.free_accelerators, by, size)
    change = by_worker - _fall(free, taken, size)
    if not group:
        return float(change)
    by_rack = sum(_fall(topology.racks[r].free_accelerators, by, group) for r, by in racks.items())
    return (change + by_rack - _fall(free, taken, group)) / 2


def _fall(free: int, by: int, size: int) -> int:
    """Return by how much the whole groups of a size within `free` fall."""
    return (max(free, 0) // size - max(free - by, 0) // size) * size
