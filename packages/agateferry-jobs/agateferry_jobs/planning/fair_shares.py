"""What teams use beyond their guarantees, so that the team with the least goes first.

A team's dominant share is the largest of its shares of all accelerators, cores and memory
(dominant-resource fairness, Ghodsi 2011). Guarantees take precedence over this rule, so runs within
them don't count.
"""

from collections import defaultdict
from collections.abc import Mapping

from agateferry_jobs.ledger.specs import Resources, sum_of
from agateferry_jobs.planning.fleet import Fleet
from agateferry_jobs.planning.ranks import GUARANTEED_RANK, LOWEST_RANK


class DominantShares:
    """The dominant shares that teams have of one total amount of resources, from 0 to 1.

    While jobs are put in order, each adds its need to the share of its team. So the jobs of two
    teams alternate, by what they need.
    """

    def __init__(self, total: Resources) -> None:
        self._total = total
        self._used: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])

    def add(self, team: str, need: Resources, count: int = 1) -> None:
        """Add what `count` subtasks of a team use or are about to use."""
        used = self._used[team]
        used[0] += need.cpu * count
        used[1] += need.mem_mb * count
        used[2] += need.gpu * count

    def of_team(self, team: str) -> float:
        """Return the dominant share of a team."""
        if team not in self._used:
            return 0.0
        total = self._total
        amounts = zip(self._used[team], (total.cpu, total.mem_mb, total.gpu), strict=True)
        return max(used / available if available else 0.0 for used, available in amounts)


def shares_in_use(fleet: Fleet, ranks: Mapping[str, int]) -> DominantShares:
    """Return what teams use of a fleet beyond their guarantees, without the stopping runs."""
    workers = [worker for workers in fleet.by_service.values() for worker in workers]
    shares = DominantShares(sum_of(worker.incarnation.capacity for worker in workers))
    for worker in workers:
        for run in worker.runs:
            if not run.is_stopping and ranks.get(run.job.id, LOWEST_RANK) > GUARANTEED_RANK:
                shares.add(run.job.team, run.step.need)
    return shares
