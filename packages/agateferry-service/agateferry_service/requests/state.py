"""What the ledger holds of one request."""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_core.demand import Demand, Urgency

NO_CHECKPOINT = -1


class RequestState(StrEnum):
    """Say where in its life a request is."""

    ACCEPTED = "accepted"
    PLACED = "placed"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    FAILED = "failed"


TERMINAL_STATES = frozenset({RequestState.FINISHED, RequestState.CANCELLED, RequestState.FAILED})
ACTIVE_STATES = frozenset({RequestState.PLACED, RequestState.RUNNING})


class Stage(StrEnum):
    """Say how far a cancelled or failed request had got."""

    ACCEPTED = "accepted"
    PLACED = "placed"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"


class RunCertainty(StrEnum):
    """Say what is known about whether any part of a request ran."""

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(frozen=True, slots=True)
class Placement:
    """The place of one member in one attempt, with the worker's incarnation at that time."""

    member: int
    worker: str
    incarnation: str
    accelerators: int


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """What a caller asked for, completed by the job record that was in force."""

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
    """A request and how far it got.

    `attempt` counts the attempts whose intent was stored. `failures` counts those that ended in a
    failure laid to the request. `run` is what is known over all attempts.
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
        """Tell whether the request has its final answer."""
        return self.state in TERMINAL_STATES

    @property
    def has_active_attempt(self) -> bool:
        """Tell whether an attempt is under way."""
        return self.state in ACTIVE_STATES

    def reached_stage(self) -> Stage:
        """Return the furthest stage that is known to have been reached."""
        if self.checkpoint_step != NO_CHECKPOINT:
            return Stage.CHECKPOINTED
        if self.run is not RunCertainty.NOT_RUN:
            return Stage.RUNNING
        if self.state is RequestState.PLACED:
            return Stage.PLACED
        return Stage.ACCEPTED


def lease_name(request_id: str, attempt: int, member: int) -> str:
    """Name the lease of one member in one attempt, such as `vestland-1.4f1c.1.0`."""
    return f"{request_id}.{attempt}.{member}"


def parse_lease(lease: str) -> tuple[str, int, int] | None:
    """Return the request id, attempt and member of a lease's name, or None for a foreign name."""
    parts = lease.rsplit(".", 2)
    if len(parts) != 3 or not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    return parts[0], int(parts[1]), int(parts[2])
