"""What goes in and out of a worker's lease table."""

import hashlib
import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

PLAIN_RUN_MS = 20
CHECKPOINT_STEPS = 10


class LeaseState(StrEnum):
    """Say where a lease is; the last three are final."""

    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


FINAL_STATES = frozenset({LeaseState.FINISHED, LeaseState.FAILED, LeaseState.STOPPED})


class Refusal(StrEnum):
    """Say why a call had no effect; also the `reason` of its problem details."""

    NO_CAPACITY = "no-capacity"
    LEAVING = "leaving"
    WRONG_INCARNATION = "wrong-incarnation"
    UNKNOWN_LEASE = "unknown-lease"


@dataclass(frozen=True, slots=True)
class WorkerSize:
    """What a worker has to give."""

    accelerators: int = 8
    cpu_cores: int = 64
    memory_mb: int = 262_144
    slots: int = 8
    connections: int = 64


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """What a lease asks for: one member of one attempt of a request."""

    lease: str
    request_id: str
    attempt: int
    member: int
    members: int = 1
    accelerators: int = 0
    cpu_cores: int = 1
    memory_mb: int = 256
    job: str = ""


@dataclass(frozen=True, slots=True)
class Task:
    """What a task does, as its payload says: for how long it runs and how it ends.

    A payload such as `{"run_ms": 50, "echo": "text", "fail": false, "key": "k1"}` is obeyed; any
    other text runs `PLAIN_RUN_MS` and is echoed. `key` is the caller's own name of the request.
    """

    run_ms: int
    echo: str
    fail: bool = False
    key: str = ""

    @staticmethod
    def parse(payload: str) -> "Task":
        """Read a payload; no payload is an error."""
        try:
            value = json.loads(payload)
        except ValueError:
            value = None
        if not isinstance(value, dict):
            return Task(run_ms=PLAIN_RUN_MS, echo=payload)
        return Task(
            run_ms=max(0, int(value.get("run_ms", PLAIN_RUN_MS))),
            echo=str(value.get("echo", payload)),
            fail=bool(value.get("fail", False)),
            key=str(value.get("key", "")),
        )


@dataclass(slots=True)
class Lease:
    """One lease with the progress of its task.

    `done_ms` is the work done at the reading `anchor_ms`; from there it grows by `share` for each
    millisecond that the task runs.
    """

    asked: LeaseRequest
    state: LeaseState
    lapses_ms: int | None = None
    deadline_ms: int | None = None
    task: Task = field(default_factory=lambda: Task(0, ""))
    done_ms: float = 0.0
    anchor_ms: int = 0
    share: float = 1.0
    checkpoint_step: int | None = None
    error: str = ""

    @property
    def final(self) -> bool:
        """Tell whether the lease has reached its end."""
        return self.state in FINAL_STATES

    def progress(self) -> float:
        """Return the share of the work that is done, 0 to 1."""
        if self.state is LeaseState.FINISHED:
            return 1.0
        if self.task.run_ms == 0:
            return 0.0
        return min(1.0, self.done_ms / self.task.run_ms)

    def as_json(self) -> dict[str, Any]:
        """Return the lease as the workers' interface shows it."""
        body: dict[str, Any] = {
            "lease": self.asked.lease,
            "request_id": self.asked.request_id,
            "attempt": self.asked.attempt,
            "member": self.asked.member,
            "state": str(self.state),
            "progress": round(self.progress(), 4),
            "checkpoint_step": self.checkpoint_step,
        }
        if self.state is LeaseState.FINISHED:
            raw = self.task.echo.encode()
            body["answer"] = self.task.echo
            body["length"] = len(raw)
            body["digest"] = hashlib.sha256(raw).hexdigest()
        if self.state is LeaseState.FAILED:
            body["error"] = self.error
        return body
