"""The state of a lease, errors of calls to workers, and the outcome of an attempt."""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_service.requests.state import NO_CHECKPOINT, RunCertainty


class LeaseState(StrEnum):
    """The state of a lease on its worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


FINAL_LEASE_STATES = frozenset({LeaseState.FINISHED, LeaseState.FAILED, LeaseState.STOPPED})


@dataclass(frozen=True, slots=True)
class LeaseView:
    """The state of a lease in a worker's reply, checked to be about the requested lease."""

    lease: str
    state: LeaseState
    progress: float = 0.0
    checkpoint_step: int = NO_CHECKPOINT
    answer: str = ""
    error: str = ""

    @property
    def final(self) -> bool:
        """Return whether the lease is in a final state."""
        return self.state in FINAL_LEASE_STATES


class WorkerErrorKind(StrEnum):
    """Why a call has no usable reply; the value also becomes a retry reason in metrics."""

    REFUSED = "refused"
    """The worker replied that it refused the call."""

    UNKNOWN_LEASE = "unknown-lease"
    """The worker's current incarnation does not know the lease."""

    UNREACHED = "unreached"
    """No connection was established, so the worker did not receive the call."""

    SILENT = "silent"
    """The call was sent and no reply came; the worker may have executed it."""

    GARBLED = "garbled"
    """The reply was truncated, malformed or about another lease."""


@dataclass(frozen=True, slots=True)
class WorkerError:
    """Why a call to a worker has no usable reply."""

    kind: WorkerErrorKind
    reason: str = ""
    detail: str = ""


class AttemptOutcome(StrEnum):
    """How an attempt ended."""

    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    ABANDONED = "abandoned"
    """This host no longer leads; the next leader resumes the attempt."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The outcome and progress of an attempt.

    `counts_as_failure` tells whether it counts against the request's `max_attempts`;
    `failed_workers` names the workers whose member failed or could not be reached.
    """

    outcome: AttemptOutcome
    answers: tuple[str, ...] = ()
    reason: str = ""
    detail: str = ""
    run: RunCertainty = RunCertainty.RAN
    progress: float = 0.0
    checkpoint_step: int = NO_CHECKPOINT
    counts_as_failure: bool = False
    failed_workers: tuple[str, ...] = ()
