"""A complete system on loopback, with each daemon as a process of its own.

The workers and the balancer run in this process.
"""

import asyncio
from collections.abc import Awaitable, Callable
from types import TracebackType

import aiohttp

from agateferry_standins.balancer import Backend, Balancer
from agateferry_standins.deployment.daemon import DAEMON_COMMAND, DaemonProcess
from agateferry_standins.deployment.operator_client import POLL_INTERVAL_S, OperatorClient
from agateferry_standins.deployment.plan import HostPlan, SystemPlan
from agateferry_standins.deployment.samples import Deployment
from agateferry_standins.worker import StandInWorker, StartLog, WorkerConfig

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
WORKERS_PER_ZONE = 8

Condition = Callable[[], Awaitable[bool]]


class StartError(Exception):
    """A daemon did not become ready; the message names it and has its last log lines."""


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
        command: tuple[str, ...] = DAEMON_COMMAND,
    ) -> None:
        self.plan = plan
        self.deployment = deployment
        self.daemons = {host.name: DaemonProcess(host, command) for host in plan.hosts}
        self.workers = [
            StandInWorker(_worker_config(zone, number, plan.hosts_in_zone(zone)), log)
            for zone in plan.zones()
            for number in range(workers_per_zone)
        ]
        self.balancer = Balancer([Backend(host.callers, host.operators) for host in plan.hosts])
        self._revision = 0
        self._session: aiohttp.ClientSession | None = None
        self._operator: OperatorClient | None = None

    @property
    def operator(self) -> OperatorClient:
        """Return the client of the operators' ports of this system."""
        assert self._operator is not None, "the system has not been started"
        return self._operator

    async def __aenter__(self) -> "System":
        """Start all parts, store the records and wait until callers can be served."""
        self._session = aiohttp.ClientSession()
        self._operator = OperatorClient(self._session, [host.operators for host in self.plan.hosts])
        try:
            await self._start()
        except BaseException:
            await self.kill()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, tb: TracebackType | None
    ) -> None:
        """Kill all parts that still run."""
        await self.kill()

    async def stop(self) -> dict[str, int | None]:
        """Stop all daemons gracefully and return their exit codes, None for a timeout."""
        codes = await asyncio.gather(
            *(daemon.terminate(STOP_TIMEOUT_S) for daemon in self.daemons.values())
        )
        return dict(zip(self.daemons, codes, strict=True))

    async def kill(self) -> None:
        """Kill daemons, workers and balancer at once."""
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons.values()))
        await self.balancer.stop()
        await asyncio.gather(*(worker.stop() for worker in self.workers))
        if self._session is not None:
            await self._session.close()

    async def wait_ready(self, names: list[str]) -> None:
        """Wait until the hosts of these names are ready to serve callers."""
        await asyncio.gather(*(self._wait_ready(self.daemons[name]) for name in names))

    async def leader(self, zone: str) -> str:
        """Wait until every running host of a zone names the same leader; return its name."""
        leaders: set[str] = set()

        async def agreed() -> bool:
            leaders.clear()
            for host in self.plan.hosts_in_zone(zone):
                if self.daemons[host.name].running:
                    _, body = await self.operator.call("GET", "/v1/cell", address=host.operators)
                    leaders.add(str(body.get("leader") or ""))
            return len(leaders) == 1 and "" not in leaders

        await wait_for(agreed, f"a leader of {zone}")
        return leaders.pop()

    async def _start(self) -> None:
        self.plan.write_settings()
        await asyncio.gather(*(daemon.start() for daemon in self.daemons.values()))
        await asyncio.gather(*(worker.start() for worker in self.workers))
        await self.wait_ready(list(self.daemons))
        for record in self.deployment.records:
            stored = await asyncio.wait_for(self.operator.put_record(record), READY_TIMEOUT_S)
            self._revision = max(self._revision, int(stored["revision"]))
        await wait_for(self._records_in_force, "the records to be in force on every host")
        await wait_for(self._workers_registered, "all workers to be registered in every zone")
        await self.balancer.start()

    async def _wait_ready(self, daemon: DaemonProcess) -> None:
        async def ready() -> bool:
            if not daemon.running:
                raise StartError(f"{daemon.plan.name} exited early:\n{daemon.log_tail()}")
            return await self.operator.is_ready(daemon.plan.operators)

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

    async def _workers_registered(self) -> bool:
        for zone in self.plan.zones():
            address = self.plan.hosts_in_zone(zone)[0].operators
            _, body = await self.operator.call("GET", "/v1/workers", address=address)
            expected = {worker.config.name for worker in self.workers if worker.config.zone == zone}
            if {worker["name"] for worker in body.get("workers", [])} != expected:
                return False
        return True


async def wait_for(condition: Condition, what: str, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Poll a condition until it is true; raise TimeoutError with `what` after `timeout_s`."""
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                if await condition():
                    return
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError as exc:
        raise TimeoutError(f"timed out after {timeout_s} s waiting for {what}") from exc


def _worker_config(zone: str, number: int, hosts: list[HostPlan]) -> WorkerConfig:
    """Return a worker's configuration; the workers of a zone differ in their first entry host."""
    offset = number % len(hosts) if hosts else 0
    entries = [host.endpoints for host in hosts[offset:] + hosts[:offset]]
    return WorkerConfig(f"{zone}-w{number + 1}", zone, f"{zone}-r1", tuple(entries))
