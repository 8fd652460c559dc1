"""How a worker's incarnation ended, and what becomes of its runs."""

from agateferry_jobs.ledger import Run, WorkerIncarnation, WorkerState, commands
from agateferry_jobs.ledger.commands import CrashReport, LossCause
from agateferry_jobs.ledger.state import RunKey
from agateferry_jobs.workers.session import WorkerSession


def lost_run_end(key: RunKey, run: Run) -> commands.RunEnded:
    """Return the end of a run whose worker had gone before this leader looked."""
    return commands.RunEnded(key[0], key[1], run, commands.RunOutcome.LOST, loss=LossCause.UNKNOWN)


def cause_of_replacement(incarnation: WorkerIncarnation) -> LossCause:
    """Return how an incarnation ended whose place another one has taken."""
    is_leaving = incarnation.state is not WorkerState.READY
    return LossCause.LEFT if is_leaving else LossCause.CRASHED


def crash_report(
    incarnation: WorkerIncarnation,
    session: WorkerSession | None,
    now_ms: int,
    may_have_restarted: bool,
) -> CrashReport:
    """Report that an incarnation crashed; `session` is the one with it, `now_ms` the wall clock.

    Without a session the crash may have been at any time up to now. If the worker may have started
    again under its id, runs that the incarnation did not list may have begun on the new one.
    """
    if session is None:
        return CrashReport(incarnation.id, incarnation.born, now_ms)
    since_ms = now_ms - session.failing_for_ms()
    uncertain_runs = session.uncertain_runs(may_have_restarted)
    return CrashReport(incarnation.id, incarnation.born, since_ms, uncertain_runs)


def departed_record(incarnation: WorkerIncarnation) -> WorkerIncarnation:
    """Return the record of an incarnation that has ended."""
    return WorkerIncarnation(
        incarnation.id,
        incarnation.born,
        incarnation.service,
        incarnation.address,
        incarnation.zone,
        incarnation.capacity,
        state=WorkerState.GONE,
    )
