"""What members say to each other; each message names the sender's term."""

from dataclasses import dataclass

from agateferry_state.members.members import Member
from agateferry_state.replication.entries import LogEntry, SnapshotMeta


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
