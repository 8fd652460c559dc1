"""The cost of the resources that a run holds: of preempting it, or of waiting for its end."""

from collections.abc import Iterable, Mapping, Sequence

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.ledger import Job
from agateferry_jobs.ledger.state import RunKey, gang_of, step_number
from agateferry_jobs.planning.job_value import JobValues
from agateferry_jobs.planning.options import PolicyOptions
from agateferry_jobs.planning.ranks import LOWEST_RANK
from agateferry_jobs.planning.timing import Timing
from agateferry_jobs.planning.worker_allocation import AllocatedRun

RANK_WEIGHT = 3
"""The factor by which lost work counts more for each rank nearer to the first."""
RESTART_DELAY_MS = 1_000
"""How long a stopped run is expected to wait, with the stop, until it starts again."""


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
        ran_ms = self._now_ms - allocated_run.started_ms
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
        ranks_above_lowest = LOWEST_RANK - self._ranks.get(allocated_run.job.id, LOWEST_RANK)
        return self._lost_core_s(allocated_run) * RANK_WEIGHT**ranks_above_lowest

    def is_worthwhile(self, job: Job, runs: Iterable[AllocatedRun]) -> bool:
        """Return whether a job gains enough by the ends of these runs; here its rank suffices."""
        return True

    def _lost_core_s(self, allocated_run: AllocatedRun) -> float:
        """Return the core-seconds that are lost with a run and the rest of its gang."""
        step = allocated_run.step
        members = step.count if step.is_gang else 1
        work_s = self._lost_s(allocated_run) / allocated_run.pace
        lost_s = work_s + self._options.stop_loss_s
        return members * step.need.weighted_cores * lost_s

    def _lost_s(self, allocated_run: AllocatedRun) -> float:
        """Return the seconds of a run that have to be done again; a checkpoint saves the rest."""
        ran_s = max(0, self._now_ms - allocated_run.started_ms) / MS_PER_S
        if allocated_run.step.saves_checkpoints and self._options.values_checkpoints:
            return min(ran_s, self._options.checkpoint_loss_s)
        return ran_s


class ValuedPreemptionCost(PreemptionCost):
    """Preempt runs; the cost is what callers lose, where capacity is scarce.

    A job whose run is stopped may earn less. Besides, the lost work takes capacity that other jobs
    would earn with.
    """

    def __init__(
        self, ranks: Mapping[str, int], now_ms: int, options: PolicyOptions, values: JobValues
    ) -> None:
        super().__init__(ranks, now_ms, options)
        self._values = values
        self._losses: dict[tuple[str, int, int], float] = {}

    def is_worthwhile(self, job: Job, runs: Iterable[AllocatedRun]) -> bool:
        """Return whether a job gains enough by the ends of these runs; a gang ends as a whole.

        It does if the duration of one of them is not known, since nothing can be compared then.
        """
        victims = {_whole_key(run): run for run in runs}
        if not all(self._values.core_seconds(run.job) for run in victims.values()):
            return True
        gain = self._values.gain_of_start(job)
        return self.of_runs(list(victims.values())) <= self._options.max_preemption_cost * gain

    def _compute(self, allocated_run: AllocatedRun) -> float:
        """Return what is lost with a run; the same for runs of one step that started together."""
        job, name = allocated_run.job, allocated_run.subtask
        key = (job.id, step_number(name), allocated_run.started_ms)
        loss = self._losses.get(key)
        if loss is None:
            loss = self._losses[key] = self._compute_loss(allocated_run)
        return loss

    def _compute_loss(self, allocated_run: AllocatedRun) -> float:
        """Return what is lost with a run and the rest of its gang."""
        lost_work = self._lost_core_s(allocated_run) * self._values.worth_per_core_second
        return lost_work + self._lost_earnings(allocated_run)

    def _lost_earnings(self, allocated_run: AllocatedRun) -> float:
        """Return what the job earns less, for a single run by its part of the job's work.

        The other runs of such a job may be stopped too, and it can end late but once.
        """
        job, step = allocated_run.job, allocated_run.step
        started_ms = allocated_run.started_ms
        saved_ms = self._now_ms - started_ms - self._lost_s(allocated_run) * MS_PER_S
        loss = self._values.loss_of_stop(job, started_ms, RESTART_DELAY_MS - max(0.0, saved_ms))
        work = self._values.core_seconds(job)
        if step.is_gang or not work:
            return loss
        part = self._values.step_core_seconds(job, step_number(allocated_run.subtask)) / step.count
        return loss * part / work


def _whole_key(allocated_run: AllocatedRun) -> RunKey:
    """Return the key of what ends with a run: its gang, or the run alone."""
    name = allocated_run.subtask
    return (allocated_run.job.id, gang_of(name) if allocated_run.step.is_gang else name)
