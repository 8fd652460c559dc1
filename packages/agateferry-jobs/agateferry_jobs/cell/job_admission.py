"""Whether there is memory for another job.

Each host of the cell keeps all accepted jobs, so a flood of jobs of legal size would fill them all.
A job for which there is no room is refused before it is stored, and never runs.
"""

from contextlib import AbstractContextManager

from agateferry_core.stored_room import Shortage, StoredItem, StoredRoom
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger.specs import JobSpec
from agateferry_jobs.ledger.stored_sizes import new_job_bytes
from agateferry_jobs.settings import CELL_MEMORY_MB, DEFAULT_MEMORY_MB

JOBS_SHARE = 0.35
"""The part of the rest that jobs may take; the log, snapshots and clients share the others."""
SMALL_JOB_BYTES = 64 * 1024
"""Jobs up to this size count as small, so that larger ones leave them room."""
BYTES_PER_MB = 1024 * 1024


def max_job_bytes(memory_mb: int | None) -> int:
    """Return the room for jobs on a machine with so much memory."""
    free_mb = max(1, (memory_mb or DEFAULT_MEMORY_MB) - CELL_MEMORY_MB)
    return int(free_mb * JOBS_SHARE * BYTES_PER_MB)


class JobAdmission:
    """Count the jobs that are stored and those that are being committed, up to `max_bytes`."""

    def __init__(self, ledger: Ledger, max_bytes: int) -> None:
        self._ledger = ledger
        self._room = StoredRoom(max_bytes, SMALL_JOB_BYTES)

    def find_shortage(self, item: StoredItem, now_ms: int) -> str | None:
        """Return why there is no room for a job; None if there is room."""
        manifest = self._ledger.manifest
        has_several_teams = manifest is not None and len(manifest.teams) > 1

        def used_bytes(of_team: str | None, enough: float) -> int:
            return self._used_bytes(of_team, now_ms, enough)

        match self._room.find_shortage(item, used_bytes, has_several_teams):
            case Shortage.ALL:
                return "too many jobs are stored"
            case Shortage.TEAM:
                return "too many jobs of this team are stored"
            case None:
                return None

    def committing(self, item: StoredItem) -> AbstractContextManager[None]:
        """Count a job as stored while it is being committed."""
        return self._room.committing(item)

    def _used_bytes(self, team: str | None, now_ms: int, enough: float) -> int:
        """Return the bytes of a team's jobs, or of all.

        Jobs that the next acceptance drops are only looked for where there is not enough without.
        """
        sizes = self._ledger.stored_sizes
        used = sizes.total if team is None else sizes.of_team(team)
        if used <= enough:
            return used
        expired = self._ledger.expired_jobs(now_ms)
        return used - sizes.of_jobs(job for job in expired if team in (None, job.team))


def job_item(id: str, team: str, spec: JobSpec) -> StoredItem:
    """Return a job as an item to be stored; its size is found by looking at all its steps."""
    return StoredItem(frozenset({id}), team, new_job_bytes(spec))
