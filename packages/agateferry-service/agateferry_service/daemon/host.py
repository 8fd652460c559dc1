"""The components of one daemon, and the order in which they start and stop."""

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
from agateferry_service.http import metrics as http_metrics
from agateferry_service.http.limits import PortLimits, constant_ms
from agateferry_service.http.memory import MemoryAccount
from agateferry_service.http.port import PortState
from agateferry_service.http.rejections import make_problem
from agateferry_service.http.server import HttpServer
from agateferry_service.operators.app import OperatorsApp
from agateferry_service.operators.evacuations import Evacuations
from agateferry_service.operators.host_status import HostStatusReader
from agateferry_service.operators.membership import Group, MembershipChanges
from agateferry_service.operators.records_reader import RecordsReader
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
from agateferry_service.settings import LimitSettings, Settings
from agateferry_state.replica import metrics as replica_metrics
from agateferry_state.replica.link import server_options

READY_POLL_INTERVAL_S = 0.05
REPLICA_CHECK_INTERVAL_S = 1.0
PEERS_STOP_GRACE_S = 1.0
HTTP_STOP_TIMEOUT_MS = 1_000
CALL_TIMEOUT_MS = 2_000
BYTES_PER_MIB = 1024 * 1024
MIN_BODIES_OF_CLIENTS = 8
"""One largest body takes four times its length while it is handled, and large ones have a share."""
MIN_PAYLOADS = 4
"""One largest payload has to fit into what large ones of one team may use."""


class Host:
    """One entry host: its replicas of its zone's cell and of the records plane, and its ports."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock: Clock = SystemClock()
        self.metrics = Metrics()
        self.rng = random.Random()
        self.log = EventLogger(host=settings.host.name, zone=settings.host.zone)
        self._ready = False
        self._stopping = False
        self._replica_failed = False
        self.peers_server: grpc.aio.Server | None = None

    async def start(self) -> None:
        """Start all components; raise OSError if a port or the data folder cannot be used."""
        self.log.info(events.STARTING)
        self._build_state()
        self._build_routing()
        self._build_ports()
        await self._start_peers_port()
        await self.cell.start()
        if self.plane is not None:
            await self.plane.replica.start()
        failures = self._replica_failures()
        if failures:
            raise OSError(failures)
        for server in self.http_servers:
            await server.start()
        self._background_tasks = [
            asyncio.create_task(self._wait_until_ready()),
            asyncio.create_task(self._monitor_replicas()),
        ]

    async def stop(self) -> None:
        """Stop gracefully: drain the callers' port, then transfer leadership and close the rest.

        The host first reports not ready for `timeouts.drain_notice_ms`, so that the load balancer
        sends callers elsewhere.
        """
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

    def _replica_failures(self) -> str:
        """Return why replicas of this host failed, or an empty string while all work."""
        replicas = [self.cell.ctx.replica, self.plane.replica if self.plane else None]
        failures = [replica.failure for replica in replicas if replica is not None]
        return "; ".join(failure.detail for failure in failures if failure is not None)

    async def _monitor_replicas(self) -> None:
        """Make the host not ready when one of its replicas fails, for example because of its disk.

        The load balancer then sends callers to other hosts. This host still routes the calls that
        it gets to the other hosts of the zone.
        """
        while not self._replica_failed:
            await asyncio.sleep(REPLICA_CHECK_INTERVAL_S)
            self._replica_failed = bool(self._replica_failures())
        self.log.error(events.REPLICA_FAILED, detail=self._replica_failures())

    async def abort(self) -> None:
        """Close what a failed start has opened, so that the process can end."""
        await self.workers.close()
        if self.peers_server is not None:
            await self.peers_server.stop(grace=None)

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this host."""
        return self._ready and not self._stopping and not self._replica_failed

    def _build_state(self) -> None:
        settings = self.settings
        self.replicas = Replicas(settings, self.clock, self.rng)
        replica_metrics.register(self.metrics.registry)
        http_metrics.register(self.metrics.registry)
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
        records = RecordsReader(self.zones, self.records_calls, self.cell.ctx.machine.records)
        evacuations = Evacuations(
            self.zones,
            self.cell_calls,
            self.records_calls,
            records,
            limits,
            self.metrics,
            self.clock,
            self.log,
        )
        operators = OperatorsApp(
            zone,
            self.zones,
            self.cell_calls,
            self.records_calls,
            records,
            hosts,
            MembershipChanges(settings, self.nodes, hosts, self.metrics),
            evacuations,
            limits,
            self.metrics,
            lambda: self.is_ready,
            lambda: refresh_gauges(self.metrics, self.cell.ctx.machine),
        )
        endpoints = EndpointsApp(
            zone, self.zones.router(zone), self.cell_calls, limits, self.metrics
        )
        listen = settings.listen
        memory = MemoryAccount(
            max(
                limits.max_client_memory_mb * BYTES_PER_MIB,
                MIN_BODIES_OF_CLIENTS * limits.max_body_bytes,
            )
        )

        def port(name: str, max_connections: int) -> PortState:
            return PortState(name, _port_limits(limits, max_connections), memory, make_problem)

        self.http_servers = [
            HttpServer(
                entry.app(), listen.callers, port("callers", limits.max_connections_callers)
            ),
            HttpServer(
                operators.app(),
                listen.operators,
                port("operators", limits.max_connections_operators),
            ),
            HttpServer(
                endpoints.app(),
                listen.endpoints,
                port("endpoints", limits.max_connections_endpoints),
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
            since, req, CALL_TIMEOUT_MS, req.wait_ms
        )
        return reply

    async def _wait_until_ready(self) -> None:
        """Make the host ready once the leader of its zone replies."""
        query = cell_pb2.QueryRequest(what="teams")
        router = self.zones.router(self.settings.host.zone)
        while not self._ready:
            reply = await router.call(self.cell_calls.query, query, CALL_TIMEOUT_MS)
            self._ready = not reply.HasField("refusal")
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        self.log.info(events.READY)

    async def _close(self) -> None:
        for task in self._background_tasks:
            task.cancel()
        await self.cell.stop()
        if self.plane is not None:
            await self.plane.replica.stop()
        for server in self.http_servers:
            if server.name != "callers":
                await server.stop(HTTP_STOP_TIMEOUT_MS)
        if self.peers_server is not None:
            await self.peers_server.stop(grace=PEERS_STOP_GRACE_S)
        await self.replicas.close()
        await self.channels.close()
        await self.workers.close()
        self.trace.close()


def _port_limits(limits: LimitSettings, max_connections: int) -> PortLimits:
    return PortLimits(
        max_connections,
        limits.max_body_bytes,
        limits.request_head_timeout_ms,
        constant_ms(limits.request_body_timeout_ms),
    )


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
        max_payload_bytes=max(
            settings.limits.max_payload_memory_mb * BYTES_PER_MIB,
            MIN_PAYLOADS * settings.limits.max_body_bytes,
        ),
    )
