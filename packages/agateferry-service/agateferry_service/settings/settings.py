"""The settings of one host of the system: itself, its peers, limits and timeouts.

`load_settings` returns a `Settings` only after it checked that the host is among its peers,
addresses are unique and timeouts fit together. Settings do not change while a daemon runs.
"""

from dataclasses import dataclass
from pathlib import Path

from agateferry_service.address import Address


@dataclass(frozen=True, slots=True)
class HostSettings:
    """The identity of this host; `data_folder` is None on a host without a disk."""

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
    """An entry host of the system, with the addresses of its ports as other hosts reach them."""

    name: str
    zone: str
    peers: Address
    callers: Address
    operators: Address
    disk: bool
    records_voter: bool


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on the size, number, duration and rate of what clients send."""

    max_body_bytes: int
    max_client_memory_mb: int
    max_payload_memory_mb: int
    max_connections_callers: int
    max_connections_operators: int
    max_connections_endpoints: int
    request_head_timeout_ms: int
    request_body_timeout_ms: int
    max_wait_ms: int
    max_announcements_per_s: int
    retry_budget_percent: int


@dataclass(frozen=True, slots=True)
class TimeoutSettings:
    """Timeouts and intervals, in milliseconds."""

    worker_heartbeat_ms: int
    worker_silence_ms: int
    reservation_ttl_ms: int
    rpc_ms: int
    endpoint_silence_ms: int
    retry_pause_ms: int
    drain_notice_ms: int
    drain_ms: int
    answer_keep_ms: int


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """The timings of the replicated logs and the interval of their snapshots."""

    heartbeat_ms: int
    election_timeout_ms: int
    snapshot_entries: int


@dataclass(frozen=True, slots=True)
class LogSettings:
    """The format of log lines, and the least severe level that is written."""

    level: str
    as_json: bool


@dataclass(frozen=True, slots=True)
class RecordingSettings:
    """The file for the trace of scheduler events; None turns recording off."""

    trace_file: Path | None


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one agateferryd.

    `warnings` names each old key that the file still uses, with the new key.
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
        """Return the hosts of this host's zone, including itself."""
        return tuple(peer for peer in self.peers if peer.zone == self.host.zone)

    def records_voters(self) -> tuple[PeerSettings, ...]:
        """Return the hosts that vote on operators' records."""
        return tuple(peer for peer in self.peers if peer.records_voter)

    def own_peer(self) -> PeerSettings:
        """Return this host's own entry in the list of peers."""
        return next(peer for peer in self.peers if peer.name == self.host.name)
