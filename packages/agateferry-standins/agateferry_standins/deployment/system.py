"""A whole system on loopback: daemons as processes, workers and balancer in this process."""

import asyncio
from collections.abc import Awaitable, Callable
from types import TracebackType

import aiohttp

from agateferry_standins.balancer import Backend, Balancer
from agateferry_standins.deployment.daemon import COMMAND, DaemonProcess
from agateferry_standins.deployment.operators import POLL_S, Operator
from agateferry_standins.deployment.plan import HostPlan, SystemPlan
from agateferry_standins.deployment.samples import Deployment
from agateferry_standins.worker import StandInWorker, StartLog, WorkerConfig

READY_S = 30.0
STOP_S = 20.0
WORKERS_PER_ZONE = 8

Condition = Callable[[], Awaitable[bool]]


class StartError(Exception):
    """A system did not come up; the text says which part and shows its last log lines."""


class System:
    """Run the daemons of a plan with a deployment's workers and records.

    For example `async with System(plan, LAGERTELLER, StartLog()) as system:` gives a system that
    is ready for callers at `system.balancer.address`.
    """

    def __init__(
        self,
        plan: SystemPlan,
        deployment: Deployment,
        log: StartLog,
        workers_per_zone: int = WORKERS_PER_ZONE,
        command: tuple[str, ...] = COMMAND,
    ) -> None:
        self.plan = plan
        self.deployment = deployment
        self.daemons = {host.name: DaemonProcess(host, command) for host in plan.hosts}
        self.workers = [
            StandInWorker(_place(zone, number, plan.of_zone(zone)), log)
            for zone in plan.zones()
            for number in range(workers_per_zone)
        ]
        self.balancer = Balancer([Backend(h.callers, h.operators) for h in plan.hosts])
        self._revision = 0
        self._session: aiohttp.ClientSession | None = None
        self._operator: Operator | None = None

    @property
    def operator(self) -> Operator:
        """Return an operator of this system."""
        assert self._operator is not None, "the system has not been started"
        return self._operator

    async def __aenter__(self) -> "System":
        """Start everything and wait until callers can be served."""
        self._session = aiohttp.ClientSession()
        self._operator = Operator(self._session, [host.operators for host in self.plan.hosts])
        try:
            await self._start()
        except BaseException:
            await self.kill()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, tb: TracebackType | None
    ) -> None:
        """End everything that still runs."""
        await self.kill()

    async def stop(self) -> dict[str, int | None]:
        """Ask all daemons for a planned stop and return their exit codes."""
        codes = await asyncio.gather(*(d.terminate(STOP_S) for d in self.daemons.values()))
        return dict(zip(self.daemons, codes, strict=True))

    async def kill(self) -> None:
        """End daemons, workers and balancer at once."""
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons.values()))
        await self.balancer.stop()
        await asyncio.gather(*(worker.stop() for worker in self.workers))
        if self._session is not None:
            await self._session.close()

    async def wait_ready(self, names: list[str]) -> None:
        """Wait until these hosts are ready for callers."""
        await asyncio.gather(*(self._wait_ready(self.daemons[name]) for name in names))

    async def leader(self, zone: str) -> str:
        """Wait until every running host of a zone names the same leader; return its name."""
        found: set[str] = set()

        async def agreed() -> bool:
            found.clear()
            for host in self.plan.of_zone(zone):
                if self.daemons[host.name].running:
                    _, body = await self.operator.call("GET", "/v1/cell", address=host.operators)
                    found.add(str(body.get("leader") or ""))
            return len(found) == 1 and "" not in found

        await wait_for(agreed, f"a leader of {zone}")
        return found.pop()

    async def _start(self) -> None:
        self.plan.write()
        await asyncio.gather(*(daemon.start() for daemon in self.daemons.values()))
        await asyncio.gather(*(worker.start() for worker in self.workers))
        await self.wait_ready(list(self.daemons))
        for record in self.deployment.records:
            stored = await asyncio.wait_for(self.operator.put(record), READY_S)
            self._revision = max(self._revision, int(stored["revision"]))
        await wait_for(self._records_in_force, "the records to be in force on every host")
        await wait_for(self._workers_seen, "all workers to be seen in every zone")
        await self.balancer.start()

    async def _wait_ready(self, daemon: DaemonProcess) -> None:
        async def ready() -> bool:
            if not daemon.running:
                raise StartError(f"{daemon.plan.name} ended early:\n{daemon.log_tail()}")
            return await self.operator.ready(daemon.plan.operators)

        try:
            await wait_for(ready, f"{daemon.plan.name} to be ready")
        except TimeoutError as exc:
            raise StartError(f"{exc}; its last log lines:\n{daemon.log_tail()}") from exc

    async def _records_in_force(self) -> bool:
        status, body = await self.operator.call("GET", "/v1/records-status")
        hosts = body.get("hosts", [])
        return (
            status == 200
            and len(hosts) == len(self.plan.hosts)
            and all((host["revision"] or 0) >= self._revision for host in hosts)
        )

    async def _workers_seen(self) -> bool:
        for zone in self.plan.zones():
            address = self.plan.of_zone(zone)[0].operators
            _, body = await self.operator.call("GET", "/v1/workers", address=address)
            wanted = {worker.config.name for worker in self.workers if worker.config.zone == zone}
            if {worker["name"] for worker in body.get("workers", [])} != wanted:
                return False
        return True


async def wait_for(holds: Condition, what: str, timeout_s: float = READY_S) -> None:
    """Poll a condition until it holds; raise TimeoutError naming `what` after `timeout_s`."""
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                if await holds():
                    return
                await asyncio.sleep(POLL_S)
    except TimeoutError as exc:
        raise TimeoutError(f"waited {timeout_s} s in vain for {what}") from exc


def _place(zone: str, number: int, hosts: list[HostPlan]) -> WorkerConfig:
    """Return the place of a worker; each starts with another entry host of its zone."""
    turn = number % len(hosts) if hosts else 0
    entries = [host.endpoints for host in hosts[turn:] + hosts[:turn]]
    return WorkerConfig(f"{zone}-w{number + 1}", zone, f"{zone}-r1", tuple(entries))
