"""What all connections of one port share: limits, accounts and the count of rejections."""

import asyncio
import math
from collections import Counter

from agateferry_core.clock import MS_PER_S
from agateferry_core.logs import EventLogger
from agateferry_service.http import events, metrics
from agateferry_service.http.connections import ConnectionTable
from agateferry_service.http.limits import MakeRejection, PortLimits, RejectionReason
from agateferry_service.http.memory import MemoryAccount
from agateferry_service.http.paced_input import PacedInput

LOG_INTERVAL_MS = 10_000
"""A flood is one line in so many milliseconds, not one for each client."""


class PortState:
    """The limits of a port and what its connections use of them.

    `memory` is shared by all ports of a process.
    """

    def __init__(
        self,
        name: str,
        limits: PortLimits,
        memory: MemoryAccount,
        make_rejection: MakeRejection,
    ) -> None:
        self.name = name
        self.limits = limits
        self.memory = memory
        self.make_rejection = make_rejection
        self.connections = ConnectionTable(limits.max_connections)
        self.paced_input = PacedInput()
        self._log = EventLogger(port=name)
        self._unlogged: Counter[str] = Counter()
        self._logged_s = -math.inf
        metrics.CONNECTIONS.labels(name).set_function(lambda: len(self.connections.open))
        metrics.HELD_BYTES.set_function(lambda: memory.held_bytes)

    def count_rejection(self, reason: RejectionReason) -> None:
        """Count a rejection, and log what was counted if the last line is old enough."""
        metrics.REJECTIONS.labels(self.name, reason.value).inc()
        self._unlogged[reason.value] += 1
        now_s = asyncio.get_running_loop().time()
        if (now_s - self._logged_s) * MS_PER_S < LOG_INTERVAL_MS:
            return
        self._logged_s = now_s
        self._log.warning(
            events.CLIENTS_REJECTED,
            reasons=dict(self._unlogged),
            connections=len(self.connections.open),
            held_bytes=self.memory.held_bytes,
        )
        self._unlogged.clear()
