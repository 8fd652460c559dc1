"""The parts of one daemon, in the order in which they start and stop."""

import asyncio
import random

import grpc

from agateferry_core.clock import Clock, SystemClock
from agateferry_core.logs import EventLogger
from agateferry_core.metrics import Metrics
from agateferry_scheduling.scheduler.scheduler import FairScheduler
from agateferry_service.cell.cell import Cell
from agateferry_service.cell.context import CellContext, CellTimes
from agateferry_service.cell.gauges import refresh_gauges
from agateferry_service.cell.machine import CellMachine
from agateferry_service.cell.proposer import Proposer
from agateferry_service.cell.servicer import CellServicer
from agateferry_service.cell.waiters import Waiters
from agateferry_service.daemon import events
from agateferry_service.daemon.replicas import Replicas
from agateferry_service.daemon.trace import TraceFile
from agateferry_service.dispatch.attempt import AttemptTimes
from agateferry_service.dispatch.client import WAIT_GRACE_MS, WorkerClient
from agateferry_service.endpoints.app import EndpointsApp
from agateferry_service.entry.app import CallersApp
from agateferry_service.http.server import HttpServer
from agateferry_service.operators.app import OperatorsApp
from agateferry_service.operators.host_status import HostStatusReader
from agateferry_service.operators.membership import Group, MembershipChanges
from agateferry_service.records.follower import RecordsFollower
from agateferry_service.records.plane import NotifyingRecordsMachine, RecordsPlane
from agateferry_service.records.servicer import RecordsServicer
from agateferry_service.routing import Channels
from agateferry_service.routing.calls import CellCalls, RecordsCalls
from agateferry_service.routing.router import RpcMethod
from agateferry_service.routing.zone_routers import ZoneRouters
from agateferry_service.rpc import cell_pb2
from agateferry_service.rpc.cell_pb2_grpc import (
    add_CellServicer_to_server,
    add_RecordsServicer_to_server,
)
from agateferry_service.settings import Settings
from agateferry_state.replica import metrics as replica_metrics
from agateferry_state.replica.link import server_options

READY_POLL_S = 0.05
STATE_WATCH_S = 1.0
PEERS_GRACE_S = 1.0
CLOSE_MS = 1_000
FETCH_PATIENCE_MS = 2_000


