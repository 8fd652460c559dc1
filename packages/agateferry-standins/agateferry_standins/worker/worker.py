"""A stand-in worker as a whole: lease table, HTTP server, timer and announcements."""

import asyncio
import uuid
from collections import deque
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from aiohttp.typedefs import Handler

from agateferry_core.clock import Clock, SystemClock
from agateferry_standins.worker.announcer import Announcer, Instructions
from agateferry_standins.worker.behaviour import Behaviour, Faults
from agateferry_standins.worker.leases import LeaseTable
from agateferry_standins.worker.messages import WorkerSize
from agateferry_standins.worker.server import LeaseServer
from agateferry_standins.worker.start_log import StartLog

USAGE_LAG_MS = 1_500
SHUTDOWN_S = 0.1


@dataclass(frozen=True, slots=True)
class WorkerPlace:
    """Where a worker stands and whom it announces itself to."""

    name: str
    zone: str
    rack: str
    entries: tuple[str, ...]
    host: str = "127.0.0.1"
    port: int = 0


@dataclass(frozen=True, slots=True)
class Usage:
    """What was in use at one time."""

    at_ms: int
    slots: int
    accelerators: int


class StandInWorker:
    """Run leases over HTTP on loopback and announce itself.

    For example `worker = StandInWorker(place, log); await worker.start()`.
    """

    def __init__(
        self,
        place: WorkerPlace,
        log: StartLog,
        size: WorkerSize | None = None,
        behaviour: Behaviour = Behaviour.SOUND,
        clock: Clock | None = None,
    ) -> None:
        self.place = place
        self.size = size or WorkerSize()
        self.incarnation = uuid.uuid4().hex[:8]
        self.address = ""
        self.peak_connections = 0
        self._clock = clock or SystemClock()
        self._log = log
        self.table = LeaseTable(self.size, self._clock, log)
        self._faults = Faults(behaviour)
        self._server = LeaseServer(self.table, self.incarnation, self._faults, self._changed)
        self.announcer = Announcer(place.name, list(place.entries), self)
        self._usage: deque[Usage] = deque()
        self._runner: web.AppRunner | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._announcing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, then announce until stopped."""
        app = self._server.app()
        app.middlewares.append(self._count_connections)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_S)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.place.host, self.place.port)
        await site.start()
        port = self._runner.addresses[0][1]
        self.address = f"{self.place.host}:{port}"
        self._server.behave(self._faults.behaviour)
        if self.place.entries:
            self._announcing = asyncio.create_task(self.announcer.run())

    async def stop(self) -> None:
        """Close all connections and forget everything, as a machine that loses power."""
        if self._announcing is not None:
            self._announcing.cancel()
            await asyncio.gather(self._announcing, return_exceptions=True)
        if self._timer is not None:
            self._timer.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def leave(self) -> None:
        """Say that this worker takes nothing new; what it runs goes on."""
        self.table.leaving = True
        self.announcer.at_once()

    def behave(self, behaviour: Behaviour) -> None:
        """Put a fault in force, or end it with `Behaviour.SOUND`."""
        self._server.behave(behaviour)

    def announcement(self) -> dict[str, Any]:
        """Return the body of an announcement; its usage is as old as the platform's would be."""
        usage = self._old_usage()
        return {
            "schema": "v1",
            "incarnation": self.incarnation,
            "zone": self.place.zone,
            "rack": self.place.rack,
            "address": self.address,
            "accelerators": self.size.accelerators,
            "cpu_cores": self.size.cpu_cores,
            "memory_mb": self.size.memory_mb,
            "slots": self.size.slots,
            "connections": self.size.connections,
            "state": "leaving" if self.table.leaving else "serving",
            "usage": {
                "age_ms": self._clock.now_ms() - usage.at_ms,
                "slots_used": usage.slots,
                "accelerators_used": usage.accelerators,
            },
            "leases": [
                {
                    "lease": lease.asked.lease,
                    "state": str(lease.state),
                    "progress": round(lease.progress(), 4),
                    "checkpoint_step": lease.checkpoint_step,
                }
                for lease in self.table.leases()
            ],
        }

    def obey(self, instructions: Instructions) -> None:
        """Stop and release the leases that an entry host named."""
        for lease_id in instructions.stop:
            self.table.stop(lease_id)
            self._server.wake(lease_id)
        for lease_id in instructions.release:
            self.table.release(lease_id)
        if instructions.stop:
            self._changed()

    def _changed(self) -> None:
        """Wake the calls that wait for a lease that ended, and set the timer for the next."""
        unheard = [
            lease for lease in self.table.advance() if not self._server.wake(lease.asked.lease)
        ]
        if unheard:
            self.announcer.at_once()
        self._note_usage()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_ms = self.table.next_due_ms()
        if due_ms is not None:
            delay_s = max(0, due_ms - self._clock.now_ms()) / 1000
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._changed)

    def _note_usage(self) -> None:
        usage = Usage(self._clock.now_ms(), self.table.slots_used(), self.table.accelerators_used())
        self._usage.append(usage)

    def _old_usage(self) -> Usage:
        """Return the newest usage that is at least `USAGE_LAG_MS` old."""
        limit_ms = self._clock.now_ms() - USAGE_LAG_MS
        while len(self._usage) > 1 and self._usage[1].at_ms <= limit_ms:
            self._usage.popleft()
        if self._usage and self._usage[0].at_ms <= limit_ms:
            return Usage(limit_ms, self._usage[0].slots, self._usage[0].accelerators)
        return Usage(limit_ms, 0, 0)

    @web.middleware
    async def _count_connections(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        server = self._runner.server if self._runner is not None else None
        count = len(server.connections) if server is not None else 0
        self.peak_connections = max(self.peak_connections, count)
        if count > self.size.connections:
            self._log.violated("over-connections")
        return await handler(request)
