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
    incarnations: their hosts come back with an empty folder. The answer repeats `proposal_id`;
    there is none where that is 0.
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
