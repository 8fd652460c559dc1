"""The commands of the replicated ledger and their encoding."""

from enum import StrEnum

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from agateferry_jobs.ledger.specs import JobSpec
from agateferry_jobs.ledger.state import Run, WorkerIncarnation
from agateferry_jobs.manifest import Manifest


class RunOutcome(StrEnum):
    """How a run ended.

    Workers report all outcomes but two, which the leader concludes: `LOST` if the worker is gone or
    no longer lists the run, `REFUSED` if it never started the run. `LAPSED` is an expired lease.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"
    REFUSED = "refused"


class LossCause(StrEnum):
    """Why the end of a run is unknown, so that it counts as `RunOutcome.LOST`."""

    CRASHED = "crashed"
    """Another incarnation took the place of a worker that had not said that it leaves."""
    SILENT = "silent"
    """The worker did not answer until its lease expired: it crashed, or cannot be reached."""
    LEFT = "left"
    """The worker said that it leaves, and did."""
    UNLISTED = "unlisted"
    """The worker answers and does not list the run, which it had confirmed."""
    UNKNOWN = "unknown"
    """The worker had gone before this leader looked."""


class CrashReport(Struct, frozen=True):
    """The crash of a worker's incarnation, which a new incarnation shows.

    The worker has not answered since `since_ms`. `uncertain_runs` are those of its runs, as job and
    subtask, that are not known to have begun.
    """

    worker: str
    born: int
    since_ms: int
    uncertain_runs: tuple[tuple[str, str], ...] = ()


class RunStart(Struct, frozen=True):
    """The intent to start a subtask; it is stored before the order is sent to the worker."""

    job: str
    subtask: str
    run: Run
    checkpoint: str = ""
    is_cold: bool = False
    """Whether the worker was cold, so that the run's duration tells nothing about others."""


class RunEnded(Struct, frozen=True):
    """The end of one run, with its newest known checkpoint."""

    job: str
    subtask: str
    run: Run
    outcome: RunOutcome = field(name="how")
    checkpoint: str = ""
    loss: LossCause | UnsetType = UNSET
    """Why the run is lost; not stored with any other outcome."""
    is_hung: bool | UnsetType = field(default=UNSET, name="hung")
    """Whether the run was stopped because it counted as hung; stored only if it was."""


class PutManifest(Struct, frozen=True, tag="manifest"):
    """Put a manifest in force if its version is higher than that of the current one.

    With `moves_teams` jobs follow their teams into it. Commands of earlier versions are without, so
    that all hosts have the same state after them, whether they replay them or read a snapshot.
    """

    manifest: Manifest
    moves_teams: bool = False


class AcceptJob(Struct, frozen=True, tag="accept"):
    """Accept a job; a second command with the same id changes nothing.

    The result is an `AcceptResult`. `host` and `path` are the address of the job, by which its
    callers know it. `call_id` names the call that submitted it; it is unset if the caller's host is
    of an earlier version. `key` and `manifest_version` are of the call's `Caller`; they are unset
    if the leader is of an earlier version.
    """

    id: str
    queue: str
    service: str
    team: str
    priority: int
    attempts: int
    at_ms: int
    spec: JobSpec
    host: str = ""
    path: str = ""
    call_id: str | UnsetType = UNSET
    key: bytes | UnsetType = UNSET
    manifest_version: int | UnsetType = UNSET


class CancelJob(Struct, frozen=True, tag="cancel"):
    """Cancel a job at its caller's request; the result is a `CancelResult`.

    With `path` it is the job of `team` at this address, whatever its id. If none is known, a
    submission of the team to the address counts as cancelled until `until_ms`. `key` and
    `manifest_version` are as in `AcceptJob`.
    """

    id: str
    at_ms: int
    host: str = ""
    path: str = ""
    team: str = ""
    until_ms: int = 0
    key: bytes | UnsetType = UNSET
    manifest_version: int | UnsetType = UNSET


class NoteWorker(Struct, frozen=True, tag="worker"):
    """Record a worker's incarnation, or its new state, and the crash of the one before it.

    `sequence` is the number of the worker's report; one with a lower number is late.
    """

    worker: WorkerIncarnation
    at_ms: int = 0
    crash: CrashReport | None = None
    sequence: int = 0


class AdmitWorker(Struct, frozen=True, tag="worker-found"):
    """Record an incarnation that was found at its address, whatever is recorded of its id.

    A `NoteWorker` has no effect if the id is recorded with a later `born`, or as gone. Such a
    record is wrong if it comes from a report of another writer.
    """

    worker: WorkerIncarnation
    sequence: int = 0


class Silence(Struct, frozen=True):
    """A worker's incarnation that is granted no lease; the last one expires in `lease_left_ms`."""

    worker: str
    born: int
    lease_left_ms: int


class NoteSilences(Struct, frozen=True, tag="silences"):
    """Record which workers are silent, and which, by id and `born`, answer again."""

    silent: tuple[Silence, ...] = ()
    answering: tuple[tuple[str, int], ...] = ()


class StartRuns(Struct, frozen=True, tag="start"):
    """Record the intent to start subtasks; starts that contradict the ledger are dropped."""

    starts: tuple[RunStart, ...]
    at_ms: int = 0


class EndRuns(Struct, frozen=True, tag="end"):
    """Record how runs ended, and in `begun` which jobs have begun.

    Earlier versions ignore `begun`, so that hosts of both can follow one log; they have no such
    record.
    """

    ends: tuple[RunEnded, ...]
    at_ms: int
    begun: tuple[str, ...] | UnsetType = UNSET


class GiveUpJob(Struct, frozen=True, tag="give-up"):
    """Fail a job because of one of its subtasks, under which too many workers have crashed."""

    id: str
    subtask: str
    reason: str
    at_ms: int


class EvacuateZone(Struct, frozen=True, tag="evacuate"):
    """Evacuate a zone, so that nothing starts on its workers until it is readmitted.

    `revision` is the zone's revision when the call was checked. If another command for the zone
    was applied since, this one comes late and does not change the zone. Without one it always does.
    """

    zone: str
    at_ms: int
    requested_by: str = ""
    revision: int | None = None


class ReadmitZone(Struct, frozen=True, tag="readmit"):
    """End the evacuation of a zone; `revision` is as in `EvacuateZone`."""

    zone: str
    at_ms: int
    revision: int | None = None


Command = (
    PutManifest
    | AcceptJob
    | CancelJob
    | NoteWorker
    | AdmitWorker
    | NoteSilences
    | StartRuns
    | EndRuns
    | GiveUpJob
    | EvacuateZone
    | ReadmitZone
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Command)


def encode(command: Command) -> bytes:
    """Encode a command."""
    return _encoder.encode(command)


def decode(data: bytes) -> Command:
    """Decode a command; raises msgspec.DecodeError if the bytes are not one."""
    return _decoder.decode(data)
