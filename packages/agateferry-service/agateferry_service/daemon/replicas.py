"""The replicas of one host: of its zone's cell and, on a records voter, of the records plane."""

import random
from collections.abc import Sequence

import grpc

from agateferry_core.clock import Clock
from agateferry_service.settings import PeerSettings, Settings
from agateferry_state.replica import StateMachine
from agateferry_state.replica.node import NodeConfig, NodeReplica, Peer
from agateferry_state.replica.transport import GrpcTransport
from agateferry_state.replication import Settings as ReplicationCoreSettings

RECORDS_GROUP = "records"
MAX_ELECTION_TIMEOUT_FACTOR = 2
LEASE_MARGIN_PERCENT = 10


class Replicas:
    """Create a host's replicas, which share one transport to their peers."""

    def __init__(self, settings: Settings, clock: Clock, rng: random.Random) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._transport = GrpcTransport({}, rng)

    def cell(self, machine: StateMachine) -> NodeReplica:
        """Return this host's replica of its zone's cell."""
        group = f"cell-{self._settings.host.zone}"
        return self._node(group, self._settings.zone_peers(), machine)

    def records(self, machine: StateMachine) -> NodeReplica:
        """Return this host's replica of the records plane."""
        return self._node(RECORDS_GROUP, self._settings.records_voters(), machine)

    def add_to(self, server: grpc.aio.Server) -> None:
        """Receive messages for the replicas on the address `listen.peers`, over TCP and UDP."""
        self._transport.add_to(server)
        self._transport.open_datagrams(str(self._settings.listen.peers))

    async def close(self) -> None:
        """Close the connections to peers."""
        await self._transport.close()

    def _node(
        self, group: str, hosts: Sequence[PeerSettings], machine: StateMachine
    ) -> NodeReplica:
        host = self._settings.host
        cfg = NodeConfig(
            group=group,
            name=host.name,
            peers=tuple(Peer(peer.name, str(peer.peers), peer.zone, peer.disk) for peer in hosts),
            folder=host.data_folder / group if host.data_folder else None,
            settings=core_settings(self._settings),
        )
        return NodeReplica(cfg, machine, self._transport, self._clock, self._rng)


def core_settings(settings: Settings) -> ReplicationCoreSettings:
    """Return the timings of the replicated logs.

    The leader's lease is LEASE_MARGIN_PERCENT shorter than the shortest election timeout, so that
    it expires before another host can be elected.
    """
    replication = settings.replication
    election_ms = replication.election_timeout_ms
    return ReplicationCoreSettings(
        heartbeat_ms=replication.heartbeat_ms,
        election_timeout_min_ms=election_ms,
        election_timeout_max_ms=election_ms * MAX_ELECTION_TIMEOUT_FACTOR,
        lease_ms=election_ms * (100 - LEASE_MARGIN_PERCENT) // 100,
        snapshot_every_entries=replication.snapshot_entries,
    )
