"""The racks and workers of a zone, their free resources and the allocations on them."""

from agateferry_scheduling.topology.state import (
    Allocation,
    AllocationKind,
    RackState,
    WorkerState,
)
from agateferry_scheduling.topology.topology import Topology

__all__ = ["Allocation", "AllocationKind", "RackState", "Topology", "WorkerState"]