class Host:
    """One entry host: its share in the cell and the records plane, and its ports."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock: Clock = SystemClock()
        self.metrics = Metrics()
        self.rng = random.Random()
        self.log = EventLogger(host=settings.host.name, zone=settings.host.zone)
        self._ready = False
        self._stopping = False
        self._state_failed = False
        self.peers_server: grpc.aio.Server | None = None

    async def start(self) -> None:
        """Start every part; raise OSError when a port or the data folder cannot be had."""
        self.log.info(events.STARTING)
        self._build_state()
        self._build_routing()
        self._build_ports()
        await self._start_peers_port()
        await self.cell.start()
        if self.plane is not None:
            await self.plane.replica.start()
        failed = self._failed_state()
        if failed:
            raise OSError(failed)
        for server in self.http_servers:
            await server.start()
        self._background = [
            asyncio.create_task(self._become_ready()),
            asyncio.create_task(self._watch_state()),
        ]

    async def stop(self) -> None:
        """Stop gracefully: turn callers away, finish what is held, hand leadership on."""
        if self._stopping:
            return
        self._stopping = True
        self.log.info(events.STOPPING)
        self._ready = False
        await asyncio.sleep(self.settings.timeouts.drain_notice_ms / 1000)
        for server in self.http_servers:
            if server.name == "callers":
                await server.stop(self.settings.timeouts.drain_ms)
        await self._close()
        self.log.info(events.STOPPED)

    def _failed_state(self) -> str:
        """Return why a replica of this host takes no part, or an empty text."""
        replicas = [self.cell.ctx.replica, self.plane.replica if self.plane else None]
        failures = [replica.failure for replica in replicas if replica is not None]
        return "; ".join(failure.detail for failure in failures if failure is not None)

    async def _watch_state(self) -> None:
        """Leave the balancer's round when a disk fails; calls go on to the other hosts."""
        while not self._state_failed:
            await asyncio.sleep(STATE_WATCH_S)
            self._state_failed = bool(self._failed_state())
        self.log.error(events.STATE_FAILED, detail=self._failed_state())

    async def abort(self) -> None:
        """Give up after a failed start, so that the process can end."""
        await self.workers.close()
        if self.peers_server is not None:
            await self.peers_server.stop(grace=None)

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return self._ready and not self._stopping and not self._state_failed

    def _build_state(self) -> None:
        settings = self.settings
        self.replicas = Replicas(settings, self.clock, self.rng)
        replica_metrics.register(self.metrics.registry)
        machine = CellMachine(settings.host.zone)
        replica = self.replicas.cell(machine)
        self.nodes = {Group.CELL: replica}
        self.workers = WorkerClient(self.metrics)
        self.records_machine = NotifyingRecordsMachine()
        self.plane: RecordsPlane | None = None
        if settings.own_peer().records_voter:
            plane_replica = self.replicas.records(self.records_machine)
            self.nodes[Group.RECORDS] = plane_replica
            self.plane = RecordsPlane(
                settings.host.name, self.records_machine, plane_replica, self.metrics
            )
        ctx = CellContext(
            host=settings.host.name,
            machine=machine,
            replica=replica,
            proposer=Proposer(replica, self.metrics),
            workers=self.workers,
            clock=self.clock,
            rng=self.rng,
            metrics=self.metrics,
            log=self.log,
            waiters=Waiters(),
            times=_cell_times(settings),
        )
        self.trace = TraceFile(settings.recording.trace_file)
        self.cell = Cell(ctx, FairScheduler, self.trace.record)

    def _build_routing(self) -> None:
        self.channels = Channels()
        self.zones = ZoneRouters(self.settings, self.channels, self.clock, self.metrics, self.rng)
        self.cell_calls = CellCalls(self.cell)
        self.records_calls = RecordsCalls(self.plane)
        ctx = self.cell.ctx
        follower = RecordsFollower(ctx.machine, ctx.proposer, self._fetch_records, self.log)
        self.cell.leader.background_tasks.append(follower.follow)

    def _build_ports(self) -> None:
        settings, limits = self.settings, self.settings.limits
        zone = settings.host.zone
        entry = CallersApp(
            zone,
            self.zones,
            self.cell.ctx.catalog,
            self.cell_calls,
            limits,
            self.metrics,
            lambda: self._stopping,
        )
        hosts = HostStatusReader(settings, self.cell, self.plane)
        operators = OperatorsApp(
            zone,
            self.zones,
            self.cell_calls,
            self.records_calls,
            self.cell.ctx.machine.records,
            hosts,
            MembershipChanges(settings, self.nodes, hosts, self.metrics),
            limits,
            self.metrics,
            lambda: self.is_ready,
            lambda: refresh_gauges(self.metrics, self.cell.ctx.machine),
        )
        endpoints = EndpointsApp(
            zone, self.zones.router(zone), self.cell_calls, limits, self.metrics
        )
        listen, head_ms = settings.listen, limits.request_head_timeout_ms
        self.http_servers = [
            HttpServer(
                "callers", entry.app(), listen.callers, limits.max_connections_callers, head_ms
            ),
            HttpServer(
                "operators",
                operators.app(),
                listen.operators,
                limits.max_connections_operators,
                head_ms,
            ),
            HttpServer(
                "endpoints",
                endpoints.app(),
                listen.endpoints,
                limits.max_connections_endpoints,
                head_ms,
            ),
        ]

    async def _start_peers_port(self) -> None:
        server = grpc.aio.server(options=server_options())
        self.peers_server = server
        add_CellServicer_to_server(CellServicer(self.cell), server)
        if self.plane is not None:
            add_RecordsServicer_to_server(RecordsServicer(self.plane), server)
        self.replicas.add_to(server)
        address = str(self.settings.listen.peers)
        try:
            server.add_insecure_port(address)
        except RuntimeError as exc:
            raise OSError(f"the peers' port {address} cannot be bound") from exc
        await server.start()

    async def _fetch_records(self, req: cell_pb2.RecordsRequest) -> cell_pb2.RecordsReply:
        since: RpcMethod = self.records_calls.since
        reply: cell_pb2.RecordsReply = await self.zones.records.call(
            since, req, FETCH_PATIENCE_MS, req.wait_ms
        )
        return reply

    async def _become_ready(self) -> None:
        """Become ready once the zone has a leader that answers."""
        query = cell_pb2.QueryRequest(what="teams")
        router = self.zones.router(self.settings.host.zone)
        while not self._ready:
            reply = await router.call(self.cell_calls.query, query, FETCH_PATIENCE_MS)
            self._ready = not reply.HasField("refusal")
            await asyncio.sleep(READY_POLL_S)
        self.log.info(events.READY)

    async def _close(self) -> None:
        for task in self._background:
            task.cancel()
        await self.cell.stop()
        if self.plane is not None:
            await self.plane.replica.stop()
        for server in self.http_servers:
            if server.name != "callers":
                await server.stop(CLOSE_MS)
        if self.peers_server is not None:
            await self.peers_server.stop(grace=PEERS_GRACE_S)
        await self.replicas.close()
        await self.channels.close()
        await self.workers.close()
        self.trace.close()


def _cell_times(settings: Settings) -> CellTimes:
    timeouts = settings.timeouts
    return CellTimes(
        worker_heartbeat_ms=timeouts.worker_heartbeat_ms,
        worker_silence_ms=timeouts.worker_silence_ms,
        max_announcements_per_s=settings.limits.max_announcements_per_s,
        requeue_ms=timeouts.retry_pause_ms,
        retry_budget_percent=settings.limits.retry_budget_percent,
        attempt=AttemptTimes(
            start_wait_ms=max(0, timeouts.endpoint_silence_ms - WAIT_GRACE_MS),
            backoff_ms=timeouts.retry_pause_ms,
            reservation_ttl_ms=timeouts.reservation_ttl_ms,
        ),
        answer_keep_ms=timeouts.answer_keep_ms,
    )
