"""What the leader is asked and what it answers, and their bytes.

`OutcomeUnknown` says that the call may have had its effect; every call may be made again.
`NotLeader` and `Refused` say that it had none.
"""

from typing import ClassVar

import msgspec
from msgspec import Struct, field

from agateferry_jobs.ledger.specs import JobSpec
from agateferry_jobs.ledger.state import JobState, WorkerIncarnation
from agateferry_jobs.manifest import Manifest


class CallTarget(Struct, frozen=True):
    """Where a caller's call went and who speaks; `key` is empty where none was given."""

    host: str
    path: str
    key: str = ""


class Submit(Struct, frozen=True, tag="submit"):
    """Hand a job in; `job` is None where the body could not be read, and `parse_error` says why."""

    label: ClassVar[str] = "Submit"

    target: CallTarget = field(name="place")
    job: JobSpec | None
    parse_error: str = field(default="", name="flaw")


class GetStatus(Struct, frozen=True, tag="look"):
    """Ask how far a job got, or, without an id in the path, how many wait in a queue."""

    label: ClassVar[str] = "Look"

    target: CallTarget = field(name="place")


class Cancel(Struct, frozen=True, tag="cancel"):
    """Cancel a job."""

    label: ClassVar[str] = "Cancel"

    target: CallTarget = field(name="place")


class Heartbeat(Struct, frozen=True, tag="beat"):
    """Bring a worker's word about itself; `remaining_ms` is what a draining one has left."""

    label: ClassVar[str] = "Beat"

    worker: WorkerIncarnation
    sequence: int
    clock_ms: int = 0
    remaining_ms: int | None = None


class Deregister(Struct, frozen=True, tag="leave"):
    """Say that a worker ends."""

    label: ClassVar[str] = "Leave"

    worker: str


class InstallManifest(Struct, frozen=True, tag="install"):
    """Bring a manifest in force."""

    label: ClassVar[str] = "Install"

    manifest: Manifest


class ReadManifest(Struct, frozen=True, tag="read-manifest"):
    """Ask for the newest manifest."""

    label: ClassVar[str] = "ReadManifest"


class Ping(Struct, frozen=True, tag="ping"):
    """Ask whether a leader can be reached."""

    label: ClassVar[str] = "Ping"


Call = Submit | GetStatus | Cancel | Heartbeat | Deregister | InstallManifest | ReadManifest | Ping


class Done(Struct, frozen=True, tag="done"):
    """The call had its effect, now or before."""

    label: ClassVar[str] = "Done"


class JobStatus(Struct, frozen=True, tag="shown"):
    """A job's state."""

    label: ClassVar[str] = "Shown"

    state: JobState


class QueueDepth(Struct, frozen=True, tag="counted"):
    """How many jobs of a queue wait."""

    label: ClassVar[str] = "Counted"

    waiting: int


class UnknownQueue(Struct, frozen=True, tag="no-queue"):
    """No queue has this host and path."""

    label: ClassVar[str] = "NoQueue"


class InvalidApiKey(Struct, frozen=True, tag="bad-key"):
    """No team has this key."""

    label: ClassVar[str] = "BadKey"


class UnknownJob(Struct, frozen=True, tag="no-job"):
    """No such job is known."""

    label: ClassVar[str] = "NoJob"


class Invalid(Struct, frozen=True, tag="invalid"):
    """What was sent cannot be taken; asking again is of no use."""

    label: ClassVar[str] = "Invalid"

    reason: str


class ManifestRead(Struct, frozen=True, tag="manifest"):
    """The newest manifest as its operator sent it."""

    label: ClassVar[str] = "ManifestRead"

    source: bytes


class Refused(Struct, frozen=True, tag="refused"):
    """The call had no effect and will have none."""

    label: ClassVar[str] = "Refused"

    reason: str
    retry_after_ms: int


class NotLeader(Struct, frozen=True, tag="not-leader"):
    """Another host leads; `leader` is its name where known."""

    label: ClassVar[str] = "NotLeader"

    leader: str | None = None


class OutcomeUnknown(Struct, frozen=True, tag="uncertain"):
    """The call may have had its effect."""

    label: ClassVar[str] = "Uncertain"

    reason: str


Reply = (
    Done
    | JobStatus
    | QueueDepth
    | UnknownQueue
    | InvalidApiKey
    | UnknownJob
    | Invalid
    | ManifestRead
    | Refused
    | NotLeader
    | OutcomeUnknown
)


class ReplyEnvelope(Struct, frozen=True):
    """A reply with the hosts of the cell, so that callers of the cell learn of new ones."""

    reply: Reply
    hosts: tuple[str, ...] = ()


_call_decoder = msgspec.msgpack.Decoder(Call)
_reply_decoder = msgspec.msgpack.Decoder(ReplyEnvelope)
encode = msgspec.msgpack.Encoder().encode


def decode_call(data: bytes) -> Call:
    """Read the bytes of a question; raises msgspec.DecodeError where they are none."""
    return _call_decoder.decode(data)


def decode_reply(data: bytes) -> ReplyEnvelope:
    """Read the bytes of an answer; raises msgspec.DecodeError where they are none."""
    return _reply_decoder.decode(data)
