"""What ready subtasks that cannot start may do to other work."""

from dataclasses import dataclass
from enum import Enum, auto

from agateferry_jobs.planning.options import PolicyOptions
from agateferry_jobs.planning.ranks import BORROWED_RANK, GUARANTEED_RANK
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.timing import Lateness, Timing


class PreemptionPolicy(Enum):
    """What ready subtasks that cannot start may do to other work."""

    WAIT = auto()
    """Nothing: they take what is free in a later plan."""
    RESERVE = auto()
    """Reserve resources that become free as other runs end."""
    PREEMPT = auto()
    """Preempt runs of lower rank, and reserve what becomes free."""


@dataclass(frozen=True, slots=True)
class PreemptionRules:
    """The rules by which one plan chooses a policy for ready subtasks."""

    timing: Timing
    options: PolicyOptions
    is_scarce: bool

    def policy_for(self, ready: ReadySubtasks) -> PreemptionPolicy:
        """Return the policy for ready subtasks that cannot start."""
        if ready.rank == GUARANTEED_RANK:
            return PreemptionPolicy.PREEMPT
        yields = self.is_scarce and self.options.late_work_yields
        if yields and not self.can_be_in_time(ready):
            return PreemptionPolicy.WAIT
        if ready.rank == BORROWED_RANK:
            may_preempt = self.options.borrowed_work_preempts
            return PreemptionPolicy.PREEMPT if may_preempt else PreemptionPolicy.RESERVE
        if not ready.step.is_gang or not self.can_be_in_time(ready):
            return PreemptionPolicy.WAIT
        if ready.waited_slack_share > self.options.preempt_after:
            return PreemptionPolicy.PREEMPT
        if ready.waited_slack_share > self.options.reserve_after:
            return PreemptionPolicy.RESERVE
        return PreemptionPolicy.WAIT

    def can_be_in_time(self, ready: ReadySubtasks) -> bool:
        """Return whether a job would end within its objective if it started now."""
        return self.timing.lateness(ready.job, ready.waited_ms) is Lateness.IN_TIME
