"""Effects that the driver carries out for the core; `messages` documents their order."""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_state.members.members import MemberId, Members
from agateferry_state.replication.entries import LogEntry, Snapshot
from agateferry_state.replication.peer_messages import Message


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; it may be lost, delayed or duplicated on the way."""

    to: MemberId
    message: Message


@dataclass(frozen=True, slots=True)
class PersistVote:
    """Store term and vote durably before any later effect."""

    term: int
    voted_for: MemberId | None


@dataclass(frozen=True, slots=True)
class AppendLog:
    """Write entries at the end of the log, and sync them soon."""

    write_id: int
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class TruncateLog:
    """Remove the entry at `from_index` and all after it from the log."""

    write_id: int
    from_index: int


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Take a snapshot of the state machine, which has applied exactly the entries up to `index`.

    An `InstallSnapshot` that comes while the bytes are being written replaces this one.
    """

    index: int
    term: int
    members: Members


@dataclass(frozen=True, slots=True)
class CompactLog:
    """Drop the entries up to and including `up_to_index` at any time; a snapshot covers them."""

    up_to_index: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Store a leader's snapshot durably, drop the whole log, and restore the state machine."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries in order; NOOP and MEMBERS entries only advance the applied index."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class ProposalAccepted:
    """Report where a proposal was appended.

    It is committed once `Apply` delivers an entry with this index and term, and lost once `Apply`
    delivers this index with another term. Until then its outcome is unknown.
    """

    proposal_id: int
    index: int
    term: int


class RejectReason(StrEnum):
    """Why a proposal, read or membership change was rejected."""

    NOT_LEADER = "not-leader"
    NOT_READY = "not-ready"
    """The cell is forming, leadership is being transferred, or the host to admit is unknown."""

    BUSY = "busy"
    """Another change or the first entry of this term is uncommitted, or too many are unapplied."""

    NOT_NEEDED = "not-needed"
    """The change is already in effect."""

    UNSAFE = "unsafe"
    """The change could lose committed entries or leave no quorum."""

    STORAGE_FAILED = "storage-failed"


@dataclass(frozen=True, slots=True)
class ProposalRejected:
    """Report that a proposal was not appended; `leader` is the member to retry at, where known."""

    proposal_id: int
    reason: RejectReason
    leader: MemberId | None = None


@dataclass(frozen=True, slots=True)
class ReadReady:
    """Report that a read may now use the state machine, which has applied `index`.

    The lease that allows the read ends at `valid_until_ms` on the monotonic clock. 0 means that a
    quorum confirmed the leader after the read began, so the answer depends on no clock.
    """

    read_id: int
    index: int
    valid_until_ms: int


@dataclass(frozen=True, slots=True)
class ReadRejected:
    """Report that a read cannot be served here; `leader` is the member to retry at, where known."""

    read_id: int
    reason: RejectReason
    leader: MemberId | None = None


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """Report the leader that this member knows of, and the term.

    When this member itself stops leading, the outcome of its unapplied proposals is unknown.
    """

    leader: MemberId | None
    term: int


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Report the newest members in the local log, committed or not."""

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
