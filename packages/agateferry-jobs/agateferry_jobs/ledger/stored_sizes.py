"""An estimate of the memory that jobs take on each host of the cell.

An accepted job is kept as objects in the ledger, in the log and in snapshots until some time after
its end. The estimate counts what a job's size can grow by, so that the leader can tell when there
is no room for another one.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from agateferry_jobs.ledger.specs import JobSpec
from agateferry_jobs.ledger.state import Job
from agateferry_jobs.ledger.team_names import renamed

JOB_BYTES = 4 * 1024
STEP_BYTES = 1_536
SUBTASK_BYTES = 512
DEPENDENCY_BYTES = 64
CHARACTER_BYTES = 3
"""A character is in the ledger, in the log and in a snapshot."""


def spec_bytes(spec: JobSpec) -> int:
    """Return what a job takes without its subtasks."""
    size = JOB_BYTES + CHARACTER_BYTES * len(spec.payload) + STEP_BYTES * len(spec.steps)
    for step in spec.steps:
        size += DEPENDENCY_BYTES * len(step.depends_on)
        texts = len(step.image) + len(step.required_label) + len(step.data_rack)
        size += CHARACTER_BYTES * texts
    return size


def new_job_bytes(spec: JobSpec) -> int:
    """Return what a job takes when it is accepted."""
    subtasks = spec.occurrences * sum(step.count for step in spec.steps)
    return spec_bytes(spec) + SUBTASK_BYTES * subtasks


class StoredSizes:
    """The estimated bytes of all jobs of a ledger, in total and by team."""

    def __init__(self, jobs: Iterable[Job] = ()) -> None:
        self._spec_bytes: dict[str, int] = {}
        self._bytes: dict[str, int] = {}
        self._by_team: dict[str, int] = defaultdict(int)
        self.total = 0
        for job in jobs:
            self.update(job)

    def of_team(self, team: str) -> int:
        """Return the bytes of a team's jobs."""
        return self._by_team.get(team, 0)

    def of_jobs(self, jobs: Iterable[Job]) -> int:
        """Return the bytes of some of the jobs."""
        return sum(self._bytes.get(job.id, 0) for job in jobs)

    def update(self, job: Job) -> None:
        """Note a new job, or one whose number of subtasks has changed."""
        if job.id not in self._spec_bytes:
            self._spec_bytes[job.id] = spec_bytes(job.spec)
        size = self._spec_bytes[job.id] + SUBTASK_BYTES * len(job.subtasks)
        self._add(job.team, size - self._bytes.get(job.id, 0))
        self._bytes[job.id] = size

    def remove(self, job: Job) -> None:
        """Note that a job was dropped."""
        self._add(job.team, -self._bytes.pop(job.id, 0))
        self._spec_bytes.pop(job.id, None)

    def rename_teams(self, new_names: Mapping[str, str]) -> None:
        """Count the jobs of teams under their new names."""
        self._by_team = defaultdict(int, renamed(self._by_team, new_names))

    def _add(self, team: str, size: int) -> None:
        self.total += size
        self._by_team[team] += size
        if not self._by_team[team]:
            del self._by_team[team]
