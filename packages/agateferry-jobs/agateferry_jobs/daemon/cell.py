"""A host of the cell: its share of the replicated log, and the leader's work when it leads."""

import asyncio
import random
from dataclasses import replace

import grpc

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs.calls import LeaderClient, messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.servicer import LeaderServicer
from agateferry_jobs.daemon import events
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.rpc import leader_pb2_grpc as rpc
from agateferry_jobs.settings import HostSettings
from agateferry_jobs.workers.session import PortFactory
from agateferry_state.replica.link import server_options
from agateferry_state.replica.node import NodeConfig, NodeReplica, Peer
from agateferry_state.replica.protocols import ProposeErrorKind
from agateferry_state.replica.transport import GrpcTransport
from agateferry_state.replication import Settings

GROUP = "cell"
TIMES = Settings(
    heartbeat_ms=200,
    election_timeout_min_ms=600,
    election_timeout_max_ms=1100,
    election_retry_min_ms=150,
    election_retry_max_ms=400,
    lease_ms=520,
    replaces_hosts=True,
)
"""Zones are 0.5 ms apart and a slow disk holds the loop for 0.2 s: three heartbeats do."""
LEASE_MS = 8_000
"""How long a worker runs on unseen: longer than a cut of 6 s, so that its work outlives one."""
DISCOVERY_TRY_MS = 1_000
"""How long a host that joins a running cell asks one round of its seeds for the others."""
REVIVE_MS = 1_000
"""How often a host whose disk refused a write tries to take part again."""
RPC_GRACE_S = 1.0
"""How long calls in flight may take once the host has handed its leadership on."""


class CellHost:
    """Start and stop the parts of a host of the cell."""

    def __init__(self, cfg: HostSettings, clock: Clock, make_port: PortFactory) -> None:
        self.cfg = cfg
        self.ledger = Ledger()
        self.client = LeaderClient(clock, cfg.internal_port)
        self.client.add_hosts(cfg.seeds)
        self._clock = clock
        self._rng = random.Random()
        self._make_port = make_port
        self._log = EventLogger(node=cfg.node)
        self._transport = GrpcTransport({}, self._rng, clock=clock)
        self._server: grpc.aio.Server | None = None
        self._replica: NodeReplica | None = None
        self._leader: Leader | None = None
        self._reviver: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Join the cell, or form it where this is the first start of all."""
        replica = self._join(await self._find_hosts(), self.cfg.may_bootstrap)
        server = grpc.aio.server(options=server_options())
        self._transport.add_to(server)
        rpc.add_LeaderServicer_to_server(LeaderServicer(self.answer), server)
        server.add_insecure_port(self.cfg.internal_address)
        self._server = server
        await server.start()
        self._transport.open_datagrams(self.cfg.internal_address)
        await replica.start()
        self._reviver = asyncio.create_task(self._revive_for_ever())

    async def stop(self) -> None:
        """Hand leadership on and give up the network and the disk."""
        if self._reviver is not None:
            self._reviver.cancel()
        if self._replica is not None:
            await self._replica.stop()
        if self._leader is not None:
            await self._leader.close()
        if self._server is not None:
            await self._server.stop(RPC_GRACE_S)
        await self._transport.close()
        await self.client.close()

    async def answer(self, call: messages.Call) -> messages.ReplyEnvelope:
        """Answer a question of another host."""
        if self._leader is None or self._replica is None:
            return messages.ReplyEnvelope(messages.NotLeader())
        reply = await self._leader.handle(call)
        hosts = tuple(member.id.host for member in self._replica.members.voters)
        return messages.ReplyEnvelope(reply, hosts)

    async def call(self, call: messages.Call, timeout_ms: int) -> messages.Reply:
        """Answer here where this host leads, else ask the host that does."""
        answer = await self.answer(call)
        if not isinstance(answer.reply, messages.NotLeader):
            return answer.reply
        self.client.add_hosts(answer.hosts)
        return await self.client.call(call, timeout_ms)

    @property
    def leader_host(self) -> str | None:
        """Return the host that leads, as far as this one knows."""
        return self._replica.leader if self._replica is not None else None

    async def _find_hosts(self) -> tuple[str, ...]:
        """Return the hosts to greet: the seeds, and for a late comer those that they know."""
        if self.cfg.may_bootstrap:
            return self.cfg.seeds
        await self.client.call(messages.Ping(), DISCOVERY_TRY_MS)
        return self.client.hosts

    def _join(self, hosts: tuple[str, ...], may_bootstrap: bool) -> NodeReplica:
        """Make this host's part of the cell, with an empty ledger that the log fills."""
        self.ledger = Ledger()
        replica = self._make_replica(hosts, may_bootstrap)
        self._replica = replica
        lease_ms = min(LEASE_MS, self.cfg.bounds.max_lease_ms)
        self._leader = Leader(replica, self.ledger, self._clock, self._make_port, lease_ms)
        return replica

    async def _revive_for_ever(self) -> None:
        """Take part again after the disk refused a write, as if this process had started anew."""
        while True:
            await asyncio.sleep(REVIVE_MS / MS_PER_S)
            failure = self._replica.failure if self._replica is not None else None
            if failure is not None and failure.kind is ProposeErrorKind.STORAGE_FAILED:
                self._log.warning(events.REVIVING, detail=failure.detail)
                await self._revive()

    async def _revive(self) -> None:
        if self._leader is not None:
            await self._leader.close()
        if self._replica is not None:
            await self._replica.stop()
        replica = self._join(self.cfg.seeds, may_bootstrap=False)
        await replica.start()

    def _make_replica(self, hosts: tuple[str, ...], may_bootstrap: bool) -> NodeReplica:
        port = self.cfg.internal_port
        peers = tuple(Peer(host, f"{host}:{port}") for host in hosts)
        settings = replace(TIMES, may_bootstrap=may_bootstrap)
        cfg = NodeConfig(
            GROUP, self.cfg.ip, peers, self.cfg.folder, settings, self.cfg.internal_address
        )
        return NodeReplica(cfg, self.ledger, self._transport, self._clock, self._rng)
