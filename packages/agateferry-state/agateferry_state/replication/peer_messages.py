"""Messages between members; each carries the sender's term."""

from dataclasses import dataclass

from agateferry_state.members.members import Member
from agateferry_state.replication.entries import LogEntry, SnapshotMeta


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Ask for a vote, or with `pre_vote` whether a vote would be granted (Ongaro 2014, 9.6).

    `transfer` marks a candidate that the leader itself told to start an election. Voters then don't
    withhold their votes although they recently heard from the leader.
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
    """Send the entries after `prev_index`, or none as a heartbeat.

    `round` is the number of the leader's current round of sends. The response repeats it, so that
    the leader knows that the acknowledgement is not older than the start of that round.
    """

    term: int
    prev_index: int
    prev_term: int
    commit_index: int
    round: int
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class AppendResponse:
    """Acknowledge durable entries up to `match_index`, or report that the logs differ.

    Where `success` is false, `hint_index` is the last index at which the logs may agree, from which
    the leader tries again, and `hint_term` the term of the follower's entry there (0 where it has
    none). A response with a newer `term` carries no hint: its recipient must step down. With
    `is_stopping` the sender is about to stop, and a learner that caught up should take its vote.
    """

    term: int
    round: int
    success: bool
    match_index: int = 0
    hint_index: int = 0
    hint_term: int = 0
    is_stopping: bool = False


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Send the part of a snapshot that starts at byte `offset`."""

    term: int
    meta: SnapshotMeta
    offset: int
    data: bytes
    round: int


@dataclass(frozen=True, slots=True)
class SnapshotResponse:
    """Ask for the part that starts at byte `next_offset`, or report that all is `installed`."""

    term: int
    round: int
    index: int
    next_offset: int
    installed: bool = False


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Tell a caught-up follower to start an election at once (Ongaro 2014, 3.10)."""

    term: int


@dataclass(frozen=True, slots=True)
class Greeting:
    """Announce the incarnation that runs on the sender's host, and whether its log is empty.

    `nonce` is 0 in a greeting sent without a request, and else that of the `GreetingRequest` which
    it answers. Only a greeting with the recipient's own nonce proves that the incarnation runs now.
    A sender that `joins_only` forms no cell: it was restarted after the first start.
    """

    term: int
    member: Member
    is_empty: bool
    nonce: int = 0
    joins_only: bool = False


@dataclass(frozen=True, slots=True)
class GreetingRequest:
    """Ask a member to send its greeting with this nonce, as proof that it runs now."""

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
