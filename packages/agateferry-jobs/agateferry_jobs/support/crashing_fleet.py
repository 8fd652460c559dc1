"""In-memory workers that crash under some subtasks, or all at once, and come back after a while.

Everything runs in virtual time. A worker that came back has another id at the same address, as on
the platform; it has seen no fencing token and runs nothing.
"""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from agateferry_core.clock import MS_PER_S
from agateferry_core.support import VirtualLoop
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.ledger import Job, JobState, Ledger, WorkerIncarnation
from agateferry_jobs.ledger.specs import JobSpec
from agateferry_jobs.ledger.state import RunKey, gang_of
from agateferry_jobs.support.builders import manifest, worker
from agateferry_jobs.support.model_worker import ModelWorker
from agateferry_jobs.support.replica import MemoryReplica
from agateferry_jobs.workers.port import (
    Answer,
    Confirmed,
    IncarnationMismatch,
    NoAnswer,
    PollOrder,
    Rejected,
    RunLists,
    StartOrder,
)

LEASE_MS = 8_000
HEARTBEAT_MS = 1_500
CRASH_DELAY_MS = 10
"""How long after its start a deadly subtask crashes its worker."""
RESTART_MS = 3_200
"""How long a crashed worker is away."""


@dataclass(slots=True)
class Machine:
    """One machine with its current worker."""

    number: int
    rack: str
    incarnation: WorkerIncarnation
    port: "CrashingWorker"
    is_up: bool = True
    heartbeats: int = 0


@dataclass
class CrashingWorker(ModelWorker):
    """A worker that tells its fleet of each run that it begins."""

    on_start: Callable[["CrashingWorker", RunKey, int], None] = field(default=lambda *_: None)

    async def poll(
        self, order: PollOrder, timeout_ms: int
    ) -> RunLists | Rejected | IncarnationMismatch | NoAnswer:
        """Answer a poll; each one shows some progress."""
        self.progress_percent = (self.progress_percent + 1) % 99
        return await super().poll(order, timeout_ms)

    def execute(self, order: StartOrder) -> Answer:
        """Start a run and tell the fleet, unless it runs here already."""
        before = len(self.starts)
        answer = super().execute(order)
        if isinstance(answer, Confirmed) and len(self.starts) > before:
            self.on_start(self, order.key, order.run)
        return answer


