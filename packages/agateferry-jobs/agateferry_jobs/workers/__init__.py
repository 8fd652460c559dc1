"""Orders to workers, their leases, and what they tell of their runs."""

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
