"""The parts of the planner's policy that can be set or switched off, one by one.

A simulation compares a policy without one of its parts with the whole policy:

    Planner(ledger, fleet, now_ms, replace(DEFAULT_OPTIONS, borrowed_work_preempts=False))
"""

from dataclasses import dataclass
from enum import Enum, auto


class ScarceOrder(Enum):
    """How jobs beyond a guarantee that are equally late are ordered where capacity is scarce."""

    RANK = auto()
    """By their rank, then as where capacity is not scarce."""
    DEADLINE = auto()
    """By the time that is left to their objective."""
    LEAST_WORK = auto()
    """By their work, the least first."""
    VALUE = auto()
    """By what they can still earn for each core-second of their work, the most first."""
    AGED_VALUE = auto()
    """As by value, which grows with the share of its slack that a job has waited."""


@dataclass(frozen=True, slots=True)
class PolicyOptions:
    """The options of one policy; shares are of 1, and a slack is a job's, see `Timing.slack_ms`."""

    learns_durations: bool = True
    """Whether declared durations are corrected by those of past runs."""
    orders_by_lateness: bool = True
    """Whether jobs that can still be in time go before late ones of their rank."""
    orders_by_slack: bool = True
    """Whether jobs of equal lateness are ordered by the slack that is left, or by acceptance."""
    headroom_share: float = 0.12
    """The share of workers that the least urgent work leaves empty for gangs that arrive later."""
    share_workers_after: float = 0.2
    """The share of its slack after which the least urgent work may use any worker."""
    reserve_after: float = 0.05
    """The share of its slack after which a waiting gang reserves resources that become free."""
    preempt_after: float = 0.7
    """The share of its slack after which a waiting gang preempts runs of lower rank."""
    borrowed_work_preempts: bool = True
    """Whether urgent work beyond its team's guarantee preempts runs of lower rank."""
    waits_for_rack: bool = True
    """Whether a gang that prefers one rack waits for one, instead of starting across racks."""
    waits_for_data_rack: bool = True
    """Whether a subtask waits for the rack that holds its data."""
    limits_idle_jobs: bool = True
    """Whether a job that is idle while most capacity is free stops waiting for a better place."""
    values_checkpoints: bool = True
    """Whether a run with a checkpoint counts as cheaper to preempt."""
    checkpoint_loss_s: float = 1.5
    """The most work that a preempted run with a checkpoint counts as losing."""
    stop_loss_s: float = 1.5
    """What every preempted run counts as losing, besides its work: the stop and the restore."""
    uses_paces: bool = True
    """Whether placement and preemption respect the paces of workers that are known to differ."""
    waits_for_pace: bool = True
    """Whether urgent work preempts on fast workers rather than start where it would be late."""
    late_work_yields: bool = True
    """Whether, where capacity is scarce, late work goes last and preempts none, but for rank 0."""
    values_victims: bool = True
    """Whether, where capacity is scarce, a preemption counts what the stopped jobs earn less."""
    max_preemption_cost: float = 2.0
    """What a preemption may cost at most, as a multiple of what the job gains, if it is valued."""
    scarce_order: ScarceOrder = ScarceOrder.RANK
    """How jobs are ordered where capacity is scarce; rank 0 goes first in all of them."""
    shares_fairly: bool = True
    """Whether, where capacity is scarce, teams with less in use go first within a rank."""


DEFAULT_OPTIONS = PolicyOptions()
