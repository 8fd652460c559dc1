"""The replication core: one member of a replicated log, without I/O.

It implements Raft as in Ongaro, "Consensus: Bridging Theory and Practice" (2014), with pre-vote,
check-quorum, leader lease, leadership transfer and single-server membership changes. For example

    core = Core(me, settings, stored, random.Random(7), now_ms=clock.now_ms())
    effects = core.step(Proposed(1, b"x"), now_ms=clock.now_ms())

returns a `ProposalRejected` while the member does not lead. See `messages` for the order in which
effects must be carried out.
"""

import random
from collections.abc import Sequence

from expression import Result

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.replication import (
    election,
    follower,
    greeting,
    leader,
    membership_changes,
    requests,
    snapshots,
)
from agateferry_state.replication.leader_contact import LeaderContact
from agateferry_state.replication.log import Log
from agateferry_state.replication.messages import (
    AppendRequest,
    AppendResponse,
    Apply,
    BootstrapForced,
    Effect,
    Event,
    Greeting,
    GreetingRequest,
    LeadershipChanged,
    MemberAction,
    MemberChangeRequested,
    MembersChanged,
    Message,
    MessageReceived,
    ProposalRejected,
    Proposed,
    ReadRequested,
    RecoveryForced,
    RejectReason,
    SnapshotChunk,
    SnapshotResponse,
    SnapshotTaken,
    StopAnnounced,
    StoredState,
    Synced,
    SyncFailed,
    TimeoutNow,
    TransferLeadership,
    VoteRequest,
    VoteResponse,
)
from agateferry_state.replication.settings import Settings
from agateferry_state.replication.state import Role, State


