"""What a worker's lists of runs tell about how runs ended."""

from collections.abc import Iterable, Mapping

from msgspec import UNSET

from agateferry_jobs.ledger import Run, WorkerIncarnation
from agateferry_jobs.ledger.commands import LossCause, RunEnded, RunOutcome
from agateferry_jobs.ledger.state import RunKey
from agateferry_jobs.workers.port import FinishedRun, RunLists
from agateferry_jobs.workers.tracked_run import Phase, TrackedRun


def run_ended(key: RunKey, tracked: TrackedRun, outcome: RunOutcome) -> RunEnded:
    """Return the end of a tracked run, with the newest checkpoint that its worker listed."""
    return RunEnded(key[0], key[1], tracked.run, outcome, tracked.checkpoint)


def run_lost(key: RunKey, tracked: TrackedRun, cause: LossCause) -> RunEnded:
    """Return the end of a tracked run that its worker can no longer report."""
    return RunEnded(key[0], key[1], tracked.run, RunOutcome.LOST, tracked.checkpoint, cause)


def listed_ends(
    finished: Iterable[FinishedRun],
    incarnation: WorkerIncarnation,
    runs: Mapping[RunKey, TrackedRun],
) -> list[RunEnded]:
    """Return the ends of runs that an incarnation lists as finished.

    A tracked run may have been ordered from an earlier incarnation of the worker; the ledger knows
    it by that one.
    """
    return [_listed_end(each, incarnation, runs.get(each.key)) for each in finished]


def _listed_end(
    finished: FinishedRun, incarnation: WorkerIncarnation, tracked: TrackedRun | None
) -> RunEnded:
    run = Run(finished.run, incarnation.id, incarnation.born)
    if tracked is not None and tracked.run.number == finished.run:
        run = tracked.run
    job, subtask = finished.key
    return RunEnded(
        job,
        subtask,
        run,
        RunOutcome(finished.outcome),
        finished.checkpoint,
        is_hung=True if tracked is not None and tracked.was_hung else UNSET,
    )


def inferred_ends(
    lists: RunLists,
    incarnation: WorkerIncarnation,
    runs: Mapping[RunKey, TrackedRun],
    poll_number: int,
) -> list[RunEnded]:
    """Return ends for runs missing from lists that would contain them had they begun.

    Only polls sent after a run reached its phase count. A run whose start is uncertain was refused;
    a confirmed one is lost. So is one ordered from an earlier incarnation, which may have begun it.
    Incomplete lists tell nothing about what is missing.
    """
    if not lists.is_complete:
        return []
    listed = {(each.key, each.run) for each in lists.running}
    listed |= {(each.key, each.run) for each in lists.finished}
    ends = []
    for key, tracked in runs.items():
        if (key, tracked.run.number) in listed or tracked.phase_since_poll >= poll_number:
            continue
        if tracked.run.born != incarnation.born:
            ends.append(run_lost(key, tracked, LossCause.CRASHED))
        elif tracked.phase is Phase.UNCERTAIN:
            ends.append(run_ended(key, tracked, RunOutcome.REFUSED))
        elif tracked.phase is Phase.CONFIRMED:
            ends.append(run_lost(key, tracked, LossCause.UNLISTED))
    return ends
