"""Stop runs that are obsolete, hung or in the way of others."""

from agateferry_core.clock import Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.cell import events
from agateferry_jobs.cell.suspects import SuspectWorkers
from agateferry_jobs.cell.worker_sessions import WorkerSessions
from agateferry_jobs.ledger import Ledger, Run
from agateferry_jobs.ledger.state import RunKey, gang_of
from agateferry_jobs.workers.tracked_run import TrackedRun

MAX_HUNG_STOPS = 5
"""How many runs of a subtask are stopped because they count as hung.

The time without progress doubles from the second one on, so a few suffice for a wrong estimate.
"""


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
        is_whole: dict[tuple[str, str], bool] = {}
        for key, run in list(self._ledger.active_runs.by_key.items()):
            job = self._ledger.jobs[key[0]]
            step = job.step_of(key[1])
            if job.subtasks[key[1]].is_done:
                continue
            if job.is_over:
                self.stop(key, run, "job is over")
            elif step.is_gang:
                gang = (job.id, gang_of(key[1]))
                if gang not in is_whole:
                    active = self._ledger.progress_of(job).active_in(gang[1])
                    is_whole[gang] = active == step.count
                if not is_whole[gang]:
                    self.stop(key, run, "gang is not whole")

    def stop_hung(self) -> None:
        """Stop runs that make no progress, and exclude their workers from new runs for a while.

        A subtask of which `MAX_HUNG_STOPS` runs were stopped for this is left at work: its estimate
        or its worker's reports are wrong, and it would never end.
        """
        now_ms = self._clock.now_ms()
        for session in self._sessions.by_id.values():
            if not session.health(False).answers:
                continue
            for key, tracked in list(session.runs.items()):
                if tracked.is_left_at_work or not self._is_hung(key, tracked, now_ms):
                    continue
                run = tracked.run
                if self._hung_stops(key) >= MAX_HUNG_STOPS:
                    self._leave_at_work(key, tracked)
                    continue
                tracked.was_hung = True
                if self._suspects.record_failure(run.worker, run.born, key[0], now_ms, weight=2):
                    self._log.warning(events.WORKER_SUSPECT, worker=run.worker, reason="hung run")
                self.stop(key, run, "no progress")

    def _is_hung(self, key: RunKey, tracked: TrackedRun, now_ms: int) -> bool:
        """Return whether a run has shown no progress for longer than its duration explains."""
        if not tracked.is_hung(now_ms):
            return False
        job = self._ledger.jobs.get(key[0])
        if job is None:
            return False
        step = job.step_of(key[1])
        corrected_ms = self._ledger.expected_duration_ms(job.queue, step.estimated_ms)
        expected_ms = max(step.estimated_ms, corrected_ms)
        is_hung = tracked.is_hung(now_ms, expected_ms, self._hung_stops(key))
        return is_hung and not step.is_long_running

    def _hung_stops(self, key: RunKey) -> int:
        job = self._ledger.jobs.get(key[0])
        subtask = job.subtasks.get(key[1]) if job is not None else None
        return subtask.hung_stops if subtask is not None else 0

    def _leave_at_work(self, key: RunKey, tracked: TrackedRun) -> None:
        tracked.is_left_at_work = True
        metrics.RUNS_LEFT_AT_WORK.inc()
        run = tracked.run
        self._log.warning(
            events.RUN_LEFT_AT_WORK,
            job=key[0],
            subtask=key[1],
            run=run.number,
            worker=run.worker,
            percent=tracked.percent,
        )

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
