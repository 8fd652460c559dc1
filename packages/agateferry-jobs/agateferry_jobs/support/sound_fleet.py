"""Workers that are sound but not perfect, a leader, and teams that reclaim their guarantees.

Everything runs in virtual time from a seed. Each stop takes up to `STOP_MS`. Every `FAULT_GAP_MS`
at most, one order goes wrong: it or its answer is lost, or a start is refused for want of room.

A job is owed its start if, when its caller got the confirmation, the urgent jobs of its team that
had not ended needed no more than the guarantee.
"""

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from agateferry_core.clock import MS_PER_S
from agateferry_core.support import VirtualLoop
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.ledger import Ledger, WorkerIncarnation
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.manifest import Manifest, Queue, Service, Team
from agateferry_jobs.settings import TimeLimits
from agateferry_jobs.support.builders import worker
from agateferry_jobs.support.replica import MemoryReplica
from agateferry_jobs.support.timed_runs import TimedRuns, TimedWorker
from agateferry_jobs.workers.port import (
    Answer,
    Confirmed,
    NoAnswer,
    Rejected,
    StartOrder,
    StopOrder,
)

RECLAIM_MS = 2_700
STOP_MS = 200
LEASE_MS = 6_000
FAULT_GAP_MS = 3_000
TICK_MS = 20
HEARTBEAT_TICKS = 75
WORKERS, WORKERS_PER_RACK = 12, 6
CAPACITY = Resources(128_000, 512_000, 8)
TEAMS = tuple(Team(name, (name,), reserved_gpus=17) for name in ("a", "b", "c"))
OTHER = Team("other", ("other",))
MANIFEST = Manifest(
    1,
    tuple(
        Queue(f"p{n}", "host", f"/p{n}/", "pool", 3000, 250, n, attempts=3, stretch=1.5)
        for n in range(3)
    ),
    (Service("pool"),),
    (*TEAMS, OTHER),
    b"version 1",
)
GPUS = (1, 2, 4, 8, 8)


@dataclass
class SoundWorker(TimedWorker):
    """A worker whose stops take a while, and which loses an order now and then.

    `faults` decides what goes wrong with an order, if anything does.
    """

    rng: random.Random = field(default_factory=random.Random)
    faults: "OrderFaults | None" = None

    async def start(self, order: StartOrder, timeout_ms: int) -> Answer:
        """Execute a start order, unless something goes wrong with it or its answer."""
        match self.faults.next() if self.faults is not None else "":
            case "order":
                await asyncio.sleep(timeout_ms / MS_PER_S)
                return NoAnswer("lost")
            case "answer":
                self.execute(order)
                await asyncio.sleep(timeout_ms / MS_PER_S)
                return NoAnswer("answer lost")
            case "refusal":
                return Rejected("room", self.clock.now_ms())
        return self.execute(order)

    async def stop(self, order: StopOrder, timeout_ms: int) -> Answer:
        """Begin to stop a run, unless the order is lost."""
        if self.faults is not None and self.faults.next() in ("order", "refusal"):
            await asyncio.sleep(timeout_ms / MS_PER_S)
            return NoAnswer("lost")
        self.ended_runs[order.key] = max(order.run, self.ended_runs.get(order.key, 0))
        if self.running.get(order.key) == order.run:
            delay_s = self.rng.uniform(0.2, 1.0) * STOP_MS / MS_PER_S
            asyncio.get_running_loop().call_later(delay_s, self._end_stopped, order)
        return Confirmed(self.clock.now_ms())

    def _end_stopped(self, order: StopOrder) -> None:
        if self.running.get(order.key) == order.run:
            self.end(order.key, "stopped")


class OrderFaults:
    """What goes wrong with the orders of a fleet, one in `FAULT_GAP_MS` at most."""

    def __init__(self, rng: random.Random, loop: VirtualLoop, share: float) -> None:
        self._rng = rng
        self._loop = loop
        self._share = share
        self._not_before_ms = 0

    def next(self) -> str:
        """Return what goes wrong with the next order, or nothing."""
        if self._loop.now_ms() < self._not_before_ms or self._rng.random() >= self._share:
            return ""
        self._not_before_ms = self._loop.now_ms() + FAULT_GAP_MS
        return self._rng.choice(("order", "answer", "refusal"))


@dataclass(slots=True)
class OwedJob:
    """A job that is owed its start, and since when."""

    id: str
    confirmed_ms: int
    count: int
    is_late: bool = False
    began_after_ms: int | None = None


