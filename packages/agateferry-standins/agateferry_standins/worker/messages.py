"""The requests, leases and refusals of a worker's lease table."""

import hashlib
import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

DEFAULT_RUN_MS = 20
CHECKPOINT_STEPS = 10


class LeaseState(StrEnum):
    """The state of a lease; the last three are final."""

    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


FINAL_STATES = frozenset({LeaseState.FINISHED, LeaseState.FAILED, LeaseState.STOPPED})


class Refusal(StrEnum):
    """Why a call was refused; also the `reason` of the problem details in the reply."""

    NO_CAPACITY = "no-capacity"
    LEAVING = "leaving"
    WRONG_INCARNATION = "wrong-incarnation"
    UNKNOWN_LEASE = "unknown-lease"


@dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """The resources of a worker, and how many leases and connections it accepts at once."""

    accelerators: int = 8
    cpu_cores: int = 64
    memory_mb: int = 262_144
    slots: int = 8
    connections: int = 64


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """The resources that a lease needs for one member of one attempt of a request.

    `lease` is the id of the lease, `members` the size of the gang, 1 for a single task.
    """

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
    """The simulated work of a task: its duration, its answer and whether it fails.

    It is read from a payload such as `{"run_ms": 50, "echo": "text", "fail": false, "key": "k1"}`;
    a task with any other payload runs for `DEFAULT_RUN_MS` and answers with the payload. `key` is
    the idempotency key of the caller's request.
    """

    run_ms: int
    echo: str
    fail: bool = False
    key: str = ""

    @staticmethod
    def parse(payload: str) -> "Task":
        """Parse a payload; every text is valid."""
        try:
            value = json.loads(payload)
        except ValueError:
            value = None
        if not isinstance(value, dict):
            return Task(run_ms=DEFAULT_RUN_MS, echo=payload)
        return Task(
            run_ms=max(0, int(value.get("run_ms", DEFAULT_RUN_MS))),
            echo=str(value.get("echo", payload)),
            fail=bool(value.get("fail", False)),
            key=str(value.get("key", "")),
        )


@dataclass(slots=True)
class Lease:
    """A lease and the progress of its task.

    `done_ms` is the work done at the time `progress_updated_ms`, in ms at full speed. It grows by
    `speed_share` times the worker's speed for each millisecond that the task runs.
    """

    request: LeaseRequest
    state: LeaseState
    reservation_expires_ms: int | None = None
    deadline_ms: int | None = None
    task: Task = field(default_factory=lambda: Task(0, ""))
    done_ms: float = 0.0
    progress_updated_ms: int = 0
    speed_share: float = 1.0
    checkpoint_step: int | None = None
    error: str = ""

    @property
    def final(self) -> bool:
        """Return whether the lease is in a final state."""
        return self.state in FINAL_STATES

    def progress(self) -> float:
        """Return the completed share of the work, 0 to 1."""
        if self.state is LeaseState.FINISHED:
            return 1.0
        if self.task.run_ms == 0:
            return 0.0
        return min(1.0, self.done_ms / self.task.run_ms)

    def as_json(self) -> dict[str, Any]:
        """Return the lease as a JSON object of the workers' HTTP interface."""
        body: dict[str, Any] = {
            "lease": self.request.lease,
            "request_id": self.request.request_id,
            "attempt": self.request.attempt,
            "member": self.request.member,
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
