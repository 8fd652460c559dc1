"""Orders to workers, their leases, and the run lists that they return."""

from agateferry_jobs.workers.port import (
    Confirmed,
    FinishedRun,
    IncarnationMismatch,
    NoAnswer,
    PollOrder,
    Rejected,
    RunLists,
    RunningRun,
    StartOrder,
    StopOrder,
    WorkerPort,
)

__all__ = [
    "Confirmed",
    "FinishedRun",
    "PollOrder",
    "RunLists",
    "NoAnswer",
    "IncarnationMismatch",
    "Rejected",
    "RunningRun",
    "StartOrder",
    "StopOrder",
    "WorkerPort",
]
