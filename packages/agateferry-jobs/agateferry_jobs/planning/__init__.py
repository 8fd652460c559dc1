"""Which subtask starts where, and which runs are preempted for it; no I/O."""

from agateferry_jobs.planning.fleet import Fleet
from agateferry_jobs.planning.plan import Plan
from agateferry_jobs.planning.planner import Planner
from agateferry_jobs.planning.worker_allocation import WorkerAllocation, WorkerHealth

__all__ = ["Fleet", "Plan", "Planner", "WorkerAllocation", "WorkerHealth"]
