"""What one member knows, and the small moves that all parts of the core share."""

import random
from dataclasses import dataclass, field
from enum import StrEnum

from agateferry_state.members import Member, MemberId
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
    """Say what a member does in the present term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"
    """The disk failed; the member takes no part until its process starts again."""


@dataclass(slots=True)
class FollowerState:
    """What a follower knows of the leader's log in the present term.

    `verified_index` is the last place up to which both logs are known to agree. `pending_ack_round`
    is the newest round whose entries wait for the disk, or 0; `acked_round` is the newest one
    that the leader was told of.
    """

    verified_index: int = 0
    pending_ack_round: int = 0
    acked_round: int = 0
    snapshot_meta: SnapshotMeta | None = None
    snapshot_data: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class ConfirmedMember:
    """A member that proved to run on its host, and whether its log was empty then."""

    member: Member
    is_empty: bool
    confirmed_ms: int


@dataclass(slots=True)
class State:
    """The state of the core; the modules beside this one are its moves."""

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
    """When the leader was last heard; votes are kept back for a while after it."""
    election_deadline_ms: int = 0
    greeting_deadline_ms: int = 0
    role: Role = Role.FOLLOWER
    leader: MemberId | None = None
    votes: set[MemberId] = field(default_factory=set)
    is_recovery_candidate: bool = False
    """Whether this candidate stands because only members with a disk are left."""
    follower_state: FollowerState = field(default_factory=FollowerState)
    leader_state: LeaderState | None = None
    confirmed_members: dict[str, ConfirmedMember] = field(default_factory=dict)
    pending_nonces: dict[MemberId, tuple[int, int]] = field(default_factory=dict)
    """For each member that was asked to prove itself, the number sent and when."""
    snapshot_requested_index: int = 0
    effects: list[Effect] = field(default_factory=list)

    @property
    def is_voter(self) -> bool:
        """Tell whether this member counts in quorums, as far as its own log says."""
        return self.log.members.is_voter(self.me.id)

    @property
    def superseded(self) -> frozenset[MemberId]:
        """Return the voters on whose hosts another incarnation runs now."""
        if not self.confirmed_members:
            return frozenset()
        return frozenset(m.id for m in self.log.members.voters if self.is_superseded(m.id))

    def is_superseded(self, member_id: MemberId) -> bool:
        """Tell whether another incarnation proved to run on this member's host."""
        confirmed = self.confirmed_members.get(member_id.host)
        return confirmed is not None and confirmed.member.id != member_id

    def emit(self, effect: Effect) -> None:
        """Ask the shell for an effect."""
        self.effects.append(effect)

    def send(self, to: MemberId, message: Message) -> None:
        """Ask the shell to send a message."""
        self.emit(Send(to, message))

    def reset_election_deadline(self) -> None:
        """Draw the time at which this member stands for election if it hears no leader."""
        low, high = self.settings.election_timeout_min_ms, self.settings.election_timeout_max_ms
        self.election_deadline_ms = self.now_ms + self.rng.randint(low, high)

    def reset_retry_deadline(self) -> None:
        """Draw the time at which a candidate that was not elected asks again."""
        low, high = self.settings.election_retry_min_ms, self.settings.election_retry_max_ms
        self.election_deadline_ms = self.now_ms + self.rng.randint(low, high)

    def enter_term(self, term: int, voted_for: MemberId | None = None) -> None:
        """Move to a term, durably, before anything else is said."""
        self.term = term
        self.voted_for = voted_for
        self.emit(PersistVote(term, voted_for))

    def become_follower(self, term: int, leader: MemberId | None = None) -> None:
        """Follow, in this term or a newer one."""
        self.clear_leader_state()
        if term > self.term:
            self.enter_term(term)
            self.follower_state = FollowerState()
        if leader != self.leader:
            self.follower_state = FollowerState()
        self.role = Role.FOLLOWER
        self.leader = leader

    def clear_leader_state(self) -> None:
        """Drop what belongs to leadership; reads that wait are turned away."""
        if self.leader_state is None:
            return
        for read in self.leader_state.pending_reads:
            self.emit(ReadRejected(read.read_id, RejectReason.NOT_LEADER))
        self.leader_state = None
        self.leader = None
        self.reset_election_deadline()
