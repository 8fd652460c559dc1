"""The dependencies and time limits that the parts of a cell's leader share."""

import random
from dataclasses import dataclass, field

from agateferry_core.clock import Clock
from agateferry_core.logs import EventLogger
from agateferry_core.metrics import Metrics
from agateferry_service.cell.catalog import Catalog
from agateferry_service.cell.machine import CellMachine
from agateferry_service.cell.payload_room import DEFAULT_MAX_BYTES
from agateferry_service.cell.proposer import Proposer
from agateferry_service.cell.tasks import TaskGroup
from agateferry_service.cell.waiters import Waiters
from agateferry_service.dispatch.attempt import AttemptTimes
from agateferry_service.dispatch.client import WorkerCalls
from agateferry_state.replica import Replica


@dataclass(frozen=True, slots=True)
class CellTimes:
    """The time limits, intervals, rates and sizes of a cell's leader."""

    attempt: AttemptTimes = AttemptTimes()
    tick_ms: int = 200
    worker_heartbeat_ms: int = 2_000
    worker_silence_ms: int = 6_000
    max_announcements_per_s: int = 5
    cancel_wait_ms: int = 5_000
    requeue_ms: int = 100
    retry_budget_percent: int = 20
    answer_keep_ms: int = 3_600_000
    forget_every_ms: int = 30_000
    max_payload_bytes: int = DEFAULT_MAX_BYTES


@dataclass(slots=True)
class CellContext:
    """The dependencies that every part of a leader uses."""

    host: str
    machine: CellMachine
    replica: Replica
    proposer: Proposer
    workers: WorkerCalls
    clock: Clock
    rng: random.Random
    metrics: Metrics
    log: EventLogger
    waiters: Waiters
    times: CellTimes = CellTimes()
    tasks: TaskGroup = field(default_factory=TaskGroup)

    @property
    def catalog(self) -> Catalog:
        """Return the records in force in this zone."""
        return self.machine.catalog
