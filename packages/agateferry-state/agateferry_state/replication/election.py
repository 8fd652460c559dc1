"""Leader election: pre-vote, vote, and withholding votes while a leader is alive.

See sections 3.4, 3.6 and 9.6 of Ongaro's thesis. A member first runs a pre-vote, so that one that
was partitioned does not raise the term when it returns. Votes are withheld for the shortest
election timeout after the leader was last heard from. The leader lease depends on this, so a
process that just started withholds its votes for as long.

An election by only the members with a disk, after those without one lost their memory, raises the
term by `RECOVERY_TERM_STEP`. The lost members may have elected leaders in terms that none of the
remaining members has seen.
"""

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.members.quorum import includes_all_survivors, is_majority
from agateferry_state.replication import leader
from agateferry_state.replication.messages import TimeoutNow, VoteRequest, VoteResponse
from agateferry_state.replication.state import Role, State

RECOVERY_TERM_STEP = 1 << 20
"""Term increase of a recovery; larger than the number of terms that lost members may have used."""


def start_pre_vote_if_due(state: State) -> None:
    """Start a pre-vote once the election deadline has passed without contact to a leader.

    A member that is about to stop starts none: it would lead until it ends, and keep its vote.
    """
    if state.role is Role.LEADER or state.now_ms < state.election_deadline_ms:
        return
    state.leader = None
    if not state.is_voter or state.is_stopping:
        state.reset_election_deadline()
        return
    state.reset_retry_deadline()
    state.role = Role.PRE_CANDIDATE
    state.votes = {state.me.id}
    _request_votes(state, state.term + 1, pre_vote=True)
    _count_votes(state)


def campaign_to_form(state: State, voters: tuple[Member, ...], rank: int = 0) -> None:
    """Start the election of this member as the leader of a new cell with these voters.

    A vote is granted by an empty log only. So a voter of a cell that was started before refuses,
    and one that grants its vote accepts no entry of such a cell after it. `rank` counts the first
    hosts that come before this one; each has terms of its own. Votes are not withheld, since no
    leader is there to protect.
    """
    _campaign(state, state.term + 1 + rank * RECOVERY_TERM_STEP, transfer=True, forming=voters)


def on_timeout_now(state: State, request: TimeoutNow) -> None:
    """Start an election at once, as the target of a leadership transfer."""
    if request.term == state.term and state.is_voter and state.role is not Role.LEADER:
        _campaign(state, state.term + 1, transfer=True)


def on_vote_request(state: State, sender: MemberId, request: VoteRequest) -> None:
    """Grant or refuse a vote or pre-vote."""
    if _must_withhold_vote(state) and not request.transfer:
        _respond(state, sender, request, granted=False)
        return
    if request.pre_vote:
        granted = request.term > state.term and _is_up_to_date(state, request)
        _respond(state, sender, request, granted)
        return
    if request.term > state.term:
        state.become_follower(request.term)
    granted = (
        request.term == state.term
        and state.voted_for in (None, sender)
        and _is_up_to_date(state, request)
    )
    if granted and state.voted_for is None:
        state.enter_term(state.term, sender)
    if granted:
        state.reset_election_deadline()
    _respond(state, sender, request, granted)


def on_vote_response(state: State, sender: MemberId, response: VoteResponse) -> None:
    """Count a vote or pre-vote, or step down for a newer term."""
    if response.term > state.term and not response.granted:
        state.become_follower(response.term)
        return
    expected_term = state.term + 1 if response.pre_vote else state.term
    expected = Role.PRE_CANDIDATE if response.pre_vote else Role.CANDIDATE
    if response.granted and state.role is expected and response.asked_term == expected_term:
        state.votes.add(sender)
        _count_votes(state)


def _count_votes(state: State) -> None:
    if state.forming_voters:
        formed = Members(state.forming_voters)
        if is_majority(formed, state.votes):
            state.forming_voters = ()
            leader.become_leader(state, formed)
        return
    members = state.log.members
    if is_majority(members, state.votes):
        if state.role is Role.PRE_CANDIDATE:
            _campaign(state, state.term + 1)
        else:
            leader.become_leader(state)
        return
    if not includes_all_survivors(members, state.votes, state.superseded):
        return
    if state.role is Role.PRE_CANDIDATE:
        _campaign(state, state.term + RECOVERY_TERM_STEP, recovery=True)
    elif state.is_recovery_candidate:
        leader.become_leader(state)


def _campaign(
    state: State,
    term: int,
    transfer: bool = False,
    recovery: bool = False,
    forming: tuple[Member, ...] = (),
) -> None:
    state.role = Role.CANDIDATE
    state.is_recovery_candidate = recovery
    state.forming_voters = forming
    state.leader = None
    state.enter_term(term, state.me.id)
    state.votes = {state.me.id}
    state.reset_retry_deadline()
    _request_votes(state, term, transfer=transfer)
    _count_votes(state)


def _request_votes(state: State, term: int, pre_vote: bool = False, transfer: bool = False) -> None:
    request = VoteRequest(term, state.log.last_index, state.log.last_term, pre_vote, transfer)
    for member in state.forming_voters or state.log.members.voters:
        if member.id != state.me.id:
            state.send(member.id, request)


def _must_withhold_vote(state: State) -> bool:
    if state.role is Role.LEADER:
        return True
    return state.now_ms - state.last_leader_contact_ms < state.settings.election_timeout_min_ms


def _is_up_to_date(state: State, request: VoteRequest) -> bool:
    own_position = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own_position


def _respond(state: State, sender: MemberId, request: VoteRequest, granted: bool) -> None:
    response = VoteResponse(state.term, request.term, granted, request.pre_vote)
    state.send(sender, response)
