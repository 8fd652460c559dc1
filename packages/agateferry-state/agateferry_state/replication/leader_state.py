"""What a leader keeps: how far each peer is, its lease, and the reads that wait."""

from collections import deque
from dataclasses import dataclass, field

from agateferry_state.members import MemberId, Members
from agateferry_state.replication.lease import Lease
from agateferry_state.replication.messages import Snapshot


@dataclass(slots=True)
class Progress:
    """How far one peer is, as far as the leader knows.

    `in_flight` holds the first and last index of each batch that is not acknowledged. While
    `is_probing`, the place where the logs agree is not known and one batch is sent at a time.
    """

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    acked_ms: int | None = None
    is_probing: bool = True
    in_flight: deque[tuple[int, int]] = field(default_factory=deque)
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    is_chunk_in_flight: bool = False

    def acknowledge(self, match_index: int) -> None:
        """Note that the peer holds the log up to here durably."""
        self.is_probing = False
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0][1] <= self.match_index:
            self.in_flight.popleft()

    def retry_from(self, index: int) -> None:
        """Send again from an earlier place; what is known to be held is not sent again."""
        self.next_index = max(index, self.match_index + 1)
        self.in_flight.clear()


@dataclass(slots=True)
class PendingRead:
    """A read that waits for the lease, or for a quorum to confirm a round begun after it."""

    read_id: int
    round: int


@dataclass(slots=True)
class LeaderState:
    """Volatile state of a leader, for one term.

    `term_start_index` is the index of the first entry of the leader's own term. Until that entry is
    committed, no read is answered and no membership change is proposed. A round is one numbered set
    of sends to all peers (see `lease`); `is_round_requested` starts the next one at once.
    """

    lease: Lease
    term_start_index: int
    started_ms: int = 0
    peers: dict[MemberId, Progress] = field(default_factory=dict)
    pending_reads: list[PendingRead] = field(default_factory=list)
    heartbeat_due_ms: int = 0
    is_round_requested: bool = True
    transfer_target: MemberId | None = None
    transfer_deadline_ms: int = 0

    def update_peers(self, members: Members, me: MemberId, next_index: int) -> None:
        """Keep a `Progress` for each peer, and for no one else."""
        wanted = {m.id for m in members.all} - {me}
        for gone in self.peers.keys() - wanted:
            del self.peers[gone]
        for peer in sorted(wanted - self.peers.keys()):
            self.peers[peer] = Progress(next_index)

    def recently_acked(self, now_ms: int, within_ms: int) -> set[MemberId]:
        """Return the peers that answered within a span of time."""
        return {
            peer
            for peer, progress in self.peers.items()
            if progress.acked_ms is not None and now_ms - progress.acked_ms <= within_ms
        }
