"""State that only a leader keeps: the progress of each peer, its lease and pending reads."""

from collections import deque
from dataclasses import dataclass, field

from agateferry_state.members import MemberId, Members
from agateferry_state.replication.lease import Lease
from agateferry_state.replication.messages import Snapshot


@dataclass(slots=True)
class Progress:
    """Replication progress of one peer, as far as the leader knows.

    `match_index` is the last index that the peer holds durably, and `next_index` the next one to
    send. `in_flight` has the first and last index of each unacknowledged batch. While `is_probing`,
    the leader does not know up to where the logs agree and sends one batch at a time. During a
    snapshot transfer, `snapshot` is the one being sent and `snapshot_offset` the next byte.
    `is_stopping` is what the peer's last acknowledgement said of it.
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
    is_stopping: bool = False

    def acknowledge(self, match_index: int) -> None:
        """Record that the peer holds the log up to `match_index` durably."""
        self.is_probing = False
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0][1] <= self.match_index:
            self.in_flight.popleft()

    def retry_from(self, index: int) -> None:
        """Resend from an earlier index, but nothing that the peer is known to hold."""
        self.next_index = max(index, self.match_index + 1)
        self.in_flight.clear()


@dataclass(slots=True)
class PendingRead:
    """A read that waits for a valid lease, or for a quorum to confirm `round`, begun after it."""

    read_id: int
    round: int


@dataclass(slots=True)
class LeaderState:
    """Volatile state of a leader, for one term.

    `term_start_index` is the index of the first entry of the leader's own term. Until that entry is
    committed, no read is answered and no voter is added or removed. `started_ms` is when this
    member became leader. A round is one numbered set of sends to all peers (see `lease`);
    `is_round_requested` starts the next one at the end of the step.
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
        """Keep a `Progress` for exactly the voters and learners other than this member."""
        wanted = {m.id for m in members.all} - {me}
        for removed in self.peers.keys() - wanted:
            del self.peers[removed]
        for peer in sorted(wanted - self.peers.keys()):
            self.peers[peer] = Progress(next_index)

    def recently_acked(self, now_ms: int, within_ms: int) -> set[MemberId]:
        """Return the peers that answered within the last `within_ms`."""
        return {
            peer
            for peer, progress in self.peers.items()
            if progress.acked_ms is not None and now_ms - progress.acked_ms <= within_ms
        }
