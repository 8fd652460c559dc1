"""What the leader is asked and what it answers, and their bytes.

`Uncertain` says that the call may have had its effect; every call may be made again. `NotLeader`
and `Refused` say that it had none.
"""

import msgspec
from msgspec import Struct

from agateferry_jobs.ledger.specs import JobSpec
from agateferry_jobs.ledger.state import JobState, WorkerIncarnation
from agateferry_jobs.manifest import Manifest


class Place(Struct, frozen=True):
    """Where a caller's call went and who speaks; `key` is empty where none was given."""

    host: str
    path: str
    key: str = ""


class Submit(Struct, frozen=True, tag="submit"):
    """Hand a job in; `job` is None where the body could not be read, and `flaw` says why."""

    place: Place
    job: JobSpec | None
    flaw: str = ""


class Look(Struct, frozen=True, tag="look"):
    """Ask how far a job got, or, without an id in the path, how many wait in a queue."""

    place: Place


class Cancel(Struct, frozen=True, tag="cancel"):
    """Cancel a job."""

    place: Place


class Beat(Struct, frozen=True, tag="beat"):
    """Bring a worker's word about itself; `remaining_ms` is what a draining one has left."""

    worker: WorkerIncarnation
    sequence: int
    clock_ms: int = 0
    remaining_ms: int | None = None


class Leave(Struct, frozen=True, tag="leave"):
    """Say that a worker ends."""

    worker: str


class Install(Struct, frozen=True, tag="install"):
    """Bring a manifest in force."""

    manifest: Manifest


class ReadManifest(Struct, frozen=True, tag="read-manifest"):
    """Ask for the newest manifest."""


class Ping(Struct, frozen=True, tag="ping"):
    """Ask whether a leader can be reached."""


Ask = Submit | Look | Cancel | Beat | Leave | Install | ReadManifest | Ping


class Done(Struct, frozen=True, tag="done"):
    """The call had its effect, now or before."""


class Shown(Struct, frozen=True, tag="shown"):
    """A job's state."""

    state: JobState


class Counted(Struct, frozen=True, tag="counted"):
    """How many jobs of a queue wait."""

    waiting: int


class NoQueue(Struct, frozen=True, tag="no-queue"):
    """No queue has this host and path."""


class BadKey(Struct, frozen=True, tag="bad-key"):
    """No team has this key."""


class NoJob(Struct, frozen=True, tag="no-job"):
    """No such job is known."""


class Invalid(Struct, frozen=True, tag="invalid"):
    """What was sent cannot be taken; asking again is of no use."""

    reason: str


class ManifestRead(Struct, frozen=True, tag="manifest"):
    """The newest manifest as its operator sent it."""

    source: bytes


class Refused(Struct, frozen=True, tag="refused"):
    """The call had no effect and will have none."""

    reason: str
    retry_after_ms: int


class NotLeader(Struct, frozen=True, tag="not-leader"):
    """Another host leads; `leader` is its name where known."""

    leader: str | None = None


class Uncertain(Struct, frozen=True, tag="uncertain"):
    """The call may have had its effect."""

    reason: str


Reply = (
    Done
    | Shown
    | Counted
    | NoQueue
    | BadKey
    | NoJob
    | Invalid
    | ManifestRead
    | Refused
    | NotLeader
    | Uncertain
)


class Answer(Struct, frozen=True):
    """A reply with the hosts of the cell, so that callers of the cell learn of new ones."""

    reply: Reply
    hosts: tuple[str, ...] = ()


_ask_decoder = msgspec.msgpack.Decoder(Ask)
_answer_decoder = msgspec.msgpack.Decoder(Answer)
encode = msgspec.msgpack.Encoder().encode


def decode_ask(data: bytes) -> Ask:
    """Read the bytes of a question; raises msgspec.DecodeError where they are none."""
    return _ask_decoder.decode(data)


def decode_answer(data: bytes) -> Answer:
    """Read the bytes of an answer; raises msgspec.DecodeError where they are none."""
    return _answer_decoder.decode(data)
