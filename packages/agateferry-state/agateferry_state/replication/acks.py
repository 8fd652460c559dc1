"""Bookkeeping for any response to a leader: when each peer answered, and the lease."""

from agateferry_state.members import MemberId
from agateferry_state.members.quorum import (
    highest_value_reached,
    includes_all_survivors,
    is_majority,
)
from agateferry_state.replication.leader_state import LeaderState, Progress
from agateferry_state.replication.state import State


def record_response(
    state: State, sender: MemberId, term: int, round_number: int
) -> Progress | None:
    """Record that a peer answered a round of this term, and return its progress.

    Returns None where this member does not lead in that term, the sender is not a peer, or the
    round is none of this term. A peer that is in this term already answers so what this member sent
    as the leader of an earlier one.
    """
    leader_state = state.leader_state
    if leader_state is None or term != state.term or sender not in leader_state.peers:
        return None
    if not 0 < round_number <= leader_state.lease.round:
        return None
    progress = leader_state.peers[sender]
    progress.acked_ms = state.now_ms
    progress.acked_round = max(progress.acked_round, round_number)
    confirm_round(state, leader_state)
    return progress


def confirm_round(state: State, leader_state: LeaderState) -> None:
    """Extend the lease to the newest round that a quorum answered."""
    rounds = {peer: progress.acked_round for peer, progress in leader_state.peers.items()}
    rounds[state.me.id] = leader_state.lease.round
    members, superseded = state.log.members, state.superseded
    confirmed = highest_value_reached(
        rounds,
        lambda ids: is_majority(members, ids) or includes_all_survivors(members, ids, superseded),
    )
    leader_state.lease.confirm(confirmed)
