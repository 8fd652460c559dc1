"""Stop runs that are obsolete, hung or in the way of others."""

from agateferry_core.clock import Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.cell import events
from agateferry_jobs.cell.suspects import SuspectWorkers
from agateferry_jobs.cell.worker_sessions import WorkerSessions
from agateferry_jobs.ledger import Ledger, Run
from agateferry_jobs.ledger.state import RunKey


class RunStops:
    """Order the stops of runs, and log and count each with its reason."""

    def __init__(
        self, ledger: Ledger, sessions: WorkerSessions, suspects: SuspectWorkers, clock: Clock
    ) -> None:
        self._ledger = ledger
        self._sessions = sessions
        self._suspects = suspects
        self._clock = clock
        self._log = EventLogger()

    def stop_obsolete(self) -> None:
        """Stop runs of jobs that have ended, and the remaining members of broken gangs."""
        for job in self._ledger.jobs.values():
            for name, subtask in job.subtasks.items():
                if subtask.active is None or subtask.is_done:
                    continue
                if job.is_over:
                    self.stop((job.id, name), subtask.active, "job is over")
                elif job.is_gang_broken(name):
                    self.stop((job.id, name), subtask.active, "gang is not whole")

    def stop_hung(self) -> None:
        """Stop runs that make no progress, and exclude their workers from new runs for a while."""
        now_ms = self._clock.now_ms()
        for session in self._sessions.by_id.values():
            if not session.health(False).answers:
                continue
            for key, tracked in list(session.runs.items()):
                if not tracked.is_hung(now_ms) or self._is_long_running(key):
                    continue
                run = tracked.run
                if self._suspects.record_failure(run.worker, run.born, key[0], now_ms, weight=2):
                    self._log.warning(events.WORKER_SUSPECT, worker=run.worker, reason="hung run")
                self.stop(key, run, "no progress")

    def _is_long_running(self, key: RunKey) -> bool:
        job = self._ledger.jobs.get(key[0])
        return job is None or job.step_of(key[1]).is_long_running

    def stop(self, key: RunKey, run: Run, reason: str, **inputs: str | int) -> None:
        """Stop a run that is not being stopped yet; the log has `inputs` that decided it."""
        if self._sessions.stop_run(key, run):
            metrics.RUNS_STOPPED.labels(reason).inc()
            self._log.info(
                events.RUN_STOPPING,
                job=key[0],
                subtask=key[1],
                run=run.number,
                reason=reason,
                **inputs,
            )
