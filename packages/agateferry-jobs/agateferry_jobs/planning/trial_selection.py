"""Select workers for subtasks that are suspected of crashing theirs.

A suspect runs where no other suspect does, so that a further crash shows which of them is the
cause, and on an empty worker, so that it takes nothing along. Where there is none for too long, it
goes where the least is lost.
"""

from collections.abc import Mapping

from agateferry_jobs.planning.candidates import CandidateWorkers
from agateferry_jobs.planning.failed_searches import SearchKey
from agateferry_jobs.planning.idle_jobs import WaitChoice
from agateferry_jobs.planning.options import PolicyOptions
from agateferry_jobs.planning.ranks import BORROWED_RANK, LOWEST_RANK
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.worker_allocation import WorkerAllocation
from agateferry_jobs.planning.worker_selection import KEPT_FOR_OTHERS_WEIGHT, WorkerSelector

TRIAL_WAIT_MS = 1_500
"""How long a suspect waits for an empty worker; the platform wants it started within 3 s."""
MIN_TRIALS = 2
TRIAL_SHARE = 0.1
"""The share of a service's workers on which suspects run at most, as long as they may wait."""


def waits_for_trial(ready: ReadySubtasks) -> bool:
    """Return whether suspects still wait for workers of their own, and preempt nothing."""
    if ready.trial_wait_ms is None or not ready.may_wait_by_choice:
        return False
    return ready.trial_wait_ms < TRIAL_WAIT_MS


class TrialSelector(WorkerSelector):
    """Select among the candidate workers for suspects."""

    def __init__(
        self,
        candidates: CandidateWorkers,
        ready: ReadySubtasks,
        ranks: Mapping[str, int],
        options: PolicyOptions,
        trials: int = 0,
    ) -> None:
        super().__init__(candidates, ready, ranks, options, trials)
        limit = max(MIN_TRIALS, TRIAL_SHARE * len(candidates.usable))
        self._may_open_trial = trials < limit

    def subtask_key(self) -> SearchKey | None:
        """Return None, since the result depends on the job."""
        return None

    def is_best_again(self, worker: WorkerAllocation) -> bool:
        """Return False, since suspects keep to workers of their own."""
        return False

    def gang_key(self) -> SearchKey | None:
        """Return None, since the result depends on the job."""
        return None

    def future_key(self, count: int, preempts: bool) -> SearchKey | None:
        """Return None, since the result depends on the job."""
        return None

    def choices(self) -> tuple[WaitChoice, ...]:
        """Return the choices that may keep the suspects waiting although they fit somewhere."""
        others = [each for each in super().choices() if each is not WaitChoice.TRIAL]
        is_on_trial = self._has_trials or waits_for_trial(self._ready)
        return (*others, WaitChoice.TRIAL) if is_on_trial else tuple(others)

    def _open(self, workers: list[WorkerAllocation]) -> list[WorkerAllocation]:
        """Return the workers for suspects: empty ones, or their own, while these may wait."""
        others_kept = super()._open(workers)
        if not waits_for_trial(self._ready):
            return others_kept
        return [worker for worker in others_kept if worker.trial_job or self._may_open_on(worker)]

    def _may_open_on(self, worker: WorkerAllocation) -> bool:
        return self._may_open_trial and not worker.runs

    @property
    def _shares_only_with_peers(self) -> bool:
        return False

    def _pace_key(self, worker: WorkerAllocation) -> float:
        return 0

    def _sort_key(self, worker: WorkerAllocation) -> tuple[float, ...]:
        """Return the sort key of workers: those where a crash would cost the least go first."""
        ranks = [self._ranks.get(run.job.id, LOWEST_RANK) for run in worker.runs]
        dear = sum(rank <= BORROWED_RANK for rank in ranks)
        kept = KEPT_FOR_OTHERS_WEIGHT * self._kept_for_others(worker)
        last_choice = worker.health.is_suspect + kept
        return (last_choice, not worker.trial_job, dear, len(ranks), worker.free.gpu)
