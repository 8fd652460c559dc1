"""Events that a scheduler takes and decisions that it gives.

A scheduler does no I/O. Whoever runs it, the leader of a zone's cell or a replay, passes each
event with the time to `Scheduler.step` and carries out the decisions that come back. A decision to
start counts as placed from that moment on; the caller reports what became of it by later events.
All times are milliseconds of one monotonic clock.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from agateferry_core.demand import Assignment, Demand, Shape, Urgency, Worker


@dataclass(frozen=True, slots=True)
class Team:
    """A team of this zone: its guaranteed shapes, its weight in fair shares and its queue limit."""

    name: str
    guarantee: tuple[Shape, ...] = ()
    weight: float = 1.0
    max_queued: int = 1000


@dataclass(frozen=True, slots=True)
class PolicyWeights:
    """What a deployment cares for more; the two weights are shares of one."""

    completion_time: float = 0.5
    fragmentation: float = 0.5


@dataclass(frozen=True, slots=True)
class SchedulingConfig:
    """All that operators can change at run time about decisions."""

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

    `declared_run_ms` comes from the caller and is often far off. `deadline_ms` is when an answer
    is no longer of use. `preemptible` work may be taken back; `checkpointable` work loses only what
    was done since its last checkpoint.
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
    """Say how a request that held workers came to its end."""

    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    WORKER_LOST = "worker-lost"


@dataclass(frozen=True, slots=True)
class WorkerJoined:
    """A worker announced itself, for the first time or with a changed size."""

    worker: Worker


@dataclass(frozen=True, slots=True)
class WorkerLeaving:
    """A worker takes no new work; what it runs goes on."""

    name: str


@dataclass(frozen=True, slots=True)
class WorkerLost:
    """A worker is gone; the caller reports the end of what ran there by `RequestEnded`."""

    name: str


@dataclass(frozen=True, slots=True)
class UsageReported:
    """What a worker said it used at `as_of_ms`, which lies in the past."""

    name: str
    as_of_ms: int
    slots_used: int
    accelerators_used: int


@dataclass(frozen=True, slots=True)
class RequestQueued:
    """A request waits to be placed; a preempted or failed one is queued again in the same way."""

    request: PendingRequest


@dataclass(frozen=True, slots=True)
class RequestRunning:
    """A request already holds workers, told to a scheduler that has just begun."""

    request: PendingRequest
    assignments: tuple[Assignment, ...]
    started_ms: int


@dataclass(frozen=True, slots=True)
class RequestWithdrawn:
    """A waiting request was cancelled or gave up; a request not known any more is no error."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A placed request let go of its workers.

    `run_ms` is the time it ran. `failed_workers` names the workers that the failure is laid to.
    """

    request_id: str
    reason: EndReason
    run_ms: int
    failed_workers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TeamsChanged:
    """The whole list of teams of the zone, as the records now state it."""

    teams: tuple[Team, ...]


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """The whole scheduling configuration, as the records now state it."""

    config: SchedulingConfig


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; deadlines, ageing, probes and reservations are looked at."""


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
    | Tick
)


@dataclass(frozen=True, slots=True)
class Start:
    """Run a request on these workers; its accelerators and slots are taken from now on."""

    request_id: str
    assignments: tuple[Assignment, ...]


@dataclass(frozen=True, slots=True)
class Preempt:
    """Take a running request's workers back: checkpoint it if it can, and stop it by `by_ms`.

    The caller answers with `RequestEnded(..., PREEMPTED, ...)` and queues the request again.
    """

    request_id: str
    for_request_id: str
    by_ms: int


class RejectReason(StrEnum):
    """Say why a waiting request is given up at once; also the label of its counter."""

    INFEASIBLE = "infeasible"
    TEAM_QUEUE_FULL = "team-queue-full"
    QUEUE_FULL = "queue-full"
    UNKNOWN_TEAM = "unknown-team"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    FAILS_EVERYWHERE = "fails-everywhere"


@dataclass(frozen=True, slots=True)
class Reject:
    """Give a waiting request its final answer now; nothing of it ran under this decision.

    `retry_after_ms` is None where asking again is of no use.
    """

    request_id: str
    reason: RejectReason
    detail: str
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Give a worker no work but single probes, or, with `lifted`, give it work again."""

    worker: str
    lifted: bool
    detail: str


@dataclass(frozen=True, slots=True)
class GuaranteeAtRisk:
    """The zone's remaining workers cannot lay out these teams' guaranteed shapes any more.

    An empty tuple says that all guarantees can be kept again.
    """

    teams: tuple[str, ...]
    detail: str


Decision = Start | Preempt | Reject | Quarantine | GuaranteeAtRisk


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why a request waits, what it waits for and what would let it start."""

    request_id: str
    state: str
    waits_for: str
    would_start_if: str
    details: tuple[str, ...] = field(default=())


class Scheduler(Protocol):
    """Decide what starts where; two policies, ours and the baseline, share this face."""

    def step(self, event: SchedulerEvent, now_ms: int) -> list[Decision]:
        """Take one event in and return what to do, in the order to do it."""

    def explain(self, request_id: str, now_ms: int) -> Explanation:
        """Tell why a request is where it is."""
