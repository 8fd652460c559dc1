"""The replicas that one host holds: its zone's cell and perhaps the records plane."""

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
ELECTION_SPREAD = 2
LEASE_MARGIN_PERCENT = 10


class Replicas:
    """Make a host's replicas and carry what they say to their peers."""

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
        """Serve the replicas' peers on the host's peers' port, by TCP and UDP."""
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
    """Return the pace of the replicated logs; a lease ends well before an election can begin."""
    pace = settings.replication
    election_ms = pace.election_timeout_ms
    return ReplicationCoreSettings(
        heartbeat_ms=pace.heartbeat_ms,
        election_timeout_min_ms=election_ms,
        election_timeout_max_ms=election_ms * ELECTION_SPREAD,
        lease_ms=election_ms * (100 - LEASE_MARGIN_PERCENT) // 100,
        snapshot_every_entries=pace.snapshot_entries,
    )
