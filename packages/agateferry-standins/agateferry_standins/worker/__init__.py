"""A stand-in worker: leases, announcements and faults on command."""

from agateferry_standins.worker.behaviour import Behaviour
from agateferry_standins.worker.leases import LeaseTable
from agateferry_standins.worker.messages import LeaseRequest, LeaseState, Refusal, WorkerSize
from agateferry_standins.worker.start_log import StartLog
from agateferry_standins.worker.worker import StandInWorker, WorkerPlace

__all__ = [
    "Behaviour",
    "LeaseRequest",
    "LeaseState",
    "LeaseTable",
    "Refusal",
    "StandInWorker",
    "StartLog",
    "WorkerPlace",
    "WorkerSize",
]
