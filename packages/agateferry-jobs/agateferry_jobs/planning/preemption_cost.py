"""What it costs to get the room that a run holds: to take it back, or to wait for its end."""

from collections.abc import Mapping, Sequence

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.ledger.state import step_number
from agateferry_jobs.planning.fleet import AllocatedRun, RunKey
from agateferry_jobs.planning.ranks import LOWEST_RANK
from agateferry_jobs.planning.timing import Timing

RANK_WEIGHT = 3
"""How much more the loss of a run counts for each rank that it is nearer to the first."""
RESTORE_S = 1.5
"""What a stopped run loses even with a checkpoint: the newest second of work and the restore."""
GPU_CORES = 8
"""What one accelerator counts for in cores when lost work is weighed, as the platform prices it."""
CORE = 1000


class CapacityCost:
    """What the room of runs costs; lower is better. Each run is worked out once for a plan."""

    def __init__(self, now_ms: int) -> None:
        self._now_ms = now_ms
        self._known: dict[RunKey, float] = {}

    def of(self, allocated_run: AllocatedRun) -> float:
        """Return the cost of the room of one run."""
        key = (allocated_run.job.id, allocated_run.subtask)
        cost = self._known.get(key)
        if cost is None:
            cost = self._known[key] = self._work_out(allocated_run)
        return cost

    def total(self, runs: Sequence[AllocatedRun]) -> float:
        """Return the cost of the room of several runs."""
        return sum(map(self.of, runs))

    def counts(self, allocated_run: AllocatedRun, rank: int) -> bool:
        """Tell whether a job of this rank may count on the room of a run."""
        raise NotImplementedError

    def _work_out(self, allocated_run: AllocatedRun) -> float:
        raise NotImplementedError


class WaitCost(CapacityCost):
    """Wait until runs end by themselves; the cost is the time until the last one has, in ms."""

    def __init__(self, timing: Timing, now_ms: int) -> None:
        super().__init__(now_ms)
        self._timing = timing

    def total(self, runs: Sequence[AllocatedRun]) -> float:
        """Return when the last of several runs ends."""
        return max(map(self.of, runs), default=0)

    def counts(self, allocated_run: AllocatedRun, rank: int) -> bool:
        """Tell that any run can be waited for, but for those that last."""
        return not allocated_run.step.is_long_running

    def _work_out(self, allocated_run: AllocatedRun) -> float:
        """Return how long a run still takes; one that is over its time may end at any moment."""
        job = allocated_run.job
        length_ms = self._timing.length_ms(job, step_number(allocated_run.subtask))
        ran_ms = self._now_ms - job.subtasks[allocated_run.subtask].started_ms
        return max(0, length_ms - ran_ms)


class PreemptionCost(CapacityCost):
    """Take runs back; the cost is the work that is lost, in core seconds."""

    def __init__(self, ranks: Mapping[str, int], now_ms: int) -> None:
        super().__init__(now_ms)
        self._ranks = ranks

    def counts(self, allocated_run: AllocatedRun, rank: int) -> bool:
        """Tell whether a run ranks below a job that wants its room."""
        return self._ranks.get(allocated_run.job.id, LOWEST_RANK) > rank

    def _work_out(self, allocated_run: AllocatedRun) -> float:
        """Return the work that is lost with a run and the rest of its gang."""
        job, step = allocated_run.job, allocated_run.step
        members = step.count if step.is_gang else 1
        lost_s = max(0, self._now_ms - job.subtasks[allocated_run.subtask].started_ms) / MS_PER_S
        if step.saves_checkpoints:
            lost_s = min(lost_s, RESTORE_S)
        cores = step.need.gpu * GPU_CORES + step.need.cpu / CORE
        nearness = LOWEST_RANK - self._ranks.get(job.id, LOWEST_RANK)
        return members * cores * (lost_s + RESTORE_S) * RANK_WEIGHT**nearness
