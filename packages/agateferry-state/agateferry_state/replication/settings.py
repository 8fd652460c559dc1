"""Settings of a replicated log."""

from dataclasses import dataclass

from agateferry_state.members import Member


@dataclass(frozen=True, slots=True)
class Settings:
    """The times, sizes and hosts of one cell; times are in milliseconds.

    `lease_ms` must be shorter than `election_timeout_min_ms` by more than clocks can drift apart
    in that time: a follower keeps its vote back that long after it heard the leader.
    """

    cell: str = ""
    first_hosts: tuple[Member, ...] = ()
    """The hosts that form the cell at first; their incarnations are not looked at."""
    heartbeat_ms: int = 300
    election_timeout_min_ms: int = 900
    election_timeout_max_ms: int = 1800
    election_retry_min_ms: int = 200
    election_retry_max_ms: int = 600
    """A candidate that is not elected asks again after a time drawn between these."""
    lease_ms: int = 800
    max_batch_entries: int = 512
    max_batch_bytes: int = 512 * 1024
    max_batches_in_flight: int = 8
    max_unapplied_entries: int = 50_000
    snapshot_chunk_bytes: int = 256 * 1024
    snapshot_every_entries: int = 4096
    trailing_entries: int = 1024
    """Entries kept after a snapshot, so that a follower a little behind needs no snapshot."""

    may_bootstrap: bool = True
    """Whether empty first hosts may form a new cell; false where one was formed before."""
    replaces_hosts: bool = False
    """Whether hosts are let in and silent voters replaced without an operator."""
    replace_after_ms: int = 4000
    """How long a voter must be silent before a host that waits takes its place."""

    @property
    def first_host_names(self) -> tuple[str, ...]:
        """Return the names of the first hosts."""
        return tuple(m.id.host for m in self.first_hosts)
