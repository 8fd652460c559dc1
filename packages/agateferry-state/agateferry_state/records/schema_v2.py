"""Schema v2: the current schema, which has all fields of the records."""

from dataclasses import asdict
from typing import Annotated, Any, Self

from pydantic import Field, model_validator

from agateferry_core.demand import Adjacency, Demand, Shape, Urgency
from agateferry_state.records.bounds import (
    MAX_ACCELERATORS,
    MAX_CPU_CORES,
    MAX_MEMBERS,
    MAX_MEMORY_MB,
    MAX_REQUESTED_BY_CHARS,
    MAX_SHAPES,
    MAX_WALL_MS,
    MAX_ZONES,
    AcceleratorsField,
    AdjacencyField,
    AttemptsField,
    Content,
    MembersField,
    MillisecondsField,
    QueuedField,
    ShareField,
    UrgencyField,
    WeightField,
    ZoneField,
    check_total_accelerators,
)
from agateferry_state.records.record_types import (
    ConfigRecord,
    EvacuationRecord,
    JobRecord,
    TeamRecord,
    WeightsRecord,
    ZoneGuarantee,
)

WEIGHTS_TOLERANCE = 1e-9


class DemandV2(Content):
    """The default demand of the job's requests; accelerators, cores and memory are per member."""

    members: MembersField = 1
    accelerators: AcceleratorsField = 0
    cpu_cores: Annotated[int, Field(ge=0, le=MAX_CPU_CORES)] = 1
    memory_mb: Annotated[int, Field(ge=0, le=MAX_MEMORY_MB)] = 256
    adjacency: AdjacencyField = Adjacency.ANY

    @model_validator(mode="after")
    def _check_total_accelerators(self) -> Self:
        check_total_accelerators(self.members, self.accelerators)
        return self


class JobV2(Content):
    """A job, with all fields of its record."""

    urgency: UrgencyField = Urgency.NORMAL
    idempotent: bool = False
    demand: DemandV2 = DemandV2()
    declared_run_ms: MillisecondsField = 60_000
    preemptible: bool = True
    checkpointable: bool = False
    max_attempts: AttemptsField = 3


class ShapeV2(Content):
    """`count` groups of guaranteed accelerators, each placed as close as `adjacency` says."""

    accelerators: Annotated[int, Field(ge=1, le=MAX_ACCELERATORS)]
    adjacency: AdjacencyField = Adjacency.WORKER
    count: Annotated[int, Field(ge=1, le=MAX_MEMBERS)] = 1


class ZoneGuaranteeV2(Content):
    """The shapes guaranteed to a team in one zone."""

    zone: ZoneField
    shapes: Annotated[list[ShapeV2], Field(max_length=MAX_SHAPES)] = []


class TeamV2(Content):
    """A team, with all fields of its record."""

    weight: WeightField = 1.0
    max_queued: QueuedField = 1_000
    guarantees: Annotated[list[ZoneGuaranteeV2], Field(max_length=MAX_ZONES)] = []

    @model_validator(mode="after")
    def _check_zones_are_unique(self) -> Self:
        zones = [guarantee.zone for guarantee in self.guarantees]
        if len(zones) != len(set(zones)):
            raise ValueError("guarantees name a zone twice; give each zone one entry")
        return self


class WeightsV2(Content):
    """The scheduler's weights of completion time and fragmentation, which add up to 1."""

    completion_time: ShareField
    fragmentation: ShareField

    @model_validator(mode="after")
    def _check_sum(self) -> Self:
        if abs(self.completion_time + self.fragmentation - 1.0) > WEIGHTS_TOLERANCE:
            raise ValueError("weights must add up to 1")
        return self


class ConfigV2(Content):
    """The scheduling configuration; None means the scheduler's default."""

    weights: WeightsV2 | None = None
    urgent_start_ms: MillisecondsField | None = None
    reclaim_ms: MillisecondsField | None = None
    large_wait_ms: MillisecondsField | None = None
    max_queued_total: QueuedField | None = None
    urgent_headroom_slots: QueuedField | None = None
    quarantine_after_failures: AttemptsField | None = None
    quarantine_probe_ms: MillisecondsField | None = None


class EvacuationV2(Content):
    """Whether a zone is evacuated; the same in v1, which has no older form of it."""

    evacuated: bool
    since_ms: Annotated[int, Field(ge=0, le=MAX_WALL_MS)] = 0
    requested_by: Annotated[str, Field(max_length=MAX_REQUESTED_BY_CHARS)] = ""


def read_job(content: JobV2) -> JobRecord:
    """Return a job record."""
    fields = {name: getattr(content, name) for name in JobV2.model_fields}
    return JobRecord(**{**fields, "demand": Demand(**content.demand.model_dump())})


def read_team(content: TeamV2) -> TeamRecord:
    """Return a team record, with its zones sorted by name."""
    guarantees = (
        ZoneGuarantee(entry.zone, tuple(Shape(**shape.model_dump()) for shape in entry.shapes))
        for entry in content.guarantees
    )
    ordered = tuple(sorted(guarantees, key=lambda guarantee: guarantee.zone))
    return TeamRecord(content.weight, content.max_queued, ordered)


def read_config(content: ConfigV2) -> ConfigRecord:
    """Return a configuration record."""
    fields = {name: getattr(content, name) for name in ConfigV2.model_fields}
    if content.weights is not None:
        fields["weights"] = WeightsRecord(**content.weights.model_dump())
    return ConfigRecord(**fields)


def read_evacuation(content: EvacuationV2) -> EvacuationRecord:
    """Return an evacuation record."""
    return EvacuationRecord(content.evacuated, content.since_ms, content.requested_by)


def render_job(record: JobRecord) -> dict[str, Any]:
    """Return a job as JSON."""
    demand = record.demand
    return {
        "urgency": record.urgency,
        "idempotent": record.idempotent,
        "demand": {
            "members": demand.members,
            "accelerators": demand.accelerators,
            "cpu_cores": demand.cpu_cores,
            "memory_mb": demand.memory_mb,
            "adjacency": demand.adjacency,
        },
        "declared_run_ms": record.declared_run_ms,
        "preemptible": record.preemptible,
        "checkpointable": record.checkpointable,
        "max_attempts": record.max_attempts,
    }


def render_team(record: TeamRecord) -> dict[str, Any]:
    """Return a team as JSON."""
    guarantees = [
        {"zone": entry.zone, "shapes": [_render_shape(shape) for shape in entry.shapes]}
        for entry in record.guarantees
    ]
    return {"weight": record.weight, "max_queued": record.max_queued, "guarantees": guarantees}


def _render_shape(shape: Shape) -> dict[str, Any]:
    return {
        "accelerators": shape.accelerators,
        "adjacency": shape.adjacency,
        "count": shape.count,
    }


def render_config(record: ConfigRecord) -> dict[str, Any]:
    """Return a configuration as JSON, without the fields that are None."""
    return {name: value for name, value in asdict(record).items() if value is not None}


def render_evacuation(record: EvacuationRecord) -> dict[str, Any]:
    """Return an evacuation as JSON."""
    return asdict(record)
