"""Events that a scheduler receives and decisions that it returns.

A scheduler does no I/O. Its caller, the leader of a zone's cell or a trace replay, passes each
event with the current time to `Scheduler.step` and carries out the returned decisions. The
scheduler treats a request as placed as soon as it returns `Start`; the caller reports the outcome
in later events. All times are milliseconds of one monotonic clock.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from agateferry_core.demand import Assignment, Demand, Shape, Urgency, Worker


@dataclass(frozen=True, slots=True)
class Team:
    """A team of this zone: its guaranteed shapes, fair-share weight and queue limit."""

    name: str
    guarantee: tuple[Shape, ...] = ()
    weight: float = 1.0
    max_queued: int = 1000


@dataclass(frozen=True, slots=True)
class PolicyWeights:
    """Relative importance of the two objectives in a deployment; the weights add up to 1."""

    completion_time: float = 0.5
    fragmentation: float = 0.5


@dataclass(frozen=True, slots=True)
class SchedulingConfig:
    """The scheduling settings that operators can change at run time."""

    weights: PolicyWeights = PolicyWeights()
    urgent_start_ms: int = 3_600
    reclaim_ms: int = 30_000
    large_wait_ms: int = 4 * 3_600_000
    max_queued_total: int = 20_000
    urgent_headroom_slots: int = 2
    quarantine_after_failures: int = 3
    quarantine_probe_ms: int = 60_000


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request as the scheduler sees it.

    `declared_run_ms` is the caller's estimate, which is often far off. After `deadline_ms` an
    answer is no longer useful. A `checkpointable` request that is preempted loses only the progress
    since its last checkpoint.
    """

    request_id: str
    team: str
    job: str
    urgency: Urgency
    demand: Demand
    declared_run_ms: int
    submitted_ms: int
    deadline_ms: int | None = None
    preemptible: bool = True
    checkpointable: bool = False


class EndReason(StrEnum):
    """How a placed request ended."""

    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    WORKER_LOST = "worker-lost"


@dataclass(frozen=True, slots=True)
class WorkerJoined:
    """A worker registered, for the first time or with a changed capacity."""

    worker: Worker


@dataclass(frozen=True, slots=True)
class WorkerLeaving:
    """A worker is draining: it accepts no new work and continues what it runs."""

    name: str


@dataclass(frozen=True, slots=True)
class WorkerLost:
    """A worker was lost; the caller reports each request that ran there with `RequestEnded`."""

    name: str


@dataclass(frozen=True, slots=True)
class UsageReported:
    """The usage that a worker reported for `as_of_ms`, a time in the past."""

    name: str
    as_of_ms: int
    slots_used: int
    accelerators_used: int


@dataclass(frozen=True, slots=True)
class RequestQueued:
    """A request waits for placement; sent again when a preempted or failed request is requeued."""

    request: PendingRequest


@dataclass(frozen=True, slots=True)
class RequestRunning:
    """A request is already running; sent to a scheduler that has just started."""

    request: PendingRequest
    assignments: tuple[Assignment, ...]
    started_ms: int


@dataclass(frozen=True, slots=True)
class RequestWithdrawn:
    """A waiting request was cancelled or given up; an unknown request id is ignored."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A placed request ended and released its workers.

    `run_ms` is the time it ran. `failed_workers` names the workers that the failure is attributed
    to.
    """

    request_id: str
    reason: EndReason
    run_ms: int
    failed_workers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TeamsChanged:
    """The complete list of teams of the zone from the current records."""

    teams: tuple[Team, ...]


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """The complete scheduling configuration from the current records."""

    config: SchedulingConfig


@dataclass(frozen=True, slots=True)
class EvacuationChanged:
    """The zone was evacuated or readmitted: while `evacuated`, no worker accepts new work."""

    evacuated: bool


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; deadlines, ageing, probes and reservations are checked."""


SchedulerEvent = (
    WorkerJoined
    | WorkerLeaving
    | WorkerLost
    | UsageReported
    | RequestQueued
    | RequestRunning
    | RequestWithdrawn
    | RequestEnded
    | TeamsChanged
    | ConfigChanged
    | EvacuationChanged
    | Tick
)


@dataclass(frozen=True, slots=True)
class Start:
    """Run a request on these workers; its resources are allocated from now on."""

    request_id: str
    assignments: tuple[Assignment, ...]


@dataclass(frozen=True, slots=True)
class Preempt:
    """Stop a running request by `stop_by_ms`, after a checkpoint if it is checkpointable.

    The caller reports `RequestEnded(..., PREEMPTED, ...)` and then requeues the request.
    `for_request_id` is the request that needs the workers, or the request itself if it is moved.
    """

    request_id: str
    for_request_id: str
    stop_by_ms: int


class RejectReason(StrEnum):
    """Why a waiting request is rejected; the value is also a label of the rejection counter."""

    INFEASIBLE = "infeasible"
    TEAM_QUEUE_FULL = "team-queue-full"
    QUEUE_FULL = "queue-full"
    UNKNOWN_TEAM = "unknown-team"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    FAILS_EVERYWHERE = "fails-everywhere"


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject a waiting request; the request is not running.

    `retry_after_ms` is None if a retry cannot succeed.
    """

    request_id: str
    reason: RejectReason
    detail: str
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Restrict a worker to single probe requests, or end the restriction if `lifted`."""

    worker: str
    lifted: bool
    detail: str


@dataclass(frozen=True, slots=True)
class GuaranteeAtRisk:
    """The zone's remaining workers can no longer hold these teams' guaranteed shapes.

    An empty tuple means that all guarantees can be met again.
    """

    teams: tuple[str, ...]
    detail: str


Decision = Start | Preempt | Reject | Quarantine | GuaranteeAtRisk


@dataclass(frozen=True, slots=True)
class Explanation:
    """The state of a request, what it waits for and what would let it start."""

    request_id: str
    state: str
    waits_for: str
    would_start_if: str
    details: tuple[str, ...] = field(default=())


class Scheduler(Protocol):
    """The interface of both scheduling policies, fair and baseline."""

    def step(self, event: SchedulerEvent, now_ms: int) -> list[Decision]:
        """Process one event and return the decisions in the order to carry them out."""

    def explain(self, request_id: str, now_ms: int) -> Explanation:
        """Return why a request is in its current state."""
