"""Events that the replication core receives; effects and messages are exported here as well.

The driver, which does all I/O for the core, passes events to `Core.step(event, now_ms)` and carries
out the effects that the call returns. Their order is part of the contract:

Effects are carried out in the order of the list, and the lists in the order of the steps.

`PersistVote` and `InstallSnapshot` are barriers: what they store is durable before any later effect
is carried out. A member that answered first and lost its vote in a crash could vote twice in one
term.

`AppendLog` and `TruncateLog` are written in order, but later effects don't wait for the disk. A
leader sends entries to its followers in parallel with its own sync, and counts itself as a holder
only after `Synced`. Followers acknowledge entries only after `Synced`, which the core ensures.
`Synced(write_id)` reports that the write with this number and all writes before it are durable. One
sync may cover many writes.

`CompactLog` may be carried out at any later time. `TakeSnapshot` is carried out between the `Apply`
before it and the `Apply` after it, so that the state machine has applied exactly the entries up to
`index`. The bytes may be written in the background; `SnapshotTaken` reports that they are durable.

`SyncFailed` reports a failed write or sync of any kind. The core then stops taking part until the
process restarts and reads back what the disk holds.

A host without a disk reports `Synced` at once and keeps everything in memory.
"""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_state.members.members import Member, MemberId
from agateferry_state.replication.effects import (
    AppendLog,
    Apply,
    CompactLog,
    Effect,
    InstallSnapshot,
    LeadershipChanged,
    MembersChanged,
    PersistVote,
    ProposalAccepted,
    ProposalRejected,
    ReadReady,
    ReadRejected,
    RejectReason,
    Send,
    TakeSnapshot,
    TruncateLog,
)
from agateferry_state.replication.entries import (
    EntryKind,
    LogEntry,
    Snapshot,
    SnapshotMeta,
    StoredState,
)
from agateferry_state.replication.peer_messages import (
    AppendRequest,
    AppendResponse,
    Greeting,
    GreetingRequest,
    Message,
    SnapshotChunk,
    SnapshotResponse,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)

__all__ = [
    "AppendLog",
    "AppendRequest",
    "AppendResponse",
    "Apply",
    "BootstrapForced",
    "CompactLog",
    "Effect",
    "EntryKind",
    "Event",
    "Greeting",
    "GreetingRequest",
    "InstallSnapshot",
    "LeadershipChanged",
    "LogEntry",
    "MemberAction",
    "MemberChangeRequested",
    "MembersChanged",
    "Message",
    "MessageReceived",
    "PersistVote",
    "ProposalAccepted",
    "ProposalRejected",
    "Proposed",
    "ReadReady",
    "ReadRejected",
    "ReadRequested",
    "RecoveryForced",
    "RejectReason",
    "Send",
    "Snapshot",
    "SnapshotChunk",
    "SnapshotMeta",
    "SnapshotResponse",
    "SnapshotTaken",
    "StopAnnounced",
    "StoredState",
    "SyncFailed",
    "Synced",
    "TakeSnapshot",
    "Tick",
    "TimeoutNow",
    "TransferLeadership",
    "TruncateLog",
    "VoteRequest",
    "VoteResponse",
]


@dataclass(frozen=True, slots=True)
class Tick:
    """Run whatever is due; delivered no later than `Core.next_deadline_ms`."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Deliver a message; `recipient` is the incarnation that it is addressed to."""

    sender: MemberId
    recipient: MemberId
    message: Message


@dataclass(frozen=True, slots=True)
class Proposed:
    """Propose a command for the log; the answering effect repeats `proposal_id`."""

    proposal_id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReadRequested:
    """Ask when the state machine is recent enough for a linearizable read."""

    read_id: int


@dataclass(frozen=True, slots=True)
class Synced:
    """Report that write `write_id` and all writes before it are durable."""

    write_id: int


@dataclass(frozen=True, slots=True)
class SyncFailed:
    """Report that a write or sync failed; no unsynced write may be assumed durable."""


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """Report that the snapshot requested by `TakeSnapshot` is durable."""

    index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Transfer leadership to the most caught-up voter, before a planned stop."""


@dataclass(frozen=True, slots=True)
class StopAnnounced:
    """Let the leader know that this member is about to stop, so that a learner takes its vote."""


class MemberAction(StrEnum):
    """The membership changes that an operator can request."""

    ADMIT = "admit"
    """Add a host as learner; it becomes a voter once it has caught up."""

    REMOVE = "remove"
    """Remove a host's members; the host stays out until it is admitted again."""


@dataclass(frozen=True, slots=True)
class MemberChangeRequested:
    """Request a membership change; it is answered like a proposal, with the same `proposal_id`."""

    proposal_id: int
    action: MemberAction
    member: Member


@dataclass(frozen=True, slots=True)
class BootstrapForced:
    """Start a new cell on this empty host, at an operator's request."""


@dataclass(frozen=True, slots=True)
class RecoveryForced:
    """Make this host the only voter after a quorum was lost, at an operator's request.

    Every other voter must be named in `lost` or be superseded, else the request is rejected as
    unsafe. Entries that this host's log lacks are lost, and all other incarnations are given up:
    their hosts rejoin only with an empty data folder. The answer is `ProposalAccepted` or
    `ProposalRejected` with `proposal_id`; there is no answer where that is 0.
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
    | StopAnnounced
    | MemberChangeRequested
    | BootstrapForced
    | RecoveryForced
)
