"""The planner: which waiting subtasks start where, and which runs are preempted for urgent ones.

Jobs are planned by rank, then by whether they can still meet their objective; where capacity is
scarce, late work goes last (see `job_order`). A gang starts whole or not at all. Urgent work that
cannot start preempts runs of lower rank, whole gangs at a time, at the least loss of work. The
resources that become free are reserved for it, so that jobs planned later do not get them.
"""

from collections.abc import Collection, Sequence
from dataclasses import replace

from agateferry_jobs.ledger import Ledger, Run
from agateferry_jobs.ledger.commands import RunStart
from agateferry_jobs.ledger.state import RunKey, gang_of
from agateferry_jobs.planning.candidates import CandidateWorkers
from agateferry_jobs.planning.crash_suspects import CrashSuspects
from agateferry_jobs.planning.failed_searches import FailedSearches
from agateferry_jobs.planning.fair_shares import shares_in_use
from agateferry_jobs.planning.fleet import Fleet
from agateferry_jobs.planning.future_capacity import FutureCapacity, FuturePlacements
from agateferry_jobs.planning.idle_jobs import MAX_IDLE_BY_CHOICE_MS, IdleTimes
from agateferry_jobs.planning.idle_search import IdleSearch
from agateferry_jobs.planning.job_order import JobOrder, PlannedJob
from agateferry_jobs.planning.job_value import JobValues
from agateferry_jobs.planning.options import DEFAULT_OPTIONS, PolicyOptions
from agateferry_jobs.planning.pace_limits import pace_limit
from agateferry_jobs.planning.plan import Plan, Stop
from agateferry_jobs.planning.preemption_cost import PreemptionCost, ValuedPreemptionCost, WaitCost
from agateferry_jobs.planning.preemption_policy import PreemptionPolicy, PreemptionRules
from agateferry_jobs.planning.ranks import BORROWED_RANK, GUARANTEED_RANK, rank_jobs
from agateferry_jobs.planning.readiness import Readiness
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.scarcity import is_capacity_scarce
from agateferry_jobs.planning.timing import Timing
from agateferry_jobs.planning.trial_selection import TrialSelector, waits_for_trial
from agateferry_jobs.planning.wait_reasons import WaitReason
from agateferry_jobs.planning.worker_allocation import AllocatedRun, WorkerAllocation
from agateferry_jobs.planning.worker_selection import WorkerSelector
from agateferry_jobs.start_budget import DEFAULT_BUDGET, StartBudget


