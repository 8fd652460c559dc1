"""Pure scheduling decisions of agateferry: guarantees, queueing, placement and preemption."""

__version__ = "0.1.0"
