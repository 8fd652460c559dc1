"""Whether there is memory for another job.

Each host of the cell keeps all accepted jobs, so a flood of jobs of legal size would fill them all.
A job for which there is no room is refused before it is stored, and never runs.
"""

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass

from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger.specs import JobSpec
from agateferry_jobs.ledger.stored_sizes import new_job_bytes

DEFAULT_MEMORY_MB = 512
"""The memory that is assumed of a machine whose settings do not tell."""
HOST_MEMORY_MB = 100
"""What a host of the cell needs besides the jobs, the log and its clients."""
JOBS_SHARE = 0.35
"""The part of the rest that jobs may take; the log, snapshots and clients share the others."""
SMALL_JOB_BYTES = 64 * 1024
"""Jobs up to this size may use all room, larger ones `LARGE_SHARE` of it."""
LARGE_SHARE = 0.75
TEAM_SHARE = 0.5
"""The part of the room that one team may use where there are several."""
BYTES_PER_MB = 1024 * 1024


def max_job_bytes(memory_mb: int | None) -> int:
    """Return the room for jobs on a machine with so much memory."""
    free_mb = max(1, (memory_mb or DEFAULT_MEMORY_MB) - HOST_MEMORY_MB)
    return int(free_mb * JOBS_SHARE * BYTES_PER_MB)


class JobAdmission:
    """Count the jobs that are stored and those that are being committed, up to `max_bytes`."""

    def __init__(self, ledger: Ledger, max_bytes: int) -> None:
        self._ledger = ledger
        self._max_bytes = max_bytes
        self._committing: list[_Commit] = []

    def find_shortage(self, id: str, team: str, spec: JobSpec, now_ms: int) -> str | None:
        """Return why there is no room for a job of a team; None if there is room.

        Another attempt of a job that is being committed finds room: it must not be refused, since
        the first may be accepted.
        """
        if any(each.id == id for each in self._committing):
            return None
        size = new_job_bytes(spec)
        room = self._max_bytes * (1.0 if size <= SMALL_JOB_BYTES else LARGE_SHARE)
        if self._used_bytes(None, now_ms, room - size) + size > room:
            return "too many jobs are stored"
        team_room = room * TEAM_SHARE
        if self._has_several_teams and (
            self._used_bytes(team, now_ms, team_room - size) + size > team_room
        ):
            return "too many jobs of this team are stored"
        return None

    @contextlib.contextmanager
    def committing(self, id: str, team: str, spec: JobSpec) -> Iterator[None]:
        """Count a job as stored while it is being committed."""
        commit = _Commit(id, team, new_job_bytes(spec))
        self._committing.append(commit)
        try:
            yield
        finally:
            self._committing.remove(commit)

    @property
    def _has_several_teams(self) -> bool:
        manifest = self._ledger.manifest
        return manifest is not None and len(manifest.teams) > 1

    def _used_bytes(self, team: str | None, now_ms: int, enough: float) -> int:
        """Return the bytes of a team's jobs, or of all.

        Jobs that the next acceptance drops are only looked for where there is not enough without.
        """
        sizes = self._ledger.stored_sizes
        used = sizes.total if team is None else sizes.of_team(team)
        used += sum(each.size for each in self._committing if team in (None, each.team))
        if used <= enough:
            return used
        expired = self._ledger.expired_jobs(now_ms)
        return used - sizes.of_jobs(job for job in expired if team in (None, job.team))


@dataclass(frozen=True, slots=True)
class _Commit:
    id: str
    team: str
    size: int
