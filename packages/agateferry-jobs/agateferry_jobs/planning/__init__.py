"""Which subtask starts where, and which runs are preempted for it; no I/O."""

from agateferry_jobs.planning.fleet import Fleet, WorkerAllocation, WorkerHealth
from agateferry_jobs.planning.planner import Plan, Planner

__all__ = ["Fleet", "Plan", "Planner", "WorkerAllocation", "WorkerHealth"]
