"""State of one member, and the transitions that all parts of the core share."""

import random
from dataclasses import dataclass, field
from enum import StrEnum

from agateferry_state.members import Member, MemberId
from agateferry_state.replication.leader_contact import LeaderContact
from agateferry_state.replication.leader_state import LeaderState
from agateferry_state.replication.log import Log
from agateferry_state.replication.messages import (
    Effect,
    Message,
    PersistVote,
    ReadRejected,
    RejectReason,
    Send,
    SnapshotMeta,
)
from agateferry_state.replication.settings import Settings


class Role(StrEnum):
    """The role of a member in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"
    """The disk failed; the member takes no part until its process restarts."""


@dataclass(slots=True)
class FollowerState:
    """State that a follower keeps of its leader, for one term.

    `verified_index` is the last index up to which both logs are known to agree. `pending_ack_round`
    is the newest round whose entries are not durable yet, or 0; `acked_round` is the newest round
    that was acknowledged. `snapshot_meta` and `snapshot_data` hold a partly received snapshot.
    """

    verified_index: int = 0
    pending_ack_round: int = 0
    acked_round: int = 0
    snapshot_meta: SnapshotMeta | None = None
    snapshot_data: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class ConfirmedMember:
    """A member that was confirmed to run on its host, when, and whether its log was empty then.

    Its answer was sent between `asked_ms` and `confirmed_ms`. `joins_only_since_ms` is when it was
    first confirmed that this member may form no cell, or None.
    """

    member: Member
    is_empty: bool
    confirmed_ms: int
    asked_ms: int = 0
    joins_only_since_ms: int | None = None


@dataclass(slots=True)
class State:
    """The state of the core; the other modules of this package change it."""

    me: Member
    settings: Settings
    rng: random.Random
    log: Log
    term: int
    voted_for: MemberId | None
    now_ms: int
    commit_index: int
    applied_index: int
    last_leader_contact_ms: int
    """When a leader was last heard from, or the process started.

    Votes are withheld for `election_timeout_min_ms` after it.
    """
    leader_contact: LeaderContact | None = None
    """The contact to the last leader other than this member; None if none since the start."""
    election_deadline_ms: int = 0
    greeting_deadline_ms: int = 0
    role: Role = Role.FOLLOWER
    leader: MemberId | None = None
    votes: set[MemberId] = field(default_factory=set)
    """The members that granted the current vote or pre-vote."""
    is_recovery_candidate: bool = False
    """Whether this election needs only the members with a disk, as all others are superseded."""
    forming_voters: tuple[Member, ...] = ()
    """The voters of the new cell as whose leader this member asks to be elected, if it does."""
    follower_state: FollowerState = field(default_factory=FollowerState)
    leader_state: LeaderState | None = None
    is_stopping: bool = False
    """Whether this member is about to stop; the leader learns it from the acknowledgements."""
    confirmed_members: dict[str, ConfirmedMember] = field(default_factory=dict)
    """For each host name, the member whose greeting last proved that it runs there."""
    pending_nonces: dict[MemberId, tuple[int, int]] = field(default_factory=dict)
    """For each member that was asked to greet, the nonce sent and when."""
    snapshot_requested_index: int = 0
    effects: list[Effect] = field(default_factory=list)

    @property
    def is_voter(self) -> bool:
        """Return whether this member is a voter according to its own log."""
        return self.log.members.is_voter(self.me.id)

    @property
    def superseded(self) -> frozenset[MemberId]:
        """Return the voters on whose hosts another incarnation was confirmed to run."""
        if not self.confirmed_members:
            return frozenset()
        return frozenset(m.id for m in self.log.members.voters if self.is_superseded(m.id))

    def is_superseded(self, member_id: MemberId) -> bool:
        """Return whether another incarnation was confirmed to run on this member's host."""
        confirmed = self.confirmed_members.get(member_id.host)
        return confirmed is not None and confirmed.member.id != member_id

    def emit(self, effect: Effect) -> None:
        """Add an effect to those that this step returns."""
        self.effects.append(effect)

    def send(self, to: MemberId, message: Message) -> None:
        """Add the effect of sending a message."""
        self.emit(Send(to, message))

    def reset_election_deadline(self) -> None:
        """Set the time of the next election attempt, after a random election timeout."""
        low, high = self.settings.election_timeout_min_ms, self.settings.election_timeout_max_ms
        self.election_deadline_ms = self.now_ms + self.rng.randint(low, high)

    def reset_retry_deadline(self) -> None:
        """Set the time at which a candidate that was not elected retries, after a random delay."""
        low, high = self.settings.election_retry_min_ms, self.settings.election_retry_max_ms
        self.election_deadline_ms = self.now_ms + self.rng.randint(low, high)

    def enter_term(self, term: int, voted_for: MemberId | None = None) -> None:
        """Enter a term, and make term and vote durable before any later effect."""
        self.term = term
        self.voted_for = voted_for
        self.emit(PersistVote(term, voted_for))

    def become_follower(self, term: int, leader: MemberId | None = None) -> None:
        """Become follower in this term or a newer one; `leader` is None while not known."""
        self.clear_leader_state()
        self.forming_voters = ()
        if term > self.term:
            self.enter_term(term)
            self.follower_state = FollowerState()
        if leader != self.leader:
            self.follower_state = FollowerState()
        self.role = Role.FOLLOWER
        self.leader = leader

    def clear_leader_state(self) -> None:
        """Drop the state of a leader, and reject its pending reads."""
        if self.leader_state is None:
            return
        for read in self.leader_state.pending_reads:
            self.emit(ReadRejected(read.read_id, RejectReason.NOT_LEADER))
        self.leader_state = None
        self.leader = None
        self.reset_election_deadline()
