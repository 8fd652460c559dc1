"""Where a zone's accelerators are, what is adjacent, and what is placed on them."""

from agateferry_scheduling.topology.state import (
    Allocation,
    Backing,
    RackState,
    WorkerState,
)
from agateferry_scheduling.topology.topology import Topology

__all__ = ["Allocation", "Backing", "RackState", "Topology", "WorkerState"]
