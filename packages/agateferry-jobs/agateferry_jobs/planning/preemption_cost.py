"""The cost of the resources that a run holds: of preempting it, or of waiting for its end."""

from collections.abc import Mapping, Sequence

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.ledger.state import step_number
from agateferry_jobs.planning.fleet import AllocatedRun, RunKey
from agateferry_jobs.planning.options import PolicyOptions
from agateferry_jobs.planning.ranks import LOWEST_RANK
from agateferry_jobs.planning.timing import Timing

RANK_WEIGHT = 3
"""The factor by which lost work counts more for each rank nearer to the first."""


class CapacityCost:
    """The cost of the resources that runs hold; lower is better.

    One instance serves one plan and computes the cost of each run once.
    """

    def __init__(self, now_ms: int) -> None:
        self._now_ms = now_ms
        self._costs: dict[RunKey, float] = {}

    def of_run(self, allocated_run: AllocatedRun) -> float:
        """Return the cost of the resources of one run."""
        key = (allocated_run.job.id, allocated_run.subtask)
        cost = self._costs.get(key)
        if cost is None:
            cost = self._costs[key] = self._compute(allocated_run)
        return cost

    def of_runs(self, runs: Sequence[AllocatedRun]) -> float:
        """Return the cost of the resources of several runs together."""
        return sum(map(self.of_run, runs))

    def is_candidate(self, allocated_run: AllocatedRun, rank: int) -> bool:
        """Return whether the resources of a run may be planned for a job of this rank."""
        raise NotImplementedError

    def _compute(self, allocated_run: AllocatedRun) -> float:
        raise NotImplementedError


class WaitCost(CapacityCost):
    """Wait until runs end by themselves; the cost is the time in ms until the last one ends."""

    def __init__(self, timing: Timing, now_ms: int) -> None:
        super().__init__(now_ms)
        self._timing = timing

    def of_runs(self, runs: Sequence[AllocatedRun]) -> float:
        """Return in how many ms the last of several runs is expected to end."""
        return max(map(self.of_run, runs), default=0)

    def is_candidate(self, allocated_run: AllocatedRun, rank: int) -> bool:
        """Return whether a run ends by itself, which all but long-running ones do."""
        return not allocated_run.step.is_long_running

    def _compute(self, allocated_run: AllocatedRun) -> float:
        """Return the expected remaining ms of a run, or 0 if it already runs for longer."""
        job = allocated_run.job
        expected_ms = self._timing.expected_duration_ms(job, step_number(allocated_run.subtask))
        ran_ms = self._now_ms - job.subtasks[allocated_run.subtask].started_ms
        return max(0, expected_ms * allocated_run.pace - ran_ms)


class PreemptionCost(CapacityCost):
    """Preempt runs; the cost is the lost work in core-seconds at pace 1, weighted by rank."""

    def __init__(self, ranks: Mapping[str, int], now_ms: int, options: PolicyOptions) -> None:
        super().__init__(now_ms)
        self._ranks = ranks
        self._options = options

    def is_candidate(self, allocated_run: AllocatedRun, rank: int) -> bool:
        """Return whether a run ranks below the job that needs its resources."""
        return self._ranks.get(allocated_run.job.id, LOWEST_RANK) > rank

    def _compute(self, allocated_run: AllocatedRun) -> float:
        """Return the weighted work that is lost with a run and the rest of its gang."""
        options = self._options
        job, step = allocated_run.job, allocated_run.step
        members = step.count if step.is_gang else 1
        ran_ms = max(0, self._now_ms - job.subtasks[allocated_run.subtask].started_ms)
        lost_s = ran_ms / MS_PER_S / allocated_run.pace
        if step.saves_checkpoints and options.values_checkpoints:
            lost_s = min(lost_s, options.checkpoint_loss_s)
        ranks_above_lowest = LOWEST_RANK - self._ranks.get(job.id, LOWEST_RANK)
        lost_core_s = members * step.need.weighted_cores * (lost_s + options.stop_loss_s)
        return lost_core_s * RANK_WEIGHT**ranks_above_lowest
