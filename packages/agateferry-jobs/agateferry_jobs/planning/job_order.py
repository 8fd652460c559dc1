"""The order in which the jobs of one plan get resources.

Jobs go by their rank. Where capacity is scarce, work beyond its team's guarantee that can no longer
be in time goes after all work that can.
"""

from collections.abc import Iterable, Mapping, Sequence

from agateferry_jobs.ledger import Job
from agateferry_jobs.planning.fair_shares import DominantShares
from agateferry_jobs.planning.job_value import JobValues
from agateferry_jobs.planning.options import PolicyOptions, ScarceOrder
from agateferry_jobs.planning.plan_limits import Steps
from agateferry_jobs.planning.ranks import BORROWED_RANK, GUARANTEED_RANK
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.scarcity import need_of

Group = tuple[int, int, int]
"""The sort key of jobs: lateness where late work yields, rank, lateness within the rank."""
PlannedJob = tuple[Job, Sequence[ReadySubtasks]]
"""A job and its subtasks that may start now."""


class JobOrder:
    """Put the jobs of one plan in order; with the shares of teams, in a fair order."""

    def __init__(
        self,
        ranks: Mapping[str, int],
        values: JobValues,
        options: PolicyOptions,
        is_scarce: bool,
        shares: DominantShares | None = None,
    ) -> None:
        self._ranks = ranks
        self._values = values
        self._options = options
        self._is_scarce = is_scarce
        self._shares = shares

    def sort_in_steps(self, jobs: Iterable[PlannedJob]) -> Steps[list[PlannedJob]]:
        """Return the jobs in their order; the key of each is computed in a step of its own."""
        keyed: list[tuple[Group, float, str, PlannedJob]] = []
        for job, ready in jobs:
            keyed.append((self._group(job), self._order(job), job.id, (job, ready)))
            yield
        keyed.sort(key=lambda each: each[:3])
        in_order = [(group, planned) for group, _, _, planned in keyed]
        if self._shares is not None:
            in_order = yield from self._by_share(in_order, self._shares)
        return [planned for _, planned in in_order]

    def _by_share(
        self, in_order: list[tuple[Group, PlannedJob]], shares: DominantShares
    ) -> Steps[list[tuple[Group, PlannedJob]]]:
        """Return the jobs of each group by the shares of their teams, otherwise as they are."""
        with_shares: list[tuple[float, Group, PlannedJob]] = []
        for group, planned in in_order:
            with_shares.append((self._share(planned, shares), group, planned))
            yield
        with_shares.sort(key=lambda each: (each[1], each[0]))
        return [(group, planned) for _, group, planned in with_shares]

    def _group(self, job: Job) -> Group:
        """Return the sort key that precedes shares and `_order`; guaranteed work goes first.

        Where scarce capacity is given by anything but rank, all other ranks count as one.
        """
        rank = self._ranks[job.id]
        if rank == GUARANTEED_RANK:
            return (0, rank, 0)
        lateness = self._values.lateness(job) if self._options.orders_by_lateness else 0
        yields = self._is_scarce and self._options.late_work_yields
        if self._is_scarce and self._options.scarce_order is not ScarceOrder.RANK:
            return (lateness if yields else 0, BORROWED_RANK, 0)
        late_in_rank = lateness if rank > BORROWED_RANK else 0
        return (lateness if yields else 0, rank, late_in_rank)

    def _order(self, job: Job) -> float:
        """Return the order of a job in its group, the least first."""
        options, values = self._options, self._values
        by = options.scarce_order if self._is_scarce else ScarceOrder.RANK
        if by is ScarceOrder.DEADLINE:
            return values.remaining_slack_ms(job)
        if by is ScarceOrder.LEAST_WORK:
            return values.core_seconds(job)
        if by is not ScarceOrder.RANK:
            return -values.density(job, is_aged=by is ScarceOrder.AGED_VALUE)
        if self._ranks[job.id] <= BORROWED_RANK or not options.orders_by_slack:
            return job.accepted_ms
        return values.remaining_slack_ms(job)

    def _share(self, planned: PlannedJob, shares: DominantShares) -> float:
        """Return the share of a job's team before this job starts, and add the job to it.

        Work within the guarantee is not counted.
        """
        job, all_ready = planned
        if self._ranks[job.id] == GUARANTEED_RANK:
            return 0.0
        share = shares.of_team(job.team)
        shares.add(job.team, need_of(all_ready))
        return share
