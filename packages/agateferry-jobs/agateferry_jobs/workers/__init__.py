"""Orders to workers, their leases, and what they tell of their runs."""

from agateferry_jobs.workers.port import (
    Confirmed,
    FinishedRun,
    HoldOrder,
    Listed,
    NoAnswer,
    OtherLife,
    Rejected,
    RunningRun,
    StartOrder,
    StopOrder,
    WorkerPort,
)

__all__ = [
    "Confirmed",
    "FinishedRun",
    "HoldOrder",
    "Listed",
    "NoAnswer",
    "OtherLife",
    "Rejected",
    "RunningRun",
    "StartOrder",
    "StopOrder",
    "WorkerPort",
]
