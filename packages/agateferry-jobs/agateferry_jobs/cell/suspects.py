"""Workers that get no new runs for a while because runs failed there.

A worker on which every run fails is always free, so the planner would choose it again and again. It
is excluded once runs of two different jobs failed there with no successful run in between, so that
one job that fails everywhere excludes no worker. A hung run has weight 2 and excludes its worker
alone.
"""

from dataclasses import dataclass, field

from agateferry_jobs.ledger.state import WorkerKey

FAILED_JOBS_TO_EXCLUDE = 2
"""How many different jobs must fail on a worker, with no success in between, to exclude it."""
EXCLUSION_MS = 8_000
"""How long a worker gets no new runs; then it is tried again."""


@dataclass(slots=True)
class _Record:
    failed_jobs: set[str] = field(default_factory=set)
    excluded_until_ms: int = 0


class SuspectWorkers:
    """Record failed runs by worker incarnation, that is by a worker's id and `born`."""

    def __init__(self) -> None:
        self._records: dict[WorkerKey, _Record] = {}

    def record_success(self, worker: str, born: int) -> None:
        """Forget the failures recorded for a worker; called when a run ended as done."""
        self._records.pop((worker, born), None)

    def record_failure(
        self, worker: str, born: int, job: str, now_ms: int, weight: int = 1
    ) -> bool:
        """Record a failed or hung run; return whether the worker is excluded from now on.

        The run counts as `weight` failed jobs.
        """
        record = self._records.setdefault((worker, born), _Record())
        record.failed_jobs.add(job)
        if len(record.failed_jobs) + weight - 1 < FAILED_JOBS_TO_EXCLUDE:
            return False
        record.excluded_until_ms = now_ms + EXCLUSION_MS
        return True

    def is_suspect(self, worker: str, born: int, now_ms: int) -> bool:
        """Return whether a worker is excluded now."""
        record = self._records.get((worker, born))
        return record is not None and now_ms < record.excluded_until_ms
