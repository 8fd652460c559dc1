"""Evacuated zones: how a zone is evacuated and readmitted, and which starts that rules out."""

from collections.abc import Mapping, Sequence
from enum import StrEnum

from msgspec import Struct

from agateferry_jobs.ledger.commands import EvacuateZone, ReadmitZone, RunStart
from agateferry_jobs.ledger.state import Job, WorkerIncarnation, gang_of


class Evacuation(Struct, frozen=True):
    """Since when a zone has been evacuated, in ms since the Unix epoch, and who requested it."""

    since_ms: int
    requested_by: str = ""


class EvacuationResult(StrEnum):
    """What a command that evacuates or readmits a zone did."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    """The zone was in the requested state already."""
    OUTDATED = "outdated"
    """Another command for the zone came after the revision was read, so nothing was done."""


def evacuate(
    evacuations: dict[str, Evacuation], revisions: dict[str, int], command: EvacuateZone
) -> EvacuationResult:
    """Evacuate a zone; a zone that is evacuated keeps its record."""
    is_evacuated = command.zone in evacuations
    if not is_evacuated and _is_outdated(revisions, command):
        return EvacuationResult.OUTDATED
    revisions[command.zone] = revisions.get(command.zone, 0) + 1
    if is_evacuated:
        return EvacuationResult.UNCHANGED
    evacuations[command.zone] = Evacuation(command.at_ms, command.requested_by)
    return EvacuationResult.CHANGED


def readmit(
    evacuations: dict[str, Evacuation], revisions: dict[str, int], command: ReadmitZone
) -> EvacuationResult:
    """Readmit a zone; one that is not evacuated stays as it is."""
    is_evacuated = command.zone in evacuations
    if is_evacuated and _is_outdated(revisions, command):
        return EvacuationResult.OUTDATED
    revisions[command.zone] = revisions.get(command.zone, 0) + 1
    if not is_evacuated:
        return EvacuationResult.UNCHANGED
    del evacuations[command.zone]
    return EvacuationResult.CHANGED


def startable(
    starts: Sequence[RunStart],
    jobs: Mapping[str, Job],
    workers: Mapping[str, WorkerIncarnation],
    evacuations: Mapping[str, Evacuation],
) -> tuple[RunStart, ...]:
    """Return the starts on workers outside evacuated zones.

    A gang with a member on a worker of an evacuated zone is left out whole: the other members would
    only be stopped again.
    """
    if not evacuations:
        return tuple(starts)
    ruled_out = {
        _start_group(start, jobs)
        for start in starts
        if is_evacuated(workers.get(start.run.worker), evacuations)
    }
    return tuple(start for start in starts if _start_group(start, jobs) not in ruled_out)


def is_evacuated(worker: WorkerIncarnation | None, evacuations: Mapping[str, Evacuation]) -> bool:
    """Return whether a worker is known and in an evacuated zone."""
    return worker is not None and worker.zone in evacuations


def _is_outdated(revisions: Mapping[str, int], command: EvacuateZone | ReadmitZone) -> bool:
    expected = command.revision
    return expected is not None and expected != revisions.get(command.zone, 0)


def _start_group(start: RunStart, jobs: Mapping[str, Job]) -> tuple[str, str]:
    """Return the job and the name of the gang, or of the subtask where it is in none."""
    job = jobs.get(start.job)
    if job is None or start.subtask not in job.subtasks or not job.step_of(start.subtask).is_gang:
        return start.job, start.subtask
    return start.job, gang_of(start.subtask)
