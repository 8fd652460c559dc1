"""A host of the cell: its replica of the log, and the leader's work while it leads."""

import asyncio
import random
from dataclasses import replace

import grpc

from agateferry_core.clock import Clock
from agateferry_core.logs import EventLogger
from agateferry_core.tasks import observe_loop_delay, repeat
from agateferry_jobs import metrics
from agateferry_jobs.calls import LeaderClient, messages
from agateferry_jobs.calls.heartbeat_batches import HeartbeatBatches
from agateferry_jobs.calls.pings import PingResponder, ping_port
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.servicer import LeaderServicer
from agateferry_jobs.daemon import events
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.rpc import leader_pb2_grpc as rpc
from agateferry_jobs.settings import HostSettings
from agateferry_jobs.workers.session import PortFactory
from agateferry_state.replica.link import server_options
from agateferry_state.replica.node import NodeConfig, NodeReplica, Peer
from agateferry_state.replica.storage import has_stored_state
from agateferry_state.replica.transport import GrpcTransport
from agateferry_state.replication import Settings

REPLICATION_GROUP = "cell"
REPLICATION_SETTINGS = Settings(
    heartbeat_ms=100,
    election_timeout_min_ms=400,
    election_timeout_max_ms=750,
    election_retry_min_ms=100,
    election_retry_max_ms=300,
    lease_ms=340,
    replaces_hosts=True,
)
"""The timing of the replicated log; the shortest election timeout is four heartbeats.

Four suffice for the delay of some ms between zones and for a slow disk that blocks the event loop
for 0.2 s. Urgent jobs have a slack of about 1.5 s, which an election must not use up.
"""
MIN_REPLACE_AFTER_MS = 2 * REPLICATION_SETTINGS.election_timeout_max_ms
"""How long a host of the cell must be silent at least before a successor gets its vote.

A leader that is asked to elect anew, or a process that restarts, is silent for less.
"""
WORKER_LEASE_MS = 8_000
"""How long a worker keeps its runs without contact.

It is longer than a network partition of 6 s, so that runs survive one.
"""
MAX_WORKERS_AT_LEADER = 300
"""With more workers, each host takes the heartbeats of those that report to it."""
DISCOVERY_TIMEOUT_MS = 1_000
"""How long a host that joins a running cell tries its seeds to learn the current hosts."""
RECOVERY_INTERVAL_MS = 1_000
"""How often a host checks whether its replica has failed, and restarts it after that."""
LOOP_DELAY_INTERVAL_MS = 250
RPC_GRACE_S = 1.0
"""How long calls in flight may take after the host has transferred its leadership."""


