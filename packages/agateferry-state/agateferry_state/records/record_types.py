"""The types of records, independent of the schema in which an operator writes them.

A record has every field that any schema has. Each schema is a view of it, so that no field is lost
when callers of an older and a newer schema update the same record in turn.
"""

from dataclasses import dataclass
from enum import StrEnum

from agateferry_core.demand import Demand, Shape, Urgency


class Kind(StrEnum):
    """The kinds of records."""

    TEAM = "team"
    JOB = "job"
    CONFIG = "config"
    EVACUATION = "evacuation"


class Schema(StrEnum):
    """The schema versions in which contents are read and written."""

    V1 = "v1"
    V2 = "v2"


@dataclass(frozen=True, slots=True)
class ZoneGuarantee:
    """The groups of accelerators that a team is guaranteed in one availability zone."""

    zone: str
    shapes: tuple[Shape, ...]

    def accelerators(self) -> int:
        """Return the total number of accelerators of all shapes."""
        return sum(shape.accelerators * shape.count for shape in self.shapes)


@dataclass(frozen=True, slots=True)
class TeamRecord:
    """A team: its fair-share weight, its limit of queued requests and its guarantees per zone."""

    weight: float = 1.0
    max_queued: int = 1_000
    guarantees: tuple[ZoneGuarantee, ...] = ()


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A job: the defaults for its requests, and whether they may be retried or preempted.

    A job that is not idempotent runs at most once; `max_attempts` applies only to idempotent jobs.
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
    """The scheduler's weights of completion time and fragmentation, which add up to 1."""

    completion_time: float
    fragmentation: float


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """The scheduling configuration; None means the scheduler's default."""

    weights: WeightsRecord | None = None
    urgent_start_ms: int | None = None
    reclaim_ms: int | None = None
    large_wait_ms: int | None = None
    max_queued_total: int | None = None
    urgent_headroom_slots: int | None = None
    quarantine_after_failures: int | None = None
    quarantine_probe_ms: int | None = None


@dataclass(frozen=True, slots=True)
class EvacuationRecord:
    """Whether the zone that the record is named after is evacuated: nothing new starts there.

    `since_ms` is the wall time of the change, and `requested_by` who asked for it.
    """

    evacuated: bool = False
    since_ms: int = 0
    requested_by: str = ""


Record = TeamRecord | JobRecord | ConfigRecord | EvacuationRecord
