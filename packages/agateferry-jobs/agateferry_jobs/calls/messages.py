"""Calls to the leader, its replies, and their encoding as MessagePack.

`OutcomeUnknown` means that the call may have had its effect. Every call may be repeated.
`NotLeader` and `Refused` mean that it had none.

`label` is the text of a message in metrics and logs.
"""

from typing import ClassVar

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from agateferry_jobs.ledger.specs import JobSpec
from agateferry_jobs.ledger.state import JobState, WorkerIncarnation
from agateferry_jobs.manifest import Manifest


class CallTarget(Struct, frozen=True):
    """The host and path that a caller addressed, and its API key; empty where none was given."""

    host: str
    path: str
    key: str = ""


class Submit(Struct, frozen=True, tag="submit"):
    """Submit a job; `job` is None where the body could not be parsed, as `parse_error` says.

    All attempts of one call have the same `call_id`. It tells them from a new call of the caller,
    whose key and route are checked anew.
    """

    label: ClassVar[str] = "Submit"

    target: CallTarget = field(name="place")
    job: JobSpec | None
    parse_error: str = field(default="", name="flaw")
    call_id: str | UnsetType = UNSET


class GetStatus(Struct, frozen=True, tag="look"):
    """Get a job's state or, without an id in the path, the number of jobs that wait in a queue."""

    label: ClassVar[str] = "Look"

    target: CallTarget = field(name="place")


class Cancel(Struct, frozen=True, tag="cancel"):
    """Cancel a job."""

    label: ClassVar[str] = "Cancel"

    target: CallTarget = field(name="place")


class Heartbeat(Struct, frozen=True, tag="beat"):
    """Report a worker's state; one with a lower `sequence` than an earlier one is ignored.

    `clock_ms` reads the worker's clock; `remaining_ms` is the time that a draining worker has left.
    For `cold_remaining_ms` more, runs that start on the worker are slow; 0 if it is not cold.
    """

    label: ClassVar[str] = "Beat"

    worker: WorkerIncarnation
    sequence: int
    clock_ms: int = 0
    remaining_ms: int | None = None
    cold_remaining_ms: int = 0


class HeartbeatBatch(Struct, frozen=True, tag="beats"):
    """Report the states of several workers; the reply is `HeartbeatReplies`."""

    label: ClassVar[str] = "Beats"

    heartbeats: tuple[Heartbeat, ...]


class Deregister(Struct, frozen=True, tag="leave"):
    """Report that a worker shuts down."""

    label: ClassVar[str] = "Leave"

    worker: str


class InstallManifest(Struct, frozen=True, tag="install"):
    """Put a manifest in force if it is newer than the current one."""

    label: ClassVar[str] = "Install"

    manifest: Manifest


class ReadManifest(Struct, frozen=True, tag="read-manifest"):
    """Get the newest manifest."""

    label: ClassVar[str] = "ReadManifest"


class Ping(Struct, frozen=True, tag="ping"):
    """Check that the leader can be reached."""

    label: ClassVar[str] = "Ping"


class EvacuateZone(Struct, frozen=True, tag="evacuate"):
    """Evacuate a zone, so that nothing starts on its workers until it is readmitted.

    `revision` is that of the zone in the reply to `ReadEvacuations`, which was asked for while the
    caller was still connected. A call with an older revision gets `Outdated`.
    """

    label: ClassVar[str] = "EvacuateZone"

    zone: str
    requested_by: str = ""
    revision: int | None = None


class ReadmitZone(Struct, frozen=True, tag="readmit"):
    """End the evacuation of a zone; `revision` is as in `EvacuateZone`."""

    label: ClassVar[str] = "ReadmitZone"

    zone: str
    requested_by: str = ""
    revision: int | None = None


class ReadEvacuations(Struct, frozen=True, tag="read-evacuations"):
    """Get the evacuated zones and the revisions of all zones that were ever evacuated."""

    label: ClassVar[str] = "ReadEvacuations"


Call = (
    Submit
    | GetStatus
    | Cancel
    | Heartbeat
    | HeartbeatBatch
    | Deregister
    | InstallManifest
    | ReadManifest
    | Ping
    | EvacuateZone
    | ReadmitZone
    | ReadEvacuations
)


class Done(Struct, frozen=True, tag="done"):
    """The call had its effect, now or before."""

    label: ClassVar[str] = "Done"


class JobStatus(Struct, frozen=True, tag="shown"):
    """The state of a job and, if it failed, why."""

    label: ClassVar[str] = "Shown"

    state: JobState
    reason: str | UnsetType = UNSET


class QueueDepth(Struct, frozen=True, tag="counted"):
    """The number of jobs in a queue that have not started."""

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
    """The call cannot be accepted as it is; repeating it does not help."""

    label: ClassVar[str] = "Invalid"

    reason: str


class ManifestRead(Struct, frozen=True, tag="manifest"):
    """The newest manifest, in the bytes that its operator sent."""

    label: ClassVar[str] = "ManifestRead"

    source: bytes


class EvacuatedZone(Struct, frozen=True):
    """An evacuated zone, since when, at whose request, and how many runs are still there."""

    zone: str
    since_ms: int
    requested_by: str
    runs: int


class EvacuationsRead(Struct, frozen=True, tag="evacuations"):
    """The evacuated zones by name, and the revision of each zone; one that is missing has 0."""

    label: ClassVar[str] = "EvacuationsRead"

    zones: tuple[EvacuatedZone, ...] = ()
    revisions: dict[str, int] = {}


class Outdated(Struct, frozen=True, tag="outdated"):
    """The call had no effect, since another call for the same zone was handled after its check."""

    label: ClassVar[str] = "Outdated"


class Refused(Struct, frozen=True, tag="refused"):
    """The call had no effect and will have none; it may be repeated after `retry_after_ms`."""

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


HeartbeatReply = Done | NotLeader | OutcomeUnknown
"""The reply to one heartbeat."""


class HeartbeatReplies(Struct, frozen=True, tag="beats-noted"):
    """The replies to the heartbeats of a batch, in their order."""

    label: ClassVar[str] = "BeatsNoted"

    replies: tuple[HeartbeatReply, ...]


Reply = (
    Done
    | HeartbeatReplies
    | JobStatus
    | QueueDepth
    | UnknownQueue
    | InvalidApiKey
    | UnknownJob
    | Invalid
    | ManifestRead
    | EvacuationsRead
    | Outdated
    | Refused
    | NotLeader
    | OutcomeUnknown
)


class ReplyEnvelope(Struct, frozen=True):
    """A reply with the hosts of the cell, so that clients learn of new hosts."""

    reply: Reply
    hosts: tuple[str, ...] = ()


_call_decoder = msgspec.msgpack.Decoder(Call)
_reply_decoder = msgspec.msgpack.Decoder(ReplyEnvelope)
encode = msgspec.msgpack.Encoder().encode


def decode_call(data: bytes) -> Call:
    """Decode a call; raises msgspec.DecodeError where the bytes are not one."""
    return _call_decoder.decode(data)


def decode_reply(data: bytes) -> ReplyEnvelope:
    """Decode a reply with its envelope; raises msgspec.DecodeError where the bytes are not one."""
    return _reply_decoder.decode(data)