def replace_after_ms(catch_up_ms: int | None) -> int:
    """Return how long a host must be silent before a successor that caught up gets its vote.

    Another host may be lost `catch_up_ms` after the successor was started, so it has to vote by
    then. Half of that time is for the silence; the other half is for an election before it and for
    the two changes of the members after it.
    """
    longest_ms = REPLICATION_SETTINGS.replace_after_ms
    if catch_up_ms is None:
        return longest_ms
    return min(longest_ms, max(MIN_REPLACE_AFTER_MS, catch_up_ms // 2))


class CellHost:
    """The replica, leader, gRPC server and client of one host of the cell."""

    def __init__(self, cfg: HostSettings, clock: Clock, make_port: PortFactory) -> None:
        self.cfg = cfg
        self.ledger = Ledger()
        self.client = LeaderClient(clock, cfg.internal_port)
        self.client.add_hosts(cfg.seeds)
        self._heartbeat_batches = HeartbeatBatches(self.client.call)
        self._clock = clock
        self._rng = random.Random()
        self._make_port = make_port
        self._log = EventLogger(node=cfg.node)
        self._transport = GrpcTransport({}, self._rng, clock=clock)
        self._ping_responder = PingResponder(self.answer_ping)
        self._server: grpc.aio.Server | None = None
        self._replica: NodeReplica | None = None
        self._leader: Leader | None = None
        self._recovery_task: asyncio.Task[None] | None = None
        self._loop_delay_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Join the cell, or form it if its settings allow that and it does not exist yet."""
        replica = self._create_replica_and_leader(
            await self._discover_hosts(), self.cfg.may_bootstrap
        )
        server = grpc.aio.server(options=server_options())
        self._transport.add_to(server)
        rpc.add_LeaderServicer_to_server(LeaderServicer(self.answer), server)
        server.add_insecure_port(self.cfg.internal_address)
        self._server = server
        await server.start()
        self._transport.open_datagrams(self.cfg.internal_address)
        await self._ping_responder.open(self.cfg.ip, ping_port(self.cfg.internal_port))
        await replica.start()
        log_failure = self._log.on_exception(events.TASK_FAILED)
        recovery = repeat(self._recover_replica, RECOVERY_INTERVAL_MS, log_failure)
        self._recovery_task = asyncio.create_task(recovery)
        delays = observe_loop_delay(metrics.LOOP_DELAY_SECONDS.observe, LOOP_DELAY_INTERVAL_MS)
        self._loop_delay_task = asyncio.create_task(delays)

    async def stop(self) -> None:
        """Transfer the leadership, then close the network and the disk."""
        for task in (self._recovery_task, self._loop_delay_task):
            if task is not None:
                task.cancel()
        if self._replica is not None:
            await self._replica.stop()
        if self._leader is not None:
            await self._leader.close()
        self._ping_responder.close()
        self._heartbeat_batches.close()
        if self._server is not None:
            await self._server.stop(RPC_GRACE_S)
        await self._transport.close()
        await self.client.close()

    async def answer(self, call: messages.Call) -> messages.ReplyEnvelope:
        """Answer a call if this host leads; the answer also names the voters of the cell."""
        if self._leader is None or self._replica is None:
            return messages.ReplyEnvelope(messages.NotLeader())
        return self._envelope(self._replica, await self._leader.handle(call))

    def answer_ping(self) -> messages.ReplyEnvelope:
        """Answer a ping: `Done` if this host leads, else the name of the leader if it is known."""
        replica = self._replica
        if replica is None:
            return messages.ReplyEnvelope(messages.NotLeader())
        reply = messages.Done() if replica.is_leader else messages.NotLeader(replica.leader)
        return self._envelope(replica, reply)

    def _envelope(self, replica: NodeReplica, reply: messages.Reply) -> messages.ReplyEnvelope:
        hosts = tuple(member.id.host for member in replica.members.voters)
        return messages.ReplyEnvelope(reply, hosts)

    async def call(self, call: messages.Call, timeout_ms: int) -> messages.Reply:
        """Answer a call here if this host leads, else forward it to the leader."""
        answer = await self.answer(call)
        if not isinstance(answer.reply, messages.NotLeader):
            return answer.reply
        self.client.add_hosts(answer.hosts)
        if isinstance(call, messages.Heartbeat) and self._has_many_workers:
            is_change = self.ledger.workers.get(call.worker.id) != call.worker
            return await self._heartbeat_batches.send(call, is_change)
        return await self.client.call(call, timeout_ms)

    @property
    def heartbeat_host(self) -> str | None:
        """Return the host to which a worker that reports here sends its later heartbeats.

        That is the leader, which needs no further call between hosts, as long as it can take the
        heartbeats of all workers.
        """
        return self.cfg.ip if self._has_many_workers else self.leader_host

    @property
    def _has_many_workers(self) -> bool:
        return len(self.ledger.workers) > MAX_WORKERS_AT_LEADER

    @property
    def leader_host(self) -> str | None:
        """Return the name of the leader, or None if this host knows none."""
        return self._replica.leader if self._replica is not None else None

    async def _discover_hosts(self) -> tuple[str, ...]:
        """Return the hosts to contact: the seeds, and the voters if this host joins a cell.

        A host that was in the cell before knows the members from its own log.
        """
        if self.cfg.may_bootstrap or has_stored_state(self.cfg.data_folder):
            return self.cfg.seeds
        await self.client.call(messages.Ping(), DISCOVERY_TIMEOUT_MS)
        return self.client.hosts

    def _create_replica_and_leader(
        self, hosts: tuple[str, ...], may_bootstrap: bool
    ) -> NodeReplica:
        """Create the replica and leader of this host with an empty ledger, which the log fills."""
        self.ledger = Ledger()
        replica = self._make_replica(hosts, may_bootstrap)
        self._replica = replica
        lease_ms = min(WORKER_LEASE_MS, self.cfg.bounds.max_lease_ms)
        self._leader = Leader(
            replica,
            self.ledger,
            self._clock,
            self._make_port,
            lease_ms,
            self.cfg.bounds.max_report_age_ms,
            self.cfg.bounds.max_start_ms,
            self.cfg.zones,
            self.cfg.bounds.max_lease_ms,
            self.cfg.bounds.start_budget,
            self.cfg.machine.memory_mb,
        )
        return replica

    async def _recover_replica(self) -> None:
        """Restart the replica if it failed, as a restart of the process would.

        A replica that failed to write, or met an error that nobody expected, takes no further part
        in the cell.
        """
        failure = self._replica.failure if self._replica is not None else None
        if failure is not None:
            self._log.warning(events.REPLICA_RESTARTING, detail=failure.detail)
            await self._restart_replica()

    async def _restart_replica(self) -> None:
        if self._leader is not None:
            await self._leader.close()
        if self._replica is not None:
            await self._replica.stop()
        replica = self._create_replica_and_leader(self.cfg.seeds, may_bootstrap=False)
        await replica.start()

    def _make_replica(self, hosts: tuple[str, ...], may_bootstrap: bool) -> NodeReplica:
        port = self.cfg.internal_port
        peers = tuple(Peer(host, f"{host}:{port}") for host in hosts)
        settings = replace(
            REPLICATION_SETTINGS,
            may_bootstrap=may_bootstrap,
            replace_after_ms=replace_after_ms(self.cfg.bounds.catch_up_ms),
        )
        cfg = NodeConfig(
            REPLICATION_GROUP,
            self.cfg.ip,
            peers,
            self.cfg.data_folder,
            settings,
            self.cfg.internal_address,
        )
        return NodeReplica(cfg, self.ledger, self._transport, self._clock, self._rng)
