"""Which jobs have begun, as the cell stores it.

A start is committed before it is ordered, and its worker may reject it or never answer. So a job
counts as begun only once a worker has confirmed a start, lists a run, or reports how one ended.
"""

from agateferry_core.logs import EventLogger
from agateferry_jobs.cell import events
from agateferry_jobs.cell.proposing import Proposer
from agateferry_jobs.ledger import Job, Ledger, commands


class BegunJobs:
    """Commit which jobs have begun since this host leads."""

    def __init__(self, ledger: Ledger, proposer: Proposer) -> None:
        self._ledger = ledger
        self._proposer = proposer
        self._found: set[str] = set()
        self._log = EventLogger()

    def run_begun(self, id: str) -> None:
        """Record that a run of a job has begun."""
        self._found.add(id)

    def has_begun(self, job: Job) -> bool:
        """Return whether a job has begun, also if that is not committed yet."""
        return job.has_begun or job.id in self._found

    def clear(self) -> None:
        """Forget what was found, as another host leads."""
        self._found.clear()

    async def commit(self, at_ms: int) -> None:
        """Commit what was found; what could not be committed is tried again with the next call."""
        self._found = set(filter(self._is_new, self._found))
        if not self._found:
            return
        found = tuple(sorted(self._found))
        result = await self._proposer.propose(commands.EndRuns((), at_ms, begun=found))
        if result.is_ok():
            self._log.info(events.JOBS_BEGUN, jobs=list(found))

    def _is_new(self, id: str) -> bool:
        """Return whether the ledger lacks that a job has begun, and needs it."""
        job = self._ledger.jobs.get(id)
        return job is not None and not job.has_begun and not job.is_over
