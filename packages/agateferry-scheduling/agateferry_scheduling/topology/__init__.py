"""Where a zone's accelerators are, what is adjacent, and what is placed on them."""

from agateferry_scheduling.topology.state import (
    Allocation,
    AllocationKind,
    RackState,
    WorkerState,
)
from agateferry_scheduling.topology.topology import Topology

__all__ = ["Allocation", "AllocationKind", "RackState", "Topology", "WorkerState"]
