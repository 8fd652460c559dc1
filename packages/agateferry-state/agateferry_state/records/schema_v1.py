"""Schema v1: the older contents, which show less than the internal form holds.

Reading a v1 content takes what v1 can say from the content and everything else from the record that
it replaces. So a caller of v1 that reads, changes one field and writes back loses nothing that
only v2 shows.
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
    check_total,
)
from agateferry_state.records.forms import (
    ConfigRecord,
    JobRecord,
    TeamRecord,
    WeightsRecord,
    ZoneGuarantee,
)


class JobV1(Content):
    """A job; urgency is urgent or not, and the demand is flat."""

    urgent: bool = False
    idempotent: bool = False
    members: MembersField = 1
    accelerators: AcceleratorsField = 0
    declared_run_ms: MillisecondsField = 60_000
    preemptible: bool = True
    checkpointable: bool = False
    max_attempts: AttemptsField = 3

    @model_validator(mode="after")
    def _total(self) -> Self:
        check_total(self.members, self.accelerators)
        return self


class TeamV1(Content):
    """A team; a zone's guarantee is one group of accelerators within a rack."""

    weight: WeightField = 1.0
    max_queued: QueuedField = 1_000
    guarantee_accelerators: Annotated[
        dict[ZoneField, AcceleratorsField], Field(max_length=MAX_ZONES)
    ] = {}


class ConfigV1(Content):
    """The scheduling configuration; only the weight of completion time."""

    completion_weight: ShareField | None = None


def read_job(content: JobV1, standing: JobRecord | None) -> JobRecord:
    """Return the internal form of a job, with what v1 cannot say from the standing record."""
    base = standing or JobRecord()
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


def _urgency(urgent: bool, standing: Urgency) -> Urgency:
    if urgent:
        return Urgency.URGENT
    return Urgency.NORMAL if standing is Urgency.URGENT else standing


def _demand(content: JobV1, standing: Demand) -> Demand:
    return replace(standing, members=content.members, accelerators=content.accelerators)


def read_team(content: TeamV1, standing: TeamRecord | None) -> TeamRecord:
    """Return the internal form of a team; a zone whose number is unchanged keeps its shapes."""
    base = standing or TeamRecord()
    known = {guarantee.zone: guarantee for guarantee in base.guarantees}
    guarantees = tuple(
        _guarantee(zone, accelerators, known.get(zone))
        for zone, accelerators in sorted(content.guarantee_accelerators.items())
    )
    return replace(
        base, weight=content.weight, max_queued=content.max_queued, guarantees=guarantees
    )


def _guarantee(zone: str, accelerators: int, standing: ZoneGuarantee | None) -> ZoneGuarantee:
    if standing is not None and standing.accelerators() == accelerators:
        return standing
    if accelerators == 0:
        return ZoneGuarantee(zone, ())
    return ZoneGuarantee(zone, (Shape(accelerators, Adjacency.RACK),))


def read_config(content: ConfigV1, standing: ConfigRecord | None) -> ConfigRecord:
    """Return the internal form of a configuration, with all but the weights as it stands."""
    base = standing or ConfigRecord()
    return replace(base, weights=_weights(content.completion_weight, base.weights))


def _weights(completion: float | None, standing: WeightsRecord | None) -> WeightsRecord | None:
    if completion is None:
        return None
    if standing is not None and standing.completion_time == completion:
        return standing
    return WeightsRecord(completion, 1.0 - completion)


def show_job(record: JobRecord) -> dict[str, Any]:
    """Return a job as JSON, as far as v1 can show it."""
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


def show_team(record: TeamRecord) -> dict[str, Any]:
    """Return a team as JSON, each zone's shapes as one sum of accelerators."""
    return {
        "weight": record.weight,
        "max_queued": record.max_queued,
        "guarantee_accelerators": {
            guarantee.zone: guarantee.accelerators() for guarantee in record.guarantees
        },
    }


def show_config(record: ConfigRecord) -> dict[str, Any]:
    """Return a configuration as JSON, as far as v1 can show it."""
    if record.weights is None:
        return {}
    return {"completion_weight": record.weights.completion_time}
