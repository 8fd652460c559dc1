"""An in-memory worker that follows the platform's protocol, without a network.

A test can lose an order, delay it or have it executed; leases and fencing tokens are enforced as on
a real worker.
"""

import asyncio
from dataclasses import dataclass, field

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_jobs.ledger.state import RunKey
from agateferry_jobs.workers.port import (
    Answer,
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
)

WAIT_STEP_MS = 10
"""How often a waiting poll checks whether a run ended."""


@dataclass
class ModelWorker:
    """One incarnation of a worker.

    The next `orders_to_lose` start orders get no answer and are kept in `delayed_orders`; a test
    can pass them to `execute` later, as if the network had delayed them.
    """

    clock: Clock
    born: int = 1
    orders_to_lose: int = 0
    polls_to_lose: int = 0
    """How many of the next polls get no answer."""
    is_unreachable: bool = False
    is_full: bool = False
    is_replaced: bool = False
    max_lease_ms: int = 1_000_000_000
    """A longer lease is shortened to this."""
    token: int = 0
    deadline_ms: int = 0
    running: dict[RunKey, int] = field(default_factory=dict)
    ended_runs: dict[RunKey, int] = field(default_factory=dict)
    """The newest run of each subtask that ended or was ordered to stop; it cannot start again."""
    ends: list[FinishedRun] = field(default_factory=list)
    last_end_number: int = 0
    delayed_orders: list[StartOrder] = field(default_factory=list)
    starts: list[tuple[RunKey, int]] = field(default_factory=list)
    progress_percent: float = 0.0
    wait_step_ms: int = WAIT_STEP_MS
    first_outcome: str = ""
    releases: int = 0

    async def start(self, order: StartOrder, timeout_ms: int) -> Answer:
        """Execute a start order, unless this worker is unreachable, loses the order or is full."""
        if self.is_unreachable:
            return NoAnswer("cut")
        if self.orders_to_lose > 0:
            self.orders_to_lose -= 1
            self.delayed_orders.append(order)
            await asyncio.sleep(timeout_ms / MS_PER_S)
            return NoAnswer("lost")
        if self.is_full:
            return Rejected("room", self.clock.now_ms())
        return self.execute(order)

    def execute(self, order: StartOrder) -> Answer:
        """Start a run, unless the token, the deadline or the run number is outdated."""
        now_ms = self.clock.now_ms()
        if order.token < self.token:
            return Rejected("fence", now_ms)
        self.token = order.token
        if order.deadline_ms <= now_ms:
            return Rejected("late", now_ms)
        self._extend_lease(order.deadline_ms)
        if self.running.get(order.key) == order.run:
            return Confirmed(now_ms)
        if order.run <= self.ended_runs.get(order.key, 0):
            return Rejected("old", now_ms)
        self.running[order.key] = order.run
        self.starts.append((order.key, order.run))
        return Confirmed(now_ms)

    def expire_lease(self) -> None:
        """Kill all runs if the lease has expired."""
        if self.clock.now_ms() > self.deadline_ms:
            for key in list(self.running):
                self.end(key, "lapsed")

    async def stop(self, order: StopOrder, timeout_ms: int) -> Answer:
        """Execute a stop order, unless this worker is unreachable."""
        if self.is_unreachable:
            return NoAnswer("cut")
        if order.token < self.token:
            return Rejected("fence", self.clock.now_ms())
        self.token = order.token
        self.ended_runs[order.key] = max(order.run, self.ended_runs.get(order.key, 0))
        if self.running.get(order.key) == order.run:
            self.end(order.key, "stopped")
        return Confirmed(self.clock.now_ms())

    async def poll(
        self, order: PollOrder, timeout_ms: int
    ) -> RunLists | Rejected | IncarnationMismatch | NoAnswer:
        """Extend the lease and return the running and finished runs."""
        if self.polls_to_lose > 0:
            self.polls_to_lose -= 1
            await asyncio.sleep(timeout_ms / MS_PER_S)
            return NoAnswer("lost")
        await asyncio.sleep(WAIT_STEP_MS / MS_PER_S)
        for _ in range(order.wait_ms // self.wait_step_ms):
            if (
                self.is_unreachable
                or self.is_replaced
                or any(e.number > order.cursor for e in self.ends)
            ):
                break
            await asyncio.sleep(self.wait_step_ms / MS_PER_S)
        if self.is_unreachable:
            return NoAnswer("cut")
        if self.is_replaced:
            return IncarnationMismatch()
        if order.token < self.token:
            return Rejected("fence", self.clock.now_ms())
        self.token = order.token
        if order.deadline_ms is not None:
            self._extend_lease(order.deadline_ms)
        self.ends = [end for end in self.ends if end.number > order.cursor]
        running = tuple(
            RunningRun(k, r, "", self.progress_percent) for k, r in self.running.items()
        )
        return RunLists(self.clock.now_ms(), self.born, running, tuple(self.ends))

    def _extend_lease(self, deadline_ms: int) -> None:
        latest_ms = self.clock.now_ms() + self.max_lease_ms
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, latest_ms))

    def end(self, key: RunKey, outcome: str, checkpoint: str = "") -> None:
        """End a run with this outcome."""
        run = self.running.pop(key)
        self.first_outcome = self.first_outcome or outcome
        self.ended_runs[key] = run
        self.last_end_number += 1
        self.ends.append(FinishedRun(self.last_end_number, key, run, outcome, checkpoint))

    async def release(self) -> None:
        """Count the release."""
        self.releases += 1

    async def close(self) -> None:
        """Do nothing."""
