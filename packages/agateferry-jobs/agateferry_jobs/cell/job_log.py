"""Log and count the starts and ends of runs, and the ends of jobs."""

from msgspec import UNSET

from agateferry_core.clock import MS_PER_S
from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.cell import events
from agateferry_jobs.ledger import Ledger, commands


class JobLog:
    """Log and count what was committed about jobs and their runs."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._log = EventLogger()

    def run_started(self, start: commands.RunStart, now_ms: int) -> None:
        """Log a run that was placed, and observe the wait of its job if it is the first."""
        self._log.info(
            events.RUN_STARTED,
            job=start.job,
            subtask=start.subtask,
            run=start.run.number,
            worker=start.run.worker,
        )
        if start.subtask == "0.0.0" and start.run.number == 1:
            job = self._ledger.jobs[start.job]
            waited_s = (now_ms - job.accepted_ms) / MS_PER_S
            metrics.FIRST_START_SECONDS.labels(str(job.priority)).observe(waited_s)

    def run_ended(self, end: commands.RunEnded) -> None:
        """Log and count a run that ended."""
        self._log.info(
            events.RUN_ENDED,
            job=end.job,
            subtask=end.subtask,
            run=end.run.number,
            worker=end.run.worker,
            how=end.outcome,
            saved=bool(end.checkpoint),
            **({"loss": end.loss} if end.loss is not UNSET else {}),
        )
        metrics.RUNS_ENDED.labels(end.outcome.value).inc()
        if end.loss is not UNSET:
            metrics.RUNS_LOST.labels(end.loss.value).inc()

    def job_ended(self, id: str, at_ms: int) -> None:
        """Log and count a job if it ended by the command applied at `at_ms`."""
        job = self._ledger.jobs.get(id)
        if job is not None and job.is_over and job.ended_ms == at_ms:
            metrics.ENDED.labels(job.state.value).inc()
            self._log.info(events.JOB_ENDED, job=job.id, state=job.state)
