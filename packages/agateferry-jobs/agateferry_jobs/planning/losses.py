"""What is lost with a run that is taken back."""

from collections.abc import Iterable, Mapping

from agateferry_jobs.planning.fleet import Occupant, RunKey
from agateferry_jobs.planning.ranks import LOWEST_RANK

RANK_WEIGHT = 3
"""How much more the loss of a run counts for each rank that it is nearer to the first."""
RESTORE_S = 1.5
"""What a stopped run loses even with a checkpoint: the newest second of work and the restore."""
GPU_CORES = 8
"""What one accelerator counts for in cores when lost work is weighed, as the platform prices it."""
CORE = 1000
MS_PER_S = 1000


class Losses:
    """Work out the loss of each run once for one plan."""

    def __init__(self, ranks: Mapping[str, int], now_ms: int) -> None:
        self._ranks = ranks
        self._now_ms = now_ms
        self._known: dict[RunKey, float] = {}

    def of(self, victim: Occupant) -> float:
        """Return the work, in core seconds, that is lost with a run and the rest of its gang."""
        key = (victim.job.id, victim.subtask)
        loss = self._known.get(key)
        if loss is None:
            loss = self._known[key] = self._work_out(victim)
        return loss

    def total(self, victims: Iterable[Occupant]) -> float:
        """Return the loss of several runs."""
        return sum(self.of(victim) for victim in victims)

    def _work_out(self, victim: Occupant) -> float:
        job, step = victim.job, victim.step
        members = step.count if step.is_gang else 1
        lost_s = max(0, self._now_ms - job.subtasks[victim.subtask].started_ms) / MS_PER_S
        if step.saves_checkpoints:
            lost_s = min(lost_s, RESTORE_S)
        cores = step.need.gpu * GPU_CORES + step.need.cpu / CORE
        nearness = LOWEST_RANK - self._ranks.get(job.id, LOWEST_RANK)
        return members * cores * (lost_s + RESTORE_S) * RANK_WEIGHT**nearness
