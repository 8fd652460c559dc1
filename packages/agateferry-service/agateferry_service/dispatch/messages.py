"""What a worker says of a lease, why it did not answer, and how an attempt ended."""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_service.requests.state import NO_CHECKPOINT, RunCertainty


class LeaseState(StrEnum):
    """Say where a lease is, as its worker sees it."""

    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


FINAL_LEASE_STATES = frozenset({LeaseState.FINISHED, LeaseState.FAILED, LeaseState.STOPPED})


@dataclass(frozen=True, slots=True)
class LeaseView:
    """A lease as its worker described it, already checked for being the one asked about."""

    lease: str
    state: LeaseState
    progress: float = 0.0
    checkpoint_step: int = NO_CHECKPOINT
    answer: str = ""
    error: str = ""

    @property
    def final(self) -> bool:
        """Tell whether the lease will not change any more."""
        return self.state in FINAL_LEASE_STATES


class WorkerErrorKind(StrEnum):
    """Say what a missing answer tells; also the label of the counter of retries."""

    REFUSED = "refused"
    """The worker answered that it did not do it."""

    UNKNOWN_LEASE = "unknown-lease"
    """The worker has not seen this lease in its present incarnation."""

    UNREACHED = "unreached"
    """No connection came about, so the worker did not hear of it."""

    SILENT = "silent"
    """The call went out and no answer came; the worker may have acted."""

    GARBLED = "garbled"
    """An answer came that was cut short or belongs to another lease."""


@dataclass(frozen=True, slots=True)
class WorkerError:
    """Why a call to a worker has no usable answer."""

    kind: WorkerErrorKind
    reason: str = ""
    detail: str = ""


class AttemptOutcome(StrEnum):
    """Say how an attempt ended."""

    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    ABANDONED = "abandoned"
    """This host no longer leads; the next leader takes the attempt up again."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended and how far it got.

    `counts` tells whether the failure is laid to the request; `failed_workers` names the workers
    whose member failed or could not be reached.
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
