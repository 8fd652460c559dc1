"""A stand-in worker with its lease table, HTTP server, timer and heartbeats."""

import asyncio
import uuid
from collections import deque
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from aiohttp.typedefs import Handler

from agateferry_core.clock import Clock, SystemClock
from agateferry_standins.worker.behaviour import Behaviour, FaultInjector
from agateferry_standins.worker.heartbeat_sender import HeartbeatSender, Instructions
from agateferry_standins.worker.leases import LeaseTable
from agateferry_standins.worker.messages import WorkerCapacity
from agateferry_standins.worker.server import LeaseServer
from agateferry_standins.worker.start_log import StartLog

USAGE_LAG_MS = 1_500
SHUTDOWN_TIMEOUT_S = 0.1


@dataclass(frozen=True, slots=True)
class WorkerConfig:
    """The name, location and listening address of a worker.

    `entries` are the entry hosts, each `ip:port`, to which it sends heartbeats; it may be empty.
    """

    name: str
    zone: str
    rack: str
    entries: tuple[str, ...]
    host: str = "127.0.0.1"
    port: int = 0


@dataclass(frozen=True, slots=True)
class Usage:
    """The slots and accelerators in use at the time `at_ms`."""

    at_ms: int
    slots: int
    accelerators: int


class StandInWorker:
    """Serve leases over HTTP and send heartbeats to the entry hosts.

    For example `worker = StandInWorker(config, log); await worker.start()`.
    """

    def __init__(
        self,
        config: WorkerConfig,
        log: StartLog,
        capacity: WorkerCapacity | None = None,
        behaviour: Behaviour = Behaviour.SOUND,
        clock: Clock | None = None,
    ) -> None:
        self.config = config
        self.capacity = capacity or WorkerCapacity()
        self.incarnation = uuid.uuid4().hex[:8]
        self.address = ""
        self.peak_connections = 0
        self._clock = clock or SystemClock()
        self._log = log
        self.table = LeaseTable(self.capacity, self._clock, log)
        self._faults = FaultInjector(behaviour)
        self._server = LeaseServer(
            self.table, self.incarnation, self._faults, self._on_lease_change
        )
        self.heartbeat_sender = HeartbeatSender(config.name, list(config.entries), self)
        self._usage_history: deque[Usage] = deque()
        self._runner: web.AppRunner | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen, then send heartbeats until stopped."""
        app = self._server.app()
        app.middlewares.append(self._count_connections)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.config.host, self.config.port)
        await site.start()
        port = self._runner.addresses[0][1]
        self.address = f"{self.config.host}:{port}"
        self._server.set_behaviour(self._faults.behaviour)
        if self.config.entries:
            self._heartbeat_task = asyncio.create_task(self.heartbeat_sender.run())

    async def stop(self) -> None:
        """Close all connections and lose all leases, like a machine that loses power."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
            await asyncio.gather(self._heartbeat_task, return_exceptions=True)
        if self._timer is not None:
            self._timer.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def leave(self) -> None:
        """Refuse new leases from now on and report the state `leaving`; running tasks continue."""
        self.table.leaving = True
        self.heartbeat_sender.send_soon()

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """Start to show a fault, or stop with `Behaviour.SOUND`."""
        self._server.set_behaviour(behaviour)

    def heartbeat_body(self) -> dict[str, Any]:
        """Return the body of a heartbeat.

        It reports the usage of `USAGE_LAG_MS` ago, because the platform's usage data lags as much.
        """
        usage = self._delayed_usage()
        return {
            "schema": "v1",
            "incarnation": self.incarnation,
            "zone": self.config.zone,
            "rack": self.config.rack,
            "address": self.address,
            "accelerators": self.capacity.accelerators,
            "cpu_cores": self.capacity.cpu_cores,
            "memory_mb": self.capacity.memory_mb,
            "slots": self.capacity.slots,
            "connections": self.capacity.connections,
            "state": "leaving" if self.table.leaving else "serving",
            "usage": {
                "age_ms": self._clock.now_ms() - usage.at_ms,
                "slots_used": usage.slots,
                "accelerators_used": usage.accelerators,
            },
            "leases": [
                {
                    "lease": lease.request.lease,
                    "state": str(lease.state),
                    "progress": round(lease.progress(), 4),
                    "checkpoint_step": lease.checkpoint_step,
                }
                for lease in self.table.leases()
            ],
        }

    def apply_instructions(self, instructions: Instructions) -> None:
        """Stop and release the leases that an entry host named in its reply."""
        for lease_id in instructions.stop:
            self.table.stop(lease_id)
            self._server.wake_waiters(lease_id)
        for lease_id in instructions.release:
            self.table.release(lease_id)
        if instructions.stop:
            self._on_lease_change()

    def _on_lease_change(self) -> None:
        """Update the leases, wake the calls that wait for their ends, and set the timer anew.

        A heartbeat is sent soon if a lease ended for which no call waited.
        """
        unobserved = [
            lease
            for lease in self.table.advance()
            if not self._server.wake_waiters(lease.request.lease)
        ]
        if unobserved:
            self.heartbeat_sender.send_soon()
        self._record_usage()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_ms = self.table.next_due_ms()
        if due_ms is not None:
            delay_s = max(0, due_ms - self._clock.now_ms()) / 1000
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_lease_change)

    def _record_usage(self) -> None:
        usage = Usage(self._clock.now_ms(), self.table.slots_used(), self.table.accelerators_used())
        self._usage_history.append(usage)

    def _delayed_usage(self) -> Usage:
        """Return the usage of `USAGE_LAG_MS` ago; none in use if no usage is that old."""
        limit_ms = self._clock.now_ms() - USAGE_LAG_MS
        while len(self._usage_history) > 1 and self._usage_history[1].at_ms <= limit_ms:
            self._usage_history.popleft()
        if self._usage_history and self._usage_history[0].at_ms <= limit_ms:
            return Usage(
                limit_ms, self._usage_history[0].slots, self._usage_history[0].accelerators
            )
        return Usage(limit_ms, 0, 0)

    @web.middleware
    async def _count_connections(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        server = self._runner.server if self._runner is not None else None
        count = len(server.connections) if server is not None else 0
        self.peak_connections = max(self.peak_connections, count)
        if count > self.capacity.connections:
            self._log.record_violation("over-connections")
        return await handler(request)
