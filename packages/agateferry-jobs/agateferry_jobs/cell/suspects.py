"""Which workers are not to be trusted, by how runs on them ended.

A worker that fails everything is always free, so it draws work to itself. It is left out for a
while once runs of two jobs failed or stood still there with none done in between; one job that
fails everywhere puts no blame on a worker.
"""

from dataclasses import dataclass, field

JOBS_TO_DOUBT = 2
"""How many different jobs must fail in a row before a worker is left out."""
DOUBT_MS = 8_000
"""How long a worker is left out before it is tried again."""


@dataclass(slots=True)
class _Record:
    jobs: set[str] = field(default_factory=set)
    until_ms: int = 0


class SuspectWorkers:
    """Keep the record of each worker's life."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, int], _Record] = {}

    def note_done(self, worker: str, born: int) -> None:
        """Note that a run ended as done."""
        self._records.pop((worker, born), None)

    def note_failed(self, worker: str, born: int, job: str, now_ms: int, weight: int = 1) -> bool:
        """Note a run that failed or stood still; tell whether the worker is left out from now."""
        record = self._records.setdefault((worker, born), _Record())
        record.jobs.add(job)
        if len(record.jobs) + weight - 1 < JOBS_TO_DOUBT:
            return False
        record.until_ms = now_ms + DOUBT_MS
        return True

    def is_suspect(self, worker: str, born: int, now_ms: int) -> bool:
        """Tell whether a worker is left out now."""
        record = self._records.get((worker, born))
        return record is not None and now_ms < record.until_ms