class Core:
    """Turn events into the effects that the driver carries out for one member.

    Where `stored` has a snapshot, the driver restores the state machine from it before the first
    step.
    """

    def __init__(
        self, me: Member, settings: Settings, stored: StoredState, rng: random.Random, now_ms: int
    ) -> None:
        log = Log(stored.snapshot, stored.entries)
        if stored.term < log.last_term:
            raise ValueError(f"term {stored.term} is older than the log's {log.last_term}")
        self._state = State(
            me=me,
            settings=settings,
            rng=rng,
            log=log,
            term=stored.term,
            voted_for=stored.voted_for,
            now_ms=now_ms,
            commit_index=log.base_index,
            applied_index=log.base_index,
            last_leader_contact_ms=now_ms,
            greeting_deadline_ms=now_ms,
        )
        self._state.reset_election_deadline()
        self._reported_leadership = (self._state.leader, self._state.term)
        self._reported_members = log.members

    @property
    def me(self) -> Member:
        """Return this member."""
        return self._state.me

    @property
    def role(self) -> Role:
        """Return this member's role in the current term."""
        return self._state.role

    @property
    def leader(self) -> MemberId | None:
        """Return the leader, as far as this member knows."""
        return self._state.leader

    @property
    def leader_contact(self) -> LeaderContact | None:
        """Return the contact to the last other leader; None if none was heard since the start."""
        return self._state.leader_contact

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._state.term

    @property
    def members(self) -> Members:
        """Return the newest members in the local log, committed or not."""
        return self._state.log.members

    @property
    def commit_index(self) -> int:
        """Return the index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry in the local log."""
        return self._state.log.last_index

    @property
    def last_term(self) -> int:
        """Return the term of the last entry in the local log."""
        return self._state.log.last_term

    @property
    def match_indexes(self) -> dict[MemberId, int]:
        """Return the last durable index known of each member; empty unless this one leads."""
        leader_state = self._state.leader_state
        if leader_state is None:
            return {}
        match_indexes = {
            peer: progress.match_index for peer, progress in leader_state.peers.items()
        }
        match_indexes[self.me.id] = self._state.log.synced_index
        return match_indexes

    @property
    def next_deadline_ms(self) -> int:
        """Return when the next `Tick` is due."""
        state = self._state
        if state.leader_state is not None:
            return state.leader_state.heartbeat_due_ms
        if not state.is_voter and state.leader is None:
            return min(state.election_deadline_ms, state.greeting_deadline_ms)
        return state.election_deadline_ms

    def holds_lease(self, now_ms: int) -> bool:
        """Return whether this member leads and no other member can lead at `now_ms`."""
        leader_state = self._state.leader_state
        return leader_state is not None and leader_state.lease.is_valid(now_ms)

    def preview_change(self, action: MemberAction, host: str) -> Result[Members, RejectReason]:
        """Return the members after an operator's change, or why it would be rejected."""
        return membership_changes.plan_change(self._state, action, host)

    def preview_recovery(self, lost: frozenset[MemberId]) -> Result[Members, RejectReason]:
        """Return the members after a forced recovery on this host, or why it would be rejected."""
        return membership_changes.plan_recovery(self._state, lost)

    def step(self, event: Event, now_ms: int) -> list[Effect]:
        """Process one event and return the effects to carry out, in order."""
        return self.step_all((event,), now_ms)

    def step_all(self, events: Sequence[Event], now_ms: int) -> list[Effect]:
        """Process several events in one step; their proposals share the sends to followers."""
        state = self._state
        state.now_ms = now_ms
        leader.check_quorum(state)
        for event in events:
            if state.role is Role.FAILED:
                self._reject(event)
            else:
                self._handle(event)
        if state.role is not Role.FAILED:
            self._run_due_actions()
        self._report_changes()
        effects, state.effects = state.effects, []
        return effects

    def _run_due_actions(self) -> None:
        """Do what is due now, independent of the events of this step."""
        state = self._state
        election.start_pre_vote_if_due(state)
        greeting.send_if_due(state)
        leader.advance_commit(state)
        membership_changes.propose_next_if_due(state)
        self._apply()
        requests.answer_reads(state)
        leader.send_heartbeats_if_due(state)
        leader.send_pending(state)
        self._apply()
        requests.answer_reads(state)
        snapshots.request_if_due(state)

    def _apply(self) -> None:
        state = self._state
        if state.commit_index > state.applied_index:
            entries = state.log.entries_between(state.applied_index + 1, state.commit_index)
            state.emit(Apply(entries))
            state.applied_index = state.commit_index

    def _handle(self, event: Event) -> None:
        state = self._state
        match event:
            case MessageReceived(sender, recipient, message):
                if self._should_accept(sender, recipient, message):
                    self._handle_message(sender, message)
            case Proposed():
                requests.on_proposed(state, event)
            case ReadRequested():
                requests.on_read(state, event)
            case Synced(write_id):
                state.log.mark_synced(write_id)
                follower.on_synced(state)
            case SnapshotTaken():
                snapshots.on_taken(state, event)
            case SyncFailed():
                state.become_follower(state.term)
                state.role = Role.FAILED
            case _:
                self._handle_operator_event(event)

    def _handle_operator_event(self, event: Event) -> None:
        """Process an operator's request."""
        state = self._state
        match event:
            case TransferLeadership():
                requests.on_transfer(state)
            case StopAnnounced():
                state.is_stopping = True
            case MemberChangeRequested():
                membership_changes.on_change_requested(state, event)
            case RecoveryForced():
                membership_changes.force_recovery(state, event)
            case BootstrapForced():
                if state.log.is_empty:
                    election.campaign_to_form(state, (state.me,))

    def _handle_message(self, sender: MemberId, message: Message) -> None:
        state = self._state
        match message:
            case AppendRequest():
                follower.on_append(state, sender, message)
            case AppendResponse():
                leader.on_append_response(state, sender, message)
            case VoteRequest():
                election.on_vote_request(state, sender, message)
            case VoteResponse():
                election.on_vote_response(state, sender, message)
            case SnapshotChunk():
                follower.on_snapshot_chunk(state, sender, message)
            case SnapshotResponse():
                snapshots.on_response(state, sender, message)
            case TimeoutNow():
                election.on_timeout_now(state, message)
            case Greeting():
                greeting.on_greeting(state, sender, message)
            case GreetingRequest():
                greeting.on_request(state, sender, message)

    def _should_accept(self, sender: MemberId, recipient: MemberId, message: Message) -> bool:
        """Return whether a message is for this incarnation and its sender is not superseded.

        A superseded sender is asked to prove that it runs, since it may be the newer incarnation. A
        greeting may also be addressed to the host alone, because its sender may not know which
        incarnation runs there.
        """
        state = self._state
        if isinstance(message, Greeting):
            return recipient in (state.me.id, MemberId(state.me.id.host))
        if recipient != state.me.id:
            return False
        if state.is_superseded(sender):
            greeting.send_request(state, sender)
            return False
        return True

    def _reject(self, event: Event) -> None:
        """Reject proposals and reads after the disk failed; ignore all other events."""
        match event:
            case Proposed(proposal_id) | MemberChangeRequested(proposal_id):
                reason = RejectReason.STORAGE_FAILED
                self._state.emit(ProposalRejected(proposal_id, reason))
            case RecoveryForced(proposal_id=proposal_id) if proposal_id:
                self._state.emit(ProposalRejected(proposal_id, RejectReason.STORAGE_FAILED))
            case ReadRequested():
                requests.on_read(self._state, event)

    def _report_changes(self) -> None:
        state = self._state
        if (state.leader, state.term) != self._reported_leadership:
            self._reported_leadership = (state.leader, state.term)
            state.emit(LeadershipChanged(state.leader, state.term))
        if state.log.members != self._reported_members:
            self._reported_members = state.log.members
            state.emit(MembersChanged(state.log.members))
