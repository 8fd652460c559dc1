"""Schema v1: the older schema, which lacks some fields of the records.

Reading a v1 content takes the fields of v1 from the content and all others from the record that it
replaces. So a v1 caller that reads a record, changes one field and writes it back keeps the values
of the fields that only v2 has.
"""

from dataclasses import replace
from typing import Annotated, Any, Self

from pydantic import Field, model_validator

from agateferry_core.demand import Adjacency, Demand, Shape, Urgency
from agateferry_state.records.bounds import (
    MAX_ZONES,
    AcceleratorsField,
    AttemptsField,
    Content,
    MembersField,
    MillisecondsField,
    QueuedField,
    ShareField,
    WeightField,
    ZoneField,
    check_total_accelerators,
)
from agateferry_state.records.record_types import (
    ConfigRecord,
    JobRecord,
    TeamRecord,
    WeightsRecord,
    ZoneGuarantee,
)


class JobV1(Content):
    """A job; its urgency is a boolean, and the fields of its demand are not nested."""

    urgent: bool = False
    idempotent: bool = False
    members: MembersField = 1
    accelerators: AcceleratorsField = 0
    declared_run_ms: MillisecondsField = 60_000
    preemptible: bool = True
    checkpointable: bool = False
    max_attempts: AttemptsField = 3

    @model_validator(mode="after")
    def _check_total_accelerators(self) -> Self:
        check_total_accelerators(self.members, self.accelerators)
        return self


class TeamV1(Content):
    """A team; the guarantee in a zone is one number of accelerators."""

    weight: WeightField = 1.0
    max_queued: QueuedField = 1_000
    guarantee_accelerators: Annotated[
        dict[ZoneField, AcceleratorsField], Field(max_length=MAX_ZONES)
    ] = {}


class ConfigV1(Content):
    """The scheduling configuration, of which v1 has only the weight of completion time."""

    completion_weight: ShareField | None = None


def read_job(content: JobV1, current: JobRecord | None) -> JobRecord:
    """Return a job record; fields that v1 lacks are taken from `current` or are the defaults."""
    base = current or JobRecord()
    return replace(
        base,
        urgency=_urgency(content.urgent, base.urgency),
        idempotent=content.idempotent,
        demand=_demand(content, base.demand),
        declared_run_ms=content.declared_run_ms,
        preemptible=content.preemptible,
        checkpointable=content.checkpointable,
        max_attempts=content.max_attempts,
    )


def _urgency(urgent: bool, current: Urgency) -> Urgency:
    if urgent:
        return Urgency.URGENT
    return Urgency.NORMAL if current is Urgency.URGENT else current


def _demand(content: JobV1, current: Demand) -> Demand:
    return replace(current, members=content.members, accelerators=content.accelerators)


def read_team(content: TeamV1, current: TeamRecord | None) -> TeamRecord:
    """Return a team record.

    A zone keeps its current shapes if its number of accelerators is unchanged. Otherwise its
    guarantee becomes one group of accelerators within a rack, or none if the number is 0.
    """
    base = current or TeamRecord()
    current_guarantees = {guarantee.zone: guarantee for guarantee in base.guarantees}
    guarantees = tuple(
        _guarantee(zone, accelerators, current_guarantees.get(zone))
        for zone, accelerators in sorted(content.guarantee_accelerators.items())
    )
    return replace(
        base, weight=content.weight, max_queued=content.max_queued, guarantees=guarantees
    )


def _guarantee(zone: str, accelerators: int, current: ZoneGuarantee | None) -> ZoneGuarantee:
    if current is not None and current.accelerators() == accelerators:
        return current
    if accelerators == 0:
        return ZoneGuarantee(zone, ())
    return ZoneGuarantee(zone, (Shape(accelerators, Adjacency.RACK),))


def read_config(content: ConfigV1, current: ConfigRecord | None) -> ConfigRecord:
    """Return a configuration record; all fields but the weights are taken from `current`."""
    base = current or ConfigRecord()
    return replace(base, weights=_weights(content.completion_weight, base.weights))


def _weights(completion: float | None, current: WeightsRecord | None) -> WeightsRecord | None:
    if completion is None:
        return None
    if current is not None and current.completion_time == completion:
        return current
    return WeightsRecord(completion, 1.0 - completion)


def render_job(record: JobRecord) -> dict[str, Any]:
    """Return the v1 fields of a job as JSON."""
    return {
        "urgent": record.urgency is Urgency.URGENT,
        "idempotent": record.idempotent,
        "members": record.demand.members,
        "accelerators": record.demand.accelerators,
        "declared_run_ms": record.declared_run_ms,
        "preemptible": record.preemptible,
        "checkpointable": record.checkpointable,
        "max_attempts": record.max_attempts,
    }


def render_team(record: TeamRecord) -> dict[str, Any]:
    """Return a team as JSON, with the total number of guaranteed accelerators of each zone."""
    return {
        "weight": record.weight,
        "max_queued": record.max_queued,
        "guarantee_accelerators": {
            guarantee.zone: guarantee.accelerators() for guarantee in record.guarantees
        },
    }


def render_config(record: ConfigRecord) -> dict[str, Any]:
    """Return the v1 fields of a configuration as JSON."""
    if record.weights is None:
        return {}
    return {"completion_weight": record.weights.completion_time}
