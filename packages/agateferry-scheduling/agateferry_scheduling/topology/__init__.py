"""Where a zone's accelerators are, what is adjacent, and what is placed on them."""

from agateferry_scheduling.topology.state import (
    Allocation,
    Backing,
    RackState,
    Topology,
    WorkerState,
)

__all__ = ["Allocation", "Backing", "RackState", "Topology", "WorkerState"]
