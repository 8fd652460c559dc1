"""What the replication core is told, what it asks for, and what members say to each other.

The shell feeds events to `Core.step(event, now_ms)` and carries out the effects that come back.
The order is part of the contract:

Effects are carried out in the order of the list, and the lists in the order of the steps.

`PersistVote` and `InstallSnapshot` are barriers. Everything that they ask for is durable before
any later effect is carried out. A member that answered first and forgot its vote in a crash could
vote twice in one term.

`AppendLog` and `TruncateLog` are written in order but not waited for. Later effects go out while
the disk works: a leader sends entries to its followers in parallel with its own sync, and counts
itself only once `Synced` came. Followers acknowledge only after `Synced`; the core sees to that.
`Synced(write_id)` says that the write with this number and all writes before it are durable. One
sync may cover many writes.

`CompactLog` may be carried out at any later time. `TakeSnapshot` is carried out between the `Apply`
before it and the `Apply` after it, so the state machine stands exactly at `index`; writing the
bytes may take its time, and `SnapshotTaken` reports once they are durable.

A failed write or sync of any kind is reported by `SyncFailed`. The core then takes no part any
more until the process starts again and reads back what the disk holds.

A host with no disk reports `Synced` at once and keeps everything in memory.
"""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_state.members.members import Member, MemberId, Members


class EntryKind(StrEnum):
    """Say what an entry of the log holds."""

    COMMAND = "command"
    NOOP = "noop"
    MEMBERS = "members"


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One place in the log; `data` is a command, or encoded `Members`, or empty."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class SnapshotMeta:
    """What a snapshot covers: the last entry in it, the members then, its size and CRC-32."""

    index: int
    term: int
    members: Members
    size: int
    checksum: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot of the state machine with its bytes."""

    meta: SnapshotMeta
    data: bytes


@dataclass(frozen=True, slots=True)
class StoredState:
    """What the disk held at start; the defaults describe an empty folder."""

    term: int = 0
    voted_for: MemberId | None = None
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


# Messages between members. Each names the sender's term.


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Ask for a vote, or with `pre_vote` whether one would be given (thesis, 9.6).

    `transfer` marks a candidate that was told to start by the leader itself; it is then voted for
    although the leader was heard a moment ago.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False


@dataclass(frozen=True, slots=True)
class VoteResponse:
    """Grant or refuse a vote; `asked_term` repeats the term of the request."""

    term: int
    asked_term: int
    granted: bool
    pre_vote: bool = False


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Send entries that follow `prev_index`, or none as a heartbeat.

    `round` numbers the leader's sends and is repeated in the response, so that the leader knows
    how recent the acknowledgement is.
    """

    term: int
    prev_index: int
    prev_term: int
    commit_index: int
    round: int
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class AppendResponse:
    """Acknowledge entries up to `match_index`, all of them durable, or say where logs part.

    Where `success` is false, `hint_index` is the place from which the leader should try again and
    `hint_term` the term of the follower's entry there (0 where it has none).
    """

    term: int
    round: int
    success: bool
    match_index: int = 0
    hint_index: int = 0
    hint_term: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Send the part of a snapshot that begins at byte `offset`."""

    term: int
    meta: SnapshotMeta
    offset: int
    data: bytes
    round: int


@dataclass(frozen=True, slots=True)
class SnapshotResponse:
    """Ask for the part that begins at `next_offset`, or report that all of it is durable."""

    term: int
    round: int
    index: int
    next_offset: int
    installed: bool = False


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Tell a caught-up follower to stand for election at once (thesis, 3.10)."""

    term: int


@dataclass(frozen=True, slots=True)
class Greeting:
    """Say who runs on this host now, and whether it holds any log.

    A member that is no voter greets all hosts it knows. `nonce` repeats the number of a
    `GreetingRequest`, or is 0; only an answer to one's own number proves who runs there now.
    """

    term: int
    member: Member
    is_empty: bool
    nonce: int = 0


@dataclass(frozen=True, slots=True)
class GreetingRequest:
    """Ask the member that greeted to repeat its greeting with this number."""

    term: int
    nonce: int


Message = (
    VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotResponse
    | TimeoutNow
    | Greeting
    | GreetingRequest
)


# Events: what the shell tells the core.


@dataclass(frozen=True, slots=True)
class Tick:
    """Tell the core the time; due at the latest at `Core.next_deadline_ms`."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Deliver a message; `recipient` is whom the sender meant, with its incarnation."""

    sender: MemberId
    recipient: MemberId
    message: Message


@dataclass(frozen=True, slots=True)
class Proposed:
    """Ask for a command to be agreed upon; the answer repeats `proposal_id`."""

    proposal_id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReadRequested:
    """Ask for the moment at which a linearizable read may look at the state machine."""

    read_id: int


@dataclass(frozen=True, slots=True)
class Synced:
    """Report that write `write_id` and all writes before it are durable."""

    write_id: int


@dataclass(frozen=True, slots=True)
class SyncFailed:
    """Report that a write or sync failed; nothing unsynced is assumed written."""


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """Report that a snapshot asked for by `TakeSnapshot` is durable."""

    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Hand leadership to the most caught-up voter, before a planned stop."""


class MemberAction(StrEnum):
    """Say what an operator wants done with a member."""

    ADMIT = "admit"
    """Let a host in as learner; it votes once it has caught up."""

    REMOVE = "remove"
    """Take a member out of the quorum."""


@dataclass(frozen=True, slots=True)
class MemberChangeRequested:
    """Ask for a change of members; the answer repeats `proposal_id` as for a proposal."""

    proposal_id: int
    action: MemberAction
    member: Member


@dataclass(frozen=True, slots=True)
class BootstrapForced:
    """Start a new cell on this empty host, by an operator's word."""


@dataclass(frozen=True, slots=True)
class RecoveryForced:
    """Take this host's log as the truth after a quorum was lost, by an operator's word.

    Every other voter must be named in `lost` or be superseded, else the answer is
    `ProposalRejected` as unsafe. Whatever this host's log lacks is given up, and so are all other
    incarnations: their hosts come back with an empty folder. The answer repeats `proposal_id`.
    """

    lost: frozenset[MemberId] = frozenset()
    proposal_id: int = 0


Event = (
    Tick
    | MessageReceived
    | Proposed
    | ReadRequested
    | Synced
    | SyncFailed
    | SnapshotTaken
    | TransferLeadership
    | MemberChangeRequested
    | BootstrapForced
    | RecoveryForced
)


# Effects: what the core asks of the shell.


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
