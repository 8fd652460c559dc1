"""How many free accelerators a placement strands.

Free accelerators are stranded for a group size when they are too scattered to hold groups that
would fit if they were together. docs/design/measures.md defines the measure.
"""

from collections import defaultdict

from agateferry_core.demand import Adjacency, Demand
from agateferry_scheduling.guarantees import Layout
from agateferry_scheduling.placement.first_fit import MemberCounts
from agateferry_scheduling.topology import Topology


def largest_rack_group(layout: Layout) -> int:
    """Return the size of the largest group that is guaranteed within one rack, or 0."""
    groups = (cell.accelerators for cell in layout.cells if cell.adjacency is Adjacency.RACK)
    return max(groups, default=0)


def stranding_change(
    topology: Topology, demand: Demand, counts: MemberCounts, rack_group: int
) -> float:
    """Return by how many accelerators a placement changes the number of stranded ones.

    The result is the mean over groups of a whole worker and groups of `rack_group` within a rack.
    """
    free = topology.free_accelerators
    taken = demand.accelerators * demand.members
    racks: dict[str, int] = defaultdict(int)
    worker_loss = 0
    size = 1
    for name, members in counts.items():
        state = topology.workers[name]
        size = max(state.worker.accelerators, 1)
        used = members * demand.accelerators
        racks[state.worker.rack] += used
        worker_loss += _group_loss(state.free_accelerators, used, size)
    change = worker_loss - _group_loss(free, taken, size)
    if not rack_group:
        return float(change)
    rack_loss = sum(
        _group_loss(topology.racks[r].free_accelerators, used, rack_group)
        for r, used in racks.items()
    )
    return (change + rack_loss - _group_loss(free, taken, rack_group)) / 2


def _group_loss(free: int, used: int, size: int) -> int:
    """Return how many free accelerators in whole groups of `size` are lost when some are used."""
    return (max(free, 0) // size - max(free - used, 0) // size) * size