class SoundFleet:
    """One play of the leader beside sound workers."""

    def __init__(self, loop: VirtualLoop, seed: int, fault_share: float = 0.05) -> None:
        self._loop = loop
        self._rng = random.Random(seed)
        self.ledger = Ledger()
        self.replica = MemoryReplica(self.ledger)
        limits = TimeLimits(max_lease_ms=LEASE_MS, reclaim_ms=RECLAIM_MS, stop_timeout_ms=STOP_MS)
        self.leader = Leader(
            self.replica,
            self.ledger,
            loop,
            self._port_to,
            LEASE_MS,
            limits.max_report_age_ms,
            start_budget=limits.start_budget,
        )
        faults = OrderFaults(self._rng, loop, fault_share)
        self._incarnations = {id: self._incarnation(n) for n in range(WORKERS) if (id := f"w{n}")}
        self._ports = {
            id: SoundWorker(loop, 1, rng=self._rng, faults=faults, wait_step_ms=TICK_MS)
            for id in self._incarnations
        }
        self._run_ms: dict[str, int] = {}
        self._runs = TimedRuns(self.ledger, loop, lambda key: self._run_ms[key[0]])
        self._demand = {team.name: self._rng.choice((1.3, 1.6, 6.0, 8.0)) for team in TEAMS}
        self._tasks: set[asyncio.Task[None]] = set()
        self.owed: list[OwedJob] = []

    async def run(self, duration_s: float = 20.0) -> list[OwedJob]:
        """Let jobs arrive for a while; return those that were owed their start and were late."""
        self.replica.lead()
        await self.leader.handle(messages.InstallManifest(MANIFEST))
        for id in self._incarnations:
            await self._report(id)
        self._spawn(self._tick_forever())
        arrivals = asyncio.ensure_future(self._submit_jobs())
        await asyncio.sleep(duration_s)
        arrivals.cancel()
        await asyncio.sleep(2 * RECLAIM_MS / MS_PER_S)
        for task in self._tasks:
            task.cancel()
        await self.leader.close()
        for task in self._tasks:
            if task.done() and not task.cancelled():
                task.result()
        return [job for job in self.owed if job.is_late]

    def _incarnation(self, number: int) -> WorkerIncarnation:
        incarnation = worker(f"w{number}", f"r{number // WORKERS_PER_RACK}")
        incarnation.capacity, incarnation.slots = CAPACITY, 32
        return incarnation

    def _port_to(self, incarnation: WorkerIncarnation) -> SoundWorker:
        return self._ports[incarnation.id]

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        self._tasks.add(asyncio.ensure_future(coro))

    async def _tick_forever(self) -> None:
        tick = 0
        while True:
            tick += 1
            for port in self._ports.values():
                port.expire_lease()
            self._runs.advance(self._ports.values())
            self._observe()
            for number, id in enumerate(self._incarnations):
                if (tick + number) % HEARTBEAT_TICKS == 0:
                    await self._report(id)
            await asyncio.sleep(TICK_MS / MS_PER_S)

    async def _report(self, id: str) -> None:
        now_ms = self._loop.now_ms()
        await self.leader.handle(messages.Heartbeat(self._incarnations[id], now_ms, now_ms))

    async def _submit_jobs(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0.05, 0.25))
            if self._rng.random() < 0.3:
                await self._submit_other()
            for _ in range(self._rng.choice((0, 0, 1, 4))):
                await self._submit_urgent()

    async def _submit_other(self) -> None:
        need = self._rng.choice((Resources(52_000, 150_000, 8), Resources(11_000, 33_000, 1)))
        step = StepSpec(self._rng.randint(1, 12), need, 8_000, is_gang=self._rng.random() < 0.3)
        await self._submit(OTHER.name, step, self._rng.choice((1, 2)))

    async def _submit_urgent(self) -> None:
        team = self._rng.choice(TEAMS)
        count = self._rng.choice((1, 1, 1, 2, 3, 4))
        gpus = self._rng.choice(GPUS)
        held = count * gpus + sum(
            job.spec.steps[0].count * job.spec.steps[0].need.gpu
            for job in self.ledger.jobs.values()
            if job.team == team.name and not job.is_over
        )
        if held > self._demand[team.name] * team.reserved_gpus:
            return
        is_rack = count > 1 and self._rng.random() < 0.8
        run_ms = self._rng.randint(700, 6_000)
        need = Resources(15_000, 44_000, gpus)
        step = StepSpec(count, need, run_ms, is_gang=count > 1, same_rack=is_rack)
        id = await self._submit(team.name, step, 0)
        if held <= team.reserved_gpus:
            self.owed.append(OwedJob(id, self._loop.now_ms(), count))

    async def _submit(self, team: str, step: StepSpec, priority: int) -> str:
        id = f"{len(self._run_ms):016x}"
        self._run_ms[id] = round(step.estimated_ms * self._rng.uniform(0.8, 1.3))
        target = messages.CallTarget("host", f"/p{priority}/{id}", team)
        reply = await self.leader.handle(messages.Submit(target, JobSpec("payload", (step,))))
        assert isinstance(reply, messages.Done), reply
        return id

    def _observe(self) -> None:
        """Judge by what the workers have begun, at whatever time the leader learns of it."""
        begun = {key for port in self._ports.values() for key, _ in port.starts}
        for job in self.owed:
            waited_ms = self._loop.now_ms() - job.confirmed_ms
            has_begun = sum((job.id, f"0.0.{n}") in begun for n in range(job.count)) == job.count
            if job.began_after_ms is None and has_begun:
                job.began_after_ms = waited_ms
            job.is_late |= job.began_after_ms is None and waited_ms > RECLAIM_MS
