"""Give up jobs whose subtasks crash their workers."""

from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.cell import events
from agateferry_jobs.cell.proposing import Proposer
from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.state import RunCrash
from agateferry_jobs.planning.crash_suspects import CrashSuspects, GuiltySubtask


class GuiltyJobs:
    """Find the jobs that are to be given up, and fail them."""

    def __init__(self, ledger: Ledger, proposer: Proposer) -> None:
        self._ledger = ledger
        self._proposer = proposer
        self._log = EventLogger()

    async def give_up(self, at_ms: int) -> list[str]:
        """Fail each job that is to be given up now; return the ids of those that failed by this."""
        failed = []
        for guilty in list(CrashSuspects(self._ledger, at_ms).guilty()):
            command = commands.GiveUpJob(guilty.job.id, guilty.subtask, guilty.reason, at_ms)
            result = await self._proposer.propose(command)
            if result.is_ok() and result.ok:
                self._log_given_up(guilty)
                failed.append(guilty.job.id)
        return failed

    def _log_given_up(self, guilty: GuiltySubtask) -> None:
        job = guilty.job
        metrics.GIVEN_UP.labels(str(job.priority)).inc()
        self._log.warning(
            events.JOB_GIVEN_UP,
            job=job.id,
            queue=job.queue,
            team=job.team,
            subtask=guilty.subtask,
            crashes=[_summary(crash) for crash in guilty.crashes],
        )


def _summary(crash: RunCrash) -> dict[str, str | int | bool]:
    return {
        "worker": crash.run.worker,
        "run": crash.run.number,
        "ran_ms": crash.ran_ms,
        "evidence": crash.evidence,
        "is_alone": crash.is_alone,
    }