class Planner:
    """Make one plan from the ledger and the fleet at one moment.

    The subtasks in `held` do not start, but count as idle if they would fit. `idle_times` are those
    of the plans before; without them, jobs count as idle since they were accepted. `budget` limits
    how long guaranteed work waits by choice.
    """

    def __init__(
        self,
        ledger: Ledger,
        fleet: Fleet,
        now_ms: int,
        options: PolicyOptions = DEFAULT_OPTIONS,
        held: Collection[RunKey] = (),
        idle_times: IdleTimes | None = None,
        budget: StartBudget = DEFAULT_BUDGET,
    ) -> None:
        self._ledger = ledger
        self._fleet = fleet
        self._now_ms = now_ms
        self._options = options
        self._ranks = rank_jobs(ledger.jobs.values(), ledger.manifest)
        self._plan = Plan(ranks=self._ranks)
        self._timing = Timing(ledger, options.learns_durations)
        self._values = JobValues(ledger.jobs.values(), self._timing, now_ms)
        self._is_scarce = False
        self._cost = PreemptionCost(self._ranks, now_ms, options)
        self._preemptible = FutureCapacity(self._cost)
        self._ending = FutureCapacity(WaitCost(self._timing, now_ms))
        self._failures = FailedSearches()
        if not options.uses_paces:
            fleet.set_paces({})
        suspects = CrashSuspects(ledger, now_ms)
        fleet.mark_trials(suspects.on_trial())
        idle_times = idle_times or IdleTimes(counts_from_acceptance=True)
        idle_times.begin_plan(fleet, now_ms)
        self._idle_search = IdleSearch(idle_times, self._candidates)
        self._readiness = Readiness(
            ledger,
            fleet,
            now_ms,
            self._ranks,
            self._timing,
            suspects,
            held,
            budget,
        )

    def plan(self) -> Plan:
        """Return the starts and stops that are due now."""
        waiting = self._waiting_jobs()
        self._judge_capacity(waiting)
        is_fair = self._is_scarce and self._options.shares_fairly
        shares = shares_in_use(self._fleet, self._ranks) if is_fair else None
        order = JobOrder(self._ranks, self._values, self._options, self._is_scarce, shares)
        for job, all_ready in order.sort(waiting):
            try:
                for ready in all_ready:
                    self._place(ready)
            except Exception as exc:
                self._plan.errors[job.id] = repr(exc)
        return self._plan

    def _waiting_jobs(self) -> list[PlannedJob]:
        """Return the jobs that have subtasks which may start now."""
        waiting: list[PlannedJob] = []
        for job in self._ledger.jobs.values():
            if job.is_over:
                continue
            try:
                all_ready = tuple(self._readiness.ready_subtasks(job))
            except Exception as exc:
                self._plan.errors[job.id] = repr(exc)
                continue
            if all_ready:
                waiting.append((job, all_ready))
        return waiting

    def _judge_capacity(self, waiting: Sequence[PlannedJob]) -> None:
        """Find out whether capacity is scarce; if it is, preemptions cost what callers lose."""
        needs = [
            (self._ledger.service_of(job), ready)
            for job, all_ready in waiting
            for ready in all_ready
            if not ready.is_held
        ]
        self._is_scarce = is_capacity_scarce(needs, self._fleet)
        options, values = self._options, self._values
        if self._is_scarce and options.values_victims and values.worth_per_core_second:
            self._cost = ValuedPreemptionCost(self._ranks, self._now_ms, options, values)
            self._preemptible = FutureCapacity(self._cost)

    def _place(self, ready: ReadySubtasks) -> None:
        candidates = self._candidates(ready)
        if ready.is_held:
            self._hold(ready, candidates)
            return
        limit = pace_limit(ready, self._fleet, self._timing, self._options)
        if limit is not None:
            left = self._place_on(candidates.within_pace(limit), ready)
            if not left:
                return
            ready = replace(ready, names=left)
            self._plan.waits.pop(ready.job.id, None)
        self._place_on(candidates, ready)

    def _candidates(self, ready: ReadySubtasks) -> CandidateWorkers:
        queue = self._ledger.queue_of(ready.job)
        regions = queue.allowed_regions if queue is not None else ()
        return self._fleet.candidates(self._ledger.service_of(ready.job), ready.step, regions)

    def _place_on(self, candidates: CandidateWorkers, ready: ReadySubtasks) -> tuple[str, ...]:
        """Start subtasks on these workers or reserve resources there; return those left without."""
        selector = self._selector(candidates, ready)
        if ready.step.is_gang:
            workers = self._failures.search(selector.gang_key(), selector.select_for_gang)
            if workers is None:
                return self._leave(ready, selector)
            self._start(ready, ready.names, workers)
            return ()
        for position, name in enumerate(ready.names):
            worker = self._failures.search(selector.subtask_key(), selector.select_for_subtask)
            if worker is None:
                return self._leave(replace(ready, names=ready.names[position:]), selector)
            self._start(ready, (name,), (worker,))
        return ()

    def _hold(self, ready: ReadySubtasks, candidates: CandidateWorkers) -> None:
        """Record that subtasks wait since their start was refused, which counts as idle time."""
        idle = self._idle_search.find(ready, self._selector(candidates, ready))
        if idle is not None:
            self._plan.idle[ready.job.id] = idle
        self._plan.waits[ready.job.id] = WaitReason.HELD

    def _leave(self, ready: ReadySubtasks, selector: WorkerSelector) -> tuple[str, ...]:
        """Handle subtasks that did not start; return those that may start on other workers.

        They start wherever they fit if they have been idle by choice for too long. Otherwise they
        wait for resources that become free, if any are kept for them.
        """
        idle = self._idle_search.find(ready, selector)
        if idle is not None:
            self._plan.idle[ready.job.id] = idle
            if self._options.limits_idle_jobs and idle.idle_ms >= MAX_IDLE_BY_CHOICE_MS:
                return self._place_on(
                    self._candidates(ready), replace(ready, may_wait_by_choice=False)
                )
        return () if self._wait(ready, selector) else ready.names

    def _selector(self, candidates: CandidateWorkers, ready: ReadySubtasks) -> WorkerSelector:
        trials = self._fleet.count_trials(candidates.service)
        selector = TrialSelector if ready.is_suspect else WorkerSelector
        return selector(candidates, ready, self._ranks, self._options, trials)

    def _start(
        self, ready: ReadySubtasks, names: Sequence[str], workers: Sequence[WorkerAllocation]
    ) -> None:
        job = ready.job
        self._idle_search.record_start(job)
        self._plan.idle.pop(job.id, None)
        number = 1 + max(job.subtasks[name].last_run for name in names)
        checkpoint = self._checkpoint(ready, names)
        for name, worker in zip(names, workers, strict=True):
            worker.allocate(job, name)
            if ready.is_suspect:
                self._fleet.open_trial(worker, job)
            self._failures.record_change()
            run = Run(number, worker.incarnation.id, worker.incarnation.born)
            is_cold = worker.health.is_cold
            self._plan.starts.append(RunStart(job.id, name, run, checkpoint, is_cold))

    def _checkpoint(self, ready: ReadySubtasks, names: Sequence[str]) -> str:
        """Return the newest checkpoint of these subtasks; one member's restores its whole gang."""
        subtasks = [ready.job.subtasks[name] for name in names]
        saved = [subtask for subtask in subtasks if subtask.checkpoint]
        return max(saved, key=lambda subtask: subtask.last_run).checkpoint if saved else ""

    def _wait(self, ready: ReadySubtasks, selector: WorkerSelector) -> bool:
        """Record why subtasks wait; return whether resources that become free are kept for them."""
        reason = self._reserve_or_preempt(ready, selector)
        self._plan.waits[ready.job.id] = reason
        if ready.rank <= BORROWED_RANK:
            self._plan.choices[ready.job.id] = selector.choices()
        return reason in (WaitReason.RESERVED, WaitReason.PREEMPTING)

    def _reserve_or_preempt(self, ready: ReadySubtasks, selector: WorkerSelector) -> WaitReason:
        """Reserve resources for subtasks that cannot start; preempt if the policy allows it.

        Return why they wait.
        """
        if waits_for_trial(ready):
            return WaitReason.TRIAL
        may_wait = ready.may_wait_by_choice or ready.rank != GUARANTEED_RANK
        if may_wait and selector.awaits_report():
            return WaitReason.REPORT
        rules = PreemptionRules(self._timing, self._options, self._is_scarce)
        policy = rules.policy_for(ready)
        if policy is PreemptionPolicy.WAIT:
            return WaitReason.NO_ROOM if rules.can_be_in_time(ready) else WaitReason.LATE
        preempts = policy is PreemptionPolicy.PREEMPT
        capacity = self._preemptible if preempts else self._ending
        placements = self._failures.search(
            selector.future_key(len(ready.names), preempts),
            lambda: capacity.cheapest(selector.future_groups(), ready, len(ready.names)),
        )
        if not placements:
            return WaitReason.NOTHING_TO_STOP if preempts else WaitReason.NO_ROOM
        if preempts and not self._is_worthwhile(ready, placements):
            return WaitReason.TOO_COSTLY
        self._keep(placements, ready, preempts)
        return WaitReason.PREEMPTING if preempts else WaitReason.RESERVED

    def _is_worthwhile(self, ready: ReadySubtasks, placements: FuturePlacements) -> bool:
        """Return whether a preemption gains more than it costs; guaranteed work always may."""
        if ready.rank == GUARANTEED_RANK:
            return True
        return self._cost.is_worthwhile(ready.job, [run for _, runs in placements for run in runs])

    def _keep(self, placements: FuturePlacements, ready: ReadySubtasks, preempts: bool) -> None:
        """Reserve placements for ready subtasks, and preempt the runs that are in their way.

        If no run is preempted, the reservation yields to idle jobs: it may last for long.
        """
        has_victims = preempts and any(runs for _, runs in placements)
        for worker, runs in placements:
            if preempts:
                for victim in runs:
                    self._preempt(victim, ready)
            worker.reserve(ready.step.need, yields=not has_victims)
            self._failures.record_change()

    def _preempt(self, victim: AllocatedRun, ready: ReadySubtasks) -> None:
        """Stop a run, together with the other members if it belongs to a gang."""
        job = victim.job
        names = [victim.subtask]
        if job.step_of(victim.subtask).is_gang:
            names = job.members(gang_of(victim.subtask))
        for name in names:
            run = self._fleet.mark_stopping(job, name)
            if run is not None:
                self._plan.stops.append(Stop((job.id, name), run, ready.job.id, ready.rank))