class CrashingFleet:
    """Some machines and one leader; `deadly` subtasks crash each worker that starts them."""

    def __init__(self, loop: VirtualLoop, machines: int = 6, machines_per_rack: int = 8) -> None:
        self.loop = loop
        self.ledger = Ledger()
        self.replica = MemoryReplica(self.ledger)
        self.leader = Leader(self.replica, self.ledger, loop, self._port_to, LEASE_MS)
        self.deadly: set[RunKey] = set()
        self.run_ms = 1_000
        """How long a run works until it is done."""
        self.restart_ms = RESTART_MS
        self.crash_delay_ms = CRASH_DELAY_MS
        self.starts: dict[RunKey, list[int]] = defaultdict(list)
        """The times at which each subtask was started."""
        self.crashes: dict[RunKey, list[int]] = defaultdict(list)
        """The times at which a worker crashed under each deadly subtask."""
        self.runs_lost = 0
        """How many runs of other subtasks ended with a crashed worker."""
        self._ports: dict[tuple[str, int], CrashingWorker] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.machines = [
            self._boot(number, f"r{number // machines_per_rack}") for number in range(machines)
        ]

    async def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Lead, register all workers and run a scenario."""
        self.replica.lead()
        await self.leader.handle(messages.InstallManifest(manifest()))
        self._spawn(self._send_heartbeats())
        await asyncio.sleep(0.5)
        try:
            await scenario()
        finally:
            for task in list(self._tasks):
                task.cancel()
            await self.leader.close()

    async def submit(self, id: str, spec: JobSpec, prefix: str = "jobs") -> None:
        """Submit a job; `prefix` is that of its queue."""
        target = messages.CallTarget("host", f"/{prefix}/{id}", "key")
        reply = await self.leader.handle(messages.Submit(target, spec))
        assert isinstance(reply, messages.Done), reply

    async def cancel(self, id: str) -> None:
        """Cancel a job."""
        target = messages.CallTarget("host", f"/jobs/{id}", "key")
        reply = await self.leader.handle(messages.Cancel(target))
        assert isinstance(reply, messages.Done), reply

    async def status(self, id: str) -> messages.Reply:
        """Return the reply to a query for a job."""
        target = messages.CallTarget("host", f"/jobs/{id}", "key")
        return await self.leader.handle(messages.GetStatus(target))

    async def sleep_ms(self, duration_ms: int) -> None:
        """Let virtual time pass."""
        await asyncio.sleep(duration_ms / MS_PER_S)

    async def change_leader(self, away_ms: int) -> None:
        """Have no leader for a while; a new one restores the ledger from a snapshot."""
        self.replica.lead(False)
        await self.sleep_ms(away_ms)
        self.ledger.restore(self.ledger.snapshot())
        self.replica.lead()

    def crash(self, machines: Iterable[Machine], restart_ms: int | None = None) -> None:
        """Crash machines at once; they are back after `restart_ms`."""
        for machine in machines:
            if machine.is_up:
                self._crash(machine, restart_ms or self.restart_ms)

    def starts_after_third_crash(self, key: RunKey) -> int:
        """Return how often a subtask was started after three workers had crashed under it."""
        crashes = self.crashes[key]
        return sum(at_ms > crashes[2] for at_ms in self.starts[key]) if len(crashes) > 2 else 0

    def job(self, id: str) -> Job:
        """Return a job of the ledger."""
        return self.ledger.jobs[id]

    def ids_in(self, state: JobState) -> list[str]:
        """Return the ids of the jobs in a state."""
        return sorted(id for id, job in self.ledger.jobs.items() if job.state is state)

    def _port_to(self, incarnation: WorkerIncarnation) -> CrashingWorker:
        return self._ports[(incarnation.id, incarnation.born)]

    def _boot(self, number: int, rack: str) -> Machine:
        born = self.loop.now_ms() + 1
        incarnation = replace_address(worker(f"w{number}-{born}", rack, born), f"m{number}:80")
        port = CrashingWorker(self.loop, born, on_start=self._on_start)
        self._ports[(incarnation.id, born)] = port
        return Machine(number, rack, incarnation, port)

    def _on_start(self, port: CrashingWorker, key: RunKey, run: int) -> None:
        self.starts[key].append(self.loop.now_ms())
        if key in self.deadly:
            self.loop.call_later(self.crash_delay_ms / MS_PER_S, self._crash_under, port, key)
        else:
            self.loop.call_later(self.run_ms / MS_PER_S, self._finish, port, key, run)

    def _finish(self, port: CrashingWorker, key: RunKey, run: int) -> None:
        if port.running.get(key) == run:
            port.end(key, "done")

    def _crash_under(self, port: CrashingWorker, key: RunKey) -> None:
        if key in port.running:
            self.crashes[key].append(self.loop.now_ms())
            machine = next(each for each in self.machines if each.port is port)
            self._crash(machine, self.restart_ms)

    def _crash(self, machine: Machine, restart_ms: int) -> None:
        machine.is_up = False
        machine.port.is_unreachable = True
        lost = list(machine.port.running)
        machine.port.running.clear()
        self.runs_lost += sum(key not in self.deadly for key in lost)
        for key in lost:
            self._break_gang(key)
        self._spawn(self._restart(machine, restart_ms))

    def _break_gang(self, lost: RunKey) -> None:
        """End the other members of the gang that a lost run belonged to."""
        job = self.ledger.jobs[lost[0]]
        if not job.step_of(lost[1]).is_gang:
            return
        members = {(job.id, name) for name in job.members(gang_of(lost[1]))}
        for machine in self.machines:
            for key in members & machine.port.running.keys():
                machine.port.end(key, "broken")

    async def _restart(self, machine: Machine, restart_ms: int) -> None:
        await self.sleep_ms(restart_ms)
        machine.port.is_unreachable = False
        machine.port.is_replaced = True
        booted = self._boot(machine.number, machine.rack)
        machine.incarnation, machine.port = booted.incarnation, booted.port
        machine.is_up, machine.heartbeats = True, 0
        await self._send_heartbeat(machine)

    async def _send_heartbeats(self) -> None:
        while True:
            for machine in self.machines:
                if machine.is_up and not machine.port.is_unreachable:
                    await self._send_heartbeat(machine)
            await self.sleep_ms(HEARTBEAT_MS)

    async def _send_heartbeat(self, machine: Machine) -> None:
        machine.heartbeats += 1
        await self.leader.handle(messages.Heartbeat(machine.incarnation, machine.heartbeats))

    def _spawn(self, coro: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def replace_address(incarnation: WorkerIncarnation, address: str) -> WorkerIncarnation:
    """Return an incarnation at another address."""
    incarnation.address = address
    return incarnation
