"""The teams, jobs, scheduling configuration and evacuations that are in force in this zone."""

from dataclasses import asdict, dataclass

from agateferry_scheduling.scheduler.messages import PolicyWeights, SchedulingConfig, Team
from agateferry_state.records import (
    ConfigRecord,
    EvacuationRecord,
    JobRecord,
    Kind,
    RecordStore,
    Revision,
    TeamRecord,
)

SCHEDULING = "scheduling"


@dataclass(frozen=True, slots=True)
class Catalog:
    """Read the zone's copy of the records and convert it to the scheduler's types."""

    records: RecordStore
    zone: str

    def team(self, name: str) -> Team | None:
        """Return a team with its guarantee in this zone."""
        revision = self.records.get(Kind.TEAM, name)
        return self._team(revision) if revision else None

    def teams(self) -> tuple[Team, ...]:
        """Return all teams."""
        return tuple(self._team(revision) for revision in self.records.current_revisions(Kind.TEAM))

    def team_count(self) -> int:
        """Return the number of teams."""
        return len(self.records.current_revisions(Kind.TEAM))

    def job(self, name: str) -> JobRecord | None:
        """Return a job record."""
        revision = self.records.get(Kind.JOB, name)
        record = revision.record if revision else None
        return record if isinstance(record, JobRecord) else None

    def scheduling(self) -> SchedulingConfig:
        """Return the scheduling configuration, with defaults for settings that no record states."""
        revision = self.records.get(Kind.CONFIG, SCHEDULING)
        if revision is None or not isinstance(revision.record, ConfigRecord):
            return SchedulingConfig()
        record = revision.record
        stated = {key: value for key, value in asdict(record).items() if value is not None}
        if record.weights is not None:
            weights = record.weights
            stated["weights"] = PolicyWeights(weights.completion_time, weights.fragmentation)
        return SchedulingConfig(**stated)

    def evacuation(self, zone: str = "") -> EvacuationRecord | None:
        """Return the evacuation of a zone, by default this one, or None if it is not evacuated."""
        revision = self.records.get(Kind.EVACUATION, zone or self.zone)
        record = revision.record if revision else None
        return record if isinstance(record, EvacuationRecord) and record.evacuated else None

    def _team(self, revision: Revision) -> Team:
        record = revision.record
        if not isinstance(record, TeamRecord):
            return Team(revision.name)
        guarantee = (part.shapes for part in record.guarantees if part.zone == self.zone)
        shapes = tuple(shape for part in guarantee for shape in part)
        return Team(revision.name, shapes, record.weight, record.max_queued)
