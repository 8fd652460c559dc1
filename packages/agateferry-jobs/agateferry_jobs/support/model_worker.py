"""A worker as the platform's pages describe it, without a network.

Orders can be lost, answered, or carried out later; leases and fencing tokens hold as on a real one.
"""

import asyncio
from dataclasses import dataclass, field

from agateferry_core.clock import Clock
from agateferry_jobs.planning.fleet import RunKey
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
"""How often a hold that waits looks for an end."""
WAIT_STEP_S = WAIT_STEP_MS / 1000


@dataclass
class ModelWorker:
    """One life of a worker. `late` collects orders that got no answer; `carry_out` does them."""

    clock: Clock
    born: int = 1
    loses_orders: int = 0
    is_cut: bool = False
    is_full: bool = False
    is_other: bool = False
    token: int = 0
    deadline_ms: int = 0
    running: dict[RunKey, int] = field(default_factory=dict)
    over: dict[RunKey, int] = field(default_factory=dict)
    ends: list[FinishedRun] = field(default_factory=list)
    ended: int = 0
    late: list[StartOrder] = field(default_factory=list)
    starts: list[tuple[RunKey, int]] = field(default_factory=list)
    percent: float = 0.0
    first_outcome: str = ""

    async def start(self, order: StartOrder, timeout_ms: int) -> Answer:
        """Take a start, or lose it for now."""
        if self.is_cut:
            return NoAnswer("cut")
        if self.loses_orders > 0:
            self.loses_orders -= 1
            self.late.append(order)
            return NoAnswer("lost")
        if self.is_full:
            return Rejected("room", self.clock.now_ms())
        return self.carry_out(order)

    def carry_out(self, order: StartOrder) -> Answer:
        """Do what a start asks."""
        now_ms = self.clock.now_ms()
        if order.token < self.token:
            return Rejected("fence", now_ms)
        self.token = order.token
        if order.deadline_ms <= now_ms:
            return Rejected("late", now_ms)
        self.deadline_ms = max(self.deadline_ms, order.deadline_ms)
        if self.running.get(order.key) == order.run:
            return Confirmed(now_ms)
        if order.run <= self.over.get(order.key, 0):
            return Rejected("old", now_ms)
        self.running[order.key] = order.run
        self.starts.append((order.key, order.run))
        return Confirmed(now_ms)

    def lapse(self) -> None:
        """Kill everything once the lease is over."""
        if self.clock.now_ms() > self.deadline_ms:
            for key in list(self.running):
                self.end(key, "lapsed")

    async def stop(self, order: StopOrder, timeout_ms: int) -> Answer:
        """Take a stop."""
        if self.is_cut:
            return NoAnswer("cut")
        if order.token < self.token:
            return Rejected("fence", self.clock.now_ms())
        self.token = order.token
        self.over[order.key] = max(order.run, self.over.get(order.key, 0))
        if self.running.get(order.key) == order.run:
            self.end(order.key, "stopped")
        return Confirmed(self.clock.now_ms())

    async def poll(
        self, order: PollOrder, timeout_ms: int
    ) -> RunLists | Rejected | IncarnationMismatch | NoAnswer:
        """Extend the lease and list."""
        await asyncio.sleep(WAIT_STEP_S)
        for _ in range(order.wait_ms // WAIT_STEP_MS):
            if self.is_cut or self.is_other or any(e.number > order.cursor for e in self.ends):
                break
            await asyncio.sleep(WAIT_STEP_S)
        if self.is_cut:
            return NoAnswer("cut")
        if self.is_other:
            return IncarnationMismatch()
        if order.token < self.token:
            return Rejected("fence", self.clock.now_ms())
        self.token = order.token
        if order.deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, order.deadline_ms)
        self.ends = [end for end in self.ends if end.number > order.cursor]
        running = tuple(RunningRun(k, r, "", self.percent) for k, r in self.running.items())
        return RunLists(self.clock.now_ms(), self.born, running, tuple(self.ends))

    def end(self, key: RunKey, outcome: str, checkpoint: str = "") -> None:
        """Have a run end."""
        run = self.running.pop(key)
        self.first_outcome = self.first_outcome or outcome
        self.over[key] = run
        self.ended += 1
        self.ends.append(FinishedRun(self.ended, key, run, outcome, checkpoint))

    async def close(self) -> None:
        """Do nothing."""
