"""The commands of the replicated ledger, and their bytes."""

from enum import StrEnum

import msgspec
from msgspec import Struct, field

from agateferry_jobs.ledger.specs import JobSpec
from agateferry_jobs.ledger.state import Run, WorkerIncarnation
from agateferry_jobs.manifest import Manifest


class RunOutcome(StrEnum):
    """How a run ended; `LOST` and `REFUSED` are concluded here, the others told by the worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"
    REFUSED = "refused"


class RunStart(Struct, frozen=True):
    """The intent to start a subtask; it is stored before the order goes out."""

    job: str
    subtask: str
    run: Run
    checkpoint: str = ""


class RunEnded(Struct, frozen=True):
    """The end of one run, with the newest checkpoint known."""

    job: str
    subtask: str
    run: Run
    outcome: RunOutcome = field(name="how")
    checkpoint: str = ""


class PutManifest(Struct, frozen=True, tag="manifest"):
    """Bring a manifest in force where its version is the highest."""

    manifest: Manifest


class AcceptJob(Struct, frozen=True, tag="accept"):
    """Store a job."""

    id: str
    queue: str
    service: str
    team: str
    priority: int
    attempts: int
    at_ms: int
    spec: JobSpec


class CancelJob(Struct, frozen=True, tag="cancel"):
    """End a job by its caller's wish."""

    id: str
    at_ms: int


class NoteWorker(Struct, frozen=True, tag="worker"):
    """Store a worker's life, or its new state."""

    worker: WorkerIncarnation


class StartRuns(Struct, frozen=True, tag="start"):
    """Store the intent to start subtasks."""

    starts: tuple[RunStart, ...]
    at_ms: int = 0


class EndRuns(Struct, frozen=True, tag="end"):
    """Store how runs ended."""

    ends: tuple[RunEnded, ...]
    at_ms: int


Command = PutManifest | AcceptJob | CancelJob | NoteWorker | StartRuns | EndRuns

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Command)


def encode(command: Command) -> bytes:
    """Return the bytes of a command."""
    return _encoder.encode(command)


def decode(data: bytes) -> Command:
    """Read the bytes of a command; raises msgspec.DecodeError where they are none."""
    return _decoder.decode(data)
