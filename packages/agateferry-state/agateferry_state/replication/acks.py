"""What an answer of a peer tells a leader, whatever it answers: that it is heard."""

from agateferry_state.members import MemberId
from agateferry_state.members.quorum import (
    highest_value_reached,
    includes_all_survivors,
    is_majority,
)
from agateferry_state.replication.leading import Leading, Progress
from agateferry_state.replication.state import State


def note_answer(state: State, sender: MemberId, term: int, round_number: int) -> Progress | None:
    """Note that a peer answered a round of this term, and return its progress."""
    leading = state.leading
    if leading is None or term != state.term or sender not in leading.peers:
        return None
    progress = leading.peers[sender]
    progress.acked_ms = state.now_ms
    progress.acked_round = max(progress.acked_round, round_number)
    confirm_round(state, leading)
    return progress


def confirm_round(state: State, leading: Leading) -> None:
    """Extend the lease to the newest round that a quorum answered."""
    rounds = {peer: progress.acked_round for peer, progress in leading.peers.items()}
    rounds[state.me.id] = leading.lease.round
    members, superseded = state.log.members, state.superseded
    confirmed = highest_value_reached(
        rounds,
        lambda ids: is_majority(members, ids) or includes_all_survivors(members, ids, superseded),
    )
    leading.lease.confirm(confirmed)
