"""Which workers are fast enough for subtasks to be in time."""

from agateferry_jobs.ledger import Job
from agateferry_jobs.planning.fleet import Fleet
from agateferry_jobs.planning.options import PolicyOptions
from agateferry_jobs.planning.ranks import BORROWED_RANK, GUARANTEED_RANK
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.timing import Timing

GUARANTEED_PACE_WAIT_MS = 1_000
"""How long work within its team's guarantee waits at most for workers that are fast enough.

It may wait by choice for longer, but a start on a slow worker is better than a late one.
"""
PACE_MARGIN = 0.9
"""The share of the limit that a worker's estimated pace may reach, since both are estimates."""


def pace_limit(
    ready: ReadySubtasks, fleet: Fleet, timing: Timing, options: PolicyOptions
) -> float | None:
    """Return the largest pace of workers on which urgent subtasks can be in time.

    None means that every worker will do, or none. The subtasks then take what they get at once.
    """
    is_urgent = ready.rank <= BORROWED_RANK and not ready.is_suspect
    if not (fleet.has_paces and is_urgent and options.waits_for_pace):
        return None
    if not ready.may_wait_by_choice:
        return None
    if ready.rank == GUARANTEED_RANK and ready.waited_ms > GUARANTEED_PACE_WAIT_MS:
        return None
    return _selective_limit(ready.job, ready.waited_ms, fleet, timing)


def prefers_slow(job: Job, rank: int, waited_ms: int, fleet: Fleet, timing: Timing) -> bool:
    """Return whether a job leaves fast workers to others.

    Urgent work never does. Other work does where it can be in time on all workers, and where it is
    late on all.
    """
    if not fleet.has_paces or rank <= BORROWED_RANK:
        return False
    return _selective_limit(job, waited_ms, fleet, timing) is None


def _selective_limit(job: Job, waited_ms: int, fleet: Fleet, timing: Timing) -> float | None:
    """Return the largest pace at which a job can be in time, if only some workers keep it."""
    limit = PACE_MARGIN * timing.pace_limit(job, waited_ms)
    return limit if fleet.fastest_pace <= limit < fleet.slowest_pace else None
