"""The scheduling policies that a day can be simulated with."""

import math
from dataclasses import replace
from typing import Any, Protocol

from agateferry_jobs.ledger import Job, Ledger, Run
from agateferry_jobs.ledger.commands import RunStart
from agateferry_jobs.planning import Fleet, Plan, Planner, WorkerAllocation
from agateferry_jobs.planning.idle_jobs import IdleTimes
from agateferry_jobs.planning.options import DEFAULT_OPTIONS, ScarceOrder


class Policy(Protocol):
    """Decide which subtask starts where, and which runs are preempted for it."""

    def plan(self, ledger: Ledger, fleet: Fleet, now_ms: int) -> Plan:
        """Return the starts and stops that are due now."""


class LeaderPolicy:
    """Plan as the leader of a cell does, with some options of its policy changed."""

    def __init__(self, **options: Any) -> None:
        self._options = replace(DEFAULT_OPTIONS, **options)
        self._idle_times = IdleTimes()

    def plan(self, ledger: Ledger, fleet: Fleet, now_ms: int) -> Plan:
        """Return the leader's plan."""
        return Planner(ledger, fleet, now_ms, self._options, idle_times=self._idle_times).plan()


class FirstFit:
    """Start jobs in the order of acceptance, each subtask on the first worker that it fits.

    Nothing is preempted. This is the baseline that the leader's plan is compared with.
    """

    def plan(self, ledger: Ledger, fleet: Fleet, now_ms: int) -> Plan:
        """Return the starts that fit, up to the first job that does not."""
        plan = Plan()
        jobs = [job for job in ledger.jobs.values() if not job.is_over]
        for job in sorted(jobs, key=lambda job: (job.accepted_ms, job.id)):
            workers = fleet.by_service.get(job.service, [])
            if not _start_all(job, workers, plan):
                break
        return plan


def _start_all(job: Job, workers: list[WorkerAllocation], plan: Plan) -> bool:
    """Add the starts of a job's waiting subtasks and return whether all of them fit.

    A gang starts whole or not at all.
    """
    waiting = [
        name
        for name, subtask in job.subtasks.items()
        if subtask.active is None and not subtask.is_done
    ]
    placed: list[tuple[str, WorkerAllocation]] = []
    for name in waiting:
        step = job.step_of(name)
        answering = (worker for worker in workers if worker.is_ready and worker.health.answers)
        worker = next((worker for worker in answering if worker.fits_now(step)), None)
        if worker is None:
            break
        worker.allocate(job, name)
        placed.append((name, worker))
    fit_all = len(placed) == len(waiting)
    if not fit_all and any(job.step_of(name).is_gang for name in waiting):
        return False
    number = 1 + max((job.subtasks[name].last_run for name in waiting), default=0)
    for name, worker in placed:
        run = Run(number, worker.incarnation.id, worker.incarnation.born)
        plan.starts.append(RunStart(job.id, name, run, job.subtasks[name].checkpoint))
    return fit_all


POLICIES: dict[str, Policy] = {"leader": LeaderPolicy(), "first-fit": FirstFit()}
SCARCE_ORDERS: dict[str, Policy] = {
    "priority-alone": LeaderPolicy(
        orders_by_lateness=False,
        orders_by_slack=False,
        late_work_yields=False,
        values_victims=False,
        shares_fairly=False,
    ),
    "earliest-deadline": LeaderPolicy(scarce_order=ScarceOrder.DEADLINE),
    "least-work-first": LeaderPolicy(scarce_order=ScarceOrder.LEAST_WORK),
    "earned-value": LeaderPolicy(scarce_order=ScarceOrder.VALUE),
    "aged-value": LeaderPolicy(scarce_order=ScarceOrder.AGED_VALUE),
}
"""Orders to compare the leader's policy with where capacity is scarce."""
ABLATIONS: dict[str, Policy] = {
    "declared-durations": LeaderPolicy(learns_durations=False),
    "no-order-by-lateness": LeaderPolicy(orders_by_lateness=False),
    "no-order-by-slack": LeaderPolicy(orders_by_slack=False),
    "no-headroom": LeaderPolicy(headroom_share=0.0),
    "no-separation": LeaderPolicy(headroom_share=0.0, share_workers_after=-1.0),
    "no-reservation": LeaderPolicy(reserve_after=math.inf),
    "no-gang-preemption": LeaderPolicy(preempt_after=math.inf),
    "no-borrowed-preemption": LeaderPolicy(borrowed_work_preempts=False),
    "no-rack-wait": LeaderPolicy(waits_for_rack=False),
    "no-data-rack-wait": LeaderPolicy(waits_for_data_rack=False),
    "no-idle-limit": LeaderPolicy(limits_idle_jobs=False),
    "no-paces": LeaderPolicy(uses_paces=False),
    "no-pace-wait": LeaderPolicy(waits_for_pace=False),
    "no-checkpoint-value": LeaderPolicy(values_checkpoints=False),
    "late-work-by-rank": LeaderPolicy(late_work_yields=False),
    "victims-by-rank": LeaderPolicy(values_victims=False),
    "no-preemption-limit": LeaderPolicy(max_preemption_cost=math.inf),
    "no-fair-shares": LeaderPolicy(shares_fairly=False),
    "room-policy": LeaderPolicy(late_work_yields=False, values_victims=False, shares_fairly=False),
}
"""The leader's policy without one of its parts each."""
ALL_POLICIES = POLICIES | SCARCE_ORDERS | ABLATIONS
