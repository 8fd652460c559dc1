"""The one internal form of records, whatever schema an operator writes.

A record holds all that any schema can say, so that each schema is a view of it and nothing is lost
when callers of an older and a newer schema take turns.
"""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_core.demand import Demand, Shape, Urgency


class Kind(StrEnum):
    """Say what a record is about."""

    TEAM = "team"
    JOB = "job"
    CONFIG = "config"


class Schema(StrEnum):
    """Name a schema version that records are read and written in."""

    V1 = "v1"
    V2 = "v2"


@dataclass(frozen=True, slots=True)
class ZoneGuarantee:
    """The shapes that a team is guaranteed in one availability zone."""

    zone: str
    shapes: tuple[Shape, ...]

    def accelerators(self) -> int:
        """Return how many accelerators the shapes take together."""
        return sum(shape.accelerators * shape.count for shape in self.shapes)


@dataclass(frozen=True, slots=True)
class TeamRecord:
    """A team: its weight in fair shares, its queue limit and its guarantees by zone."""

    weight: float = 1.0
    max_queued: int = 1_000
    guarantees: tuple[ZoneGuarantee, ...] = ()


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A kind of work: the defaults of its requests and how it may be treated.

    A job that is not idempotent runs at most once; `max_attempts` binds idempotent ones only.
    """

    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = False
    demand: Demand = Demand()
    declared_run_ms: int = 60_000
    preemptible: bool = True
    checkpointable: bool = False
    max_attempts: int = 3


@dataclass(frozen=True, slots=True)
class WeightsRecord:
    """How much completion time and fragmentation count; the two add up to one."""

    completion_time: float
    fragmentation: float


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """The scheduling configuration; None leaves a field at the scheduler's default."""

    weights: WeightsRecord | None = None
    urgent_start_ms: int | None = None
    reclaim_ms: int | None = None
    large_wait_ms: int | None = None
    max_queued_total: int | None = None
    urgent_headroom_slots: int | None = None
    quarantine_after_failures: int | None = None
    quarantine_probe_ms: int | None = None


Record = TeamRecord | JobRecord | ConfigRecord
