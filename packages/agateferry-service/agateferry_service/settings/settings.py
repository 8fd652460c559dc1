"""What one host of the system is told about itself and its peers.

A `Settings` value has been checked as a whole: its host is among its peers, addresses are unique
and timeouts fit each other. It is read by `load_settings` and never changes while a daemon runs.
"""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a TCP port, written `ip:port`, with an IPv6 number in brackets."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the address in the form that `ip:port` settings use."""
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Who this host is; `data_folder` is None on a host with no disk."""

    name: str
    zone: str
    data_folder: Path | None


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """The addresses that this host listens on, one for each kind of client."""

    callers: Address
    operators: Address
    endpoints: Address
    peers: Address


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """One entry host of the system, seen from outside."""

    name: str
    zone: str
    peers: Address
    callers: Address
    operators: Address
    disk: bool
    records_voter: bool


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds on what a client may take up."""

    max_body_bytes: int
    max_connections_callers: int
    max_connections_operators: int
    max_connections_endpoints: int
    request_head_timeout_ms: int
    request_body_timeout_ms: int
    max_wait_ms: int
    retry_budget_percent: int


@dataclass(frozen=True, slots=True)
class TimeoutSettings:
    """How long each thing may take, in milliseconds."""

    worker_heartbeat_ms: int
    worker_silence_ms: int
    worker_leaving_ms: int
    reservation_ttl_ms: int
    rpc_ms: int
    endpoint_silence_ms: int
    retry_pause_ms: int
    drain_notice_ms: int
    drain_ms: int
    answer_keep_ms: int


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """The pace of the replicated logs."""

    heartbeat_ms: int
    election_timeout_ms: int
    snapshot_entries: int


@dataclass(frozen=True, slots=True)
class LogSettings:
    """How log lines look and which are written."""

    level: str
    as_json: bool


@dataclass(frozen=True, slots=True)
class RecordingSettings:
    """Where scheduler events are recorded for replay; None turns recording off."""

    trace_file: Path | None


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one agateferryd.

    `warnings` names each old setting that the file still uses and the one that took its place.
    """

    host: HostSettings
    listen: ListenSettings
    peers: tuple[PeerSettings, ...]
    limits: LimitSettings
    timeouts: TimeoutSettings
    replication: ReplicationSettings
    log: LogSettings
    recording: RecordingSettings
    warnings: tuple[str, ...] = ()

    def zone_peers(self) -> tuple[PeerSettings, ...]:
        """Return the hosts of this host's own zone, itself among them."""
        return tuple(peer for peer in self.peers if peer.zone == self.host.zone)

    def records_voters(self) -> tuple[PeerSettings, ...]:
        """Return the hosts that vote on operators' records."""
        return tuple(peer for peer in self.peers if peer.records_voter)

    def own_peer(self) -> PeerSettings:
        """Return the entry of the peer list that stands for this host."""
        return next(peer for peer in self.peers if peer.name == self.host.name)
