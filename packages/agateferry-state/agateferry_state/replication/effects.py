"""What the core asks of the shell; `messages` tells in which order it is carried out."""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_state.members.members import MemberId, Members
from agateferry_state.replication.entries import LogEntry, Snapshot
from agateferry_state.replication.peer_messages import Message


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; it may be lost, delayed or repeated on the way."""

    to: MemberId
    message: Message


@dataclass(frozen=True, slots=True)
class PersistVote:
    """Store term and vote durably before any later effect."""

    term: int
    voted_for: MemberId | None


@dataclass(frozen=True, slots=True)
class AppendLog:
    """Write entries after the present end of the log, and sync them soon."""

    write_id: int
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class TruncateLog:
    """Cut the log so that `from_index` and all after it are gone."""

    write_id: int
    from_index: int


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Take a snapshot of the state machine as it stands at `index`.

    Where an `InstallSnapshot` comes while the bytes are written, it replaces this one.
    """

    index: int
    term: int
    members: Members


@dataclass(frozen=True, slots=True)
class CompactLog:
    """Drop entries up to and with `up_to_index` when convenient; a snapshot covers them."""

    up_to_index: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Store a leader's snapshot durably, drop the whole log, and restore the state machine."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries in order; NOOP and MEMBERS entries are for counting only."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class ProposalAccepted:
    """Say where a proposal was appended.

    It is agreed upon when `Apply` brings this index with this term, and it failed for good when
    `Apply` brings the index with another term. Until then its fate is not known.
    """

    proposal_id: int
    index: int
    term: int


class RejectReason(StrEnum):
    """Say why a proposal, read or member change was not taken up."""

    NOT_LEADER = "not-leader"
    NOT_READY = "not-ready"
    """The leader has not yet committed an entry of its term, or the cell is still forming."""

    BUSY = "busy"
    """Another change of members is not committed yet, or too many entries wait."""

    NOT_NEEDED = "not-needed"
    """The members are already so."""

    UNSAFE = "unsafe"
    """The change would leave no voter or no voter with a disk."""

    STORAGE_FAILED = "storage-failed"


@dataclass(frozen=True, slots=True)
class ProposalRejected:
    """Say that a proposal was not appended, and whom to ask instead where known."""

    proposal_id: int
    reason: RejectReason
    leader: MemberId | None = None


@dataclass(frozen=True, slots=True)
class ReadReady:
    """Say that a read may look at the state machine now, which has applied `index`.

    The lease behind it ends at `valid_until_ms` on the monotonic clock; 0 means that a quorum
    confirmed the leader after the read began, and no clock is involved.
    """

    read_id: int
    index: int
    valid_until_ms: int


@dataclass(frozen=True, slots=True)
class ReadRejected:
    """Say that this member cannot serve the read, and whom to ask instead where known."""

    read_id: int
    reason: RejectReason
    leader: MemberId | None = None


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """Tell who leads in which term as far as this member knows.

    When this member itself stops leading, the fate of its unapplied proposals is unknown.
    """

    leader: MemberId | None
    term: int


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Tell which members are in force in the local log."""

    members: Members


Effect = (
    Send
    | PersistVote
    | AppendLog
    | TruncateLog
    | TakeSnapshot
    | CompactLog
    | InstallSnapshot
    | Apply
    | ProposalAccepted
    | ProposalRejected
    | ReadReady
    | ReadRejected
    | LeadershipChanged
    | MembersChanged
)
