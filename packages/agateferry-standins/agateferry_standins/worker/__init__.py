"""A stand-in worker that runs leases, sends heartbeats and shows faults on command."""

from agateferry_standins.worker.behaviour import Behaviour
from agateferry_standins.worker.leases import LeaseTable
from agateferry_standins.worker.messages import LeaseRequest, LeaseState, Refusal, WorkerCapacity
from agateferry_standins.worker.start_log import StartLog
from agateferry_standins.worker.worker import StandInWorker, WorkerConfig

__all__ = [
    "Behaviour",
    "LeaseRequest",
    "LeaseState",
    "LeaseTable",
    "Refusal",
    "StandInWorker",
    "StartLog",
    "WorkerConfig",
    "WorkerCapacity",
]
