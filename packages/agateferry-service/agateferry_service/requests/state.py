"""The state of one request in the ledger."""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_core.demand import Demand, Urgency

NO_CHECKPOINT = -1


class RequestState(StrEnum):
    """The state of a request."""

    ACCEPTED = "accepted"
    PLACED = "placed"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    FAILED = "failed"


TERMINAL_STATES = frozenset({RequestState.FINISHED, RequestState.CANCELLED, RequestState.FAILED})
ACTIVE_STATES = frozenset({RequestState.PLACED, RequestState.RUNNING})


class Stage(StrEnum):
    """The last stage that a cancelled or failed request reached."""

    ACCEPTED = "accepted"
    PLACED = "placed"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"


class RunCertainty(StrEnum):
    """Whether any part of a request ran, as far as is known."""

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a member of an attempt runs, with the worker's incarnation when it was placed."""

    member: int
    worker: str
    incarnation: str
    accelerators: int


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """A caller's request, completed from the job record in force at its submission."""

    id: str
    team: str
    job: str
    key: str
    body_digest: bytes
    payload: str
    demand: Demand
    urgency: Urgency
    idempotent: bool
    preemptible: bool
    checkpointable: bool
    max_attempts: int
    declared_run_ms: int
    deadline_wall_ms: int
    submitted_wall_ms: int


@dataclass(slots=True)
class Request:
    """A request and its progress.

    `attempt` counts the attempts that were placed. `failures` counts the failed attempts that count
    against the request's `max_attempts`. `run` combines all attempts.
    """

    spec: RequestSpec
    state: RequestState = RequestState.ACCEPTED
    attempt: int = 0
    placements: tuple[Placement, ...] = ()
    cancelling: bool = False
    failures: int = 0
    progress: float = 0.0
    checkpoint_step: int = NO_CHECKPOINT
    run: RunCertainty = RunCertainty.NOT_RUN
    answers: tuple[str, ...] = ()
    stage: Stage | None = None
    reason: str = ""
    detail: str = ""
    ended_wall_ms: int = 0

    @property
    def id(self) -> str:
        """Return the request's id."""
        return self.spec.id

    @property
    def ended(self) -> bool:
        """Return whether the request is in a terminal state."""
        return self.state in TERMINAL_STATES

    @property
    def has_active_attempt(self) -> bool:
        """Return whether an attempt is placed or running."""
        return self.state in ACTIVE_STATES

    def reached_stage(self) -> Stage:
        """Return the last stage that the request is known to have reached."""
        if self.checkpoint_step != NO_CHECKPOINT:
            return Stage.CHECKPOINTED
        if self.run is not RunCertainty.NOT_RUN:
            return Stage.RUNNING
        if self.state is RequestState.PLACED:
            return Stage.PLACED
        return Stage.ACCEPTED


def lease_name(request_id: str, attempt: int, member: int) -> str:
    """Return the lease name of a member of an attempt, such as `vestland-1.4f1c.1.0`."""
    return f"{request_id}.{attempt}.{member}"


def parse_lease(lease: str) -> tuple[str, int, int] | None:
    """Return the request id, attempt and member of a lease name, or None if it is malformed."""
    parts = lease.rsplit(".", 2)
    if len(parts) != 3 or not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    return parts[0], int(parts[1]), int(parts[2])
