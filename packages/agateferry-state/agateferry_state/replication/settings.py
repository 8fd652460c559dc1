"""Settings of a replicated log."""

from dataclasses import dataclass

from agateferry_state.members import Member


@dataclass(frozen=True, slots=True)
class Settings:
    """Timeouts, size limits and initial hosts of one cell; times are in milliseconds.

    A follower withholds its vote for `election_timeout_min_ms` after it last heard from the leader.
    `lease_ms` must be shorter than that by more than two clocks can drift apart in the same time.
    """

    cell: str = ""
    first_hosts: tuple[Member, ...] = ()
    """The hosts that form a new cell; their incarnations are ignored."""
    heartbeat_ms: int = 300
    election_timeout_min_ms: int = 900
    election_timeout_max_ms: int = 1800
    election_retry_min_ms: int = 200
    election_retry_max_ms: int = 600
    """A candidate that was not elected retries after a random time between these two."""
    lease_ms: int = 800
    """How long the leader's lease lasts from the start of a round that a quorum answered."""
    max_batch_entries: int = 512
    max_batch_bytes: int = 512 * 1024
    max_batches_in_flight: int = 8
    """How many batches sent to one peer may be unacknowledged."""
    max_unapplied_entries: int = 50_000
    """With this many entries appended but not applied, the leader rejects proposals as busy."""
    snapshot_chunk_bytes: int = 256 * 1024
    snapshot_every_entries: int = 4096
    snapshot_every_bytes: int = 16 * 1024 * 1024
    """A snapshot is due once entries of this size were applied, however few they are.

    Entries differ in size by a factor of a thousand: a large manifest has some 0.5 MB.
    """
    trailing_entries: int = 1024
    trailing_bytes: int = 4 * 1024 * 1024
    """Entries kept before a snapshot's end, so that a follower just behind needs no snapshot."""

    may_bootstrap: bool = True
    """Whether empty first hosts may form a new cell; false where a cell was formed before."""
    replaces_hosts: bool = False
    """Whether the leader adds new hosts and replaces silent voters without an operator."""
    replace_after_ms: int = 4000
    """How long a voter must be silent before a caught-up learner replaces it."""

    @property
    def first_host_names(self) -> tuple[str, ...]:
        """Return the names of the hosts in `first_hosts`."""
        return tuple(m.id.host for m in self.first_hosts)
