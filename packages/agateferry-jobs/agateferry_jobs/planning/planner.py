"""The planner: which waiting subtasks start where, and which runs are preempted for urgent ones.

Jobs are planned by rank, then by whether they can still meet their objective; where capacity is
scarce, late work goes last (see `job_order`). A gang starts whole or not at all. Urgent work that
cannot start preempts runs of lower rank, whole gangs at a time, at the least loss of work. The
resources that become free are reserved for it, so that jobs planned later do not get them.
"""

import sys
from collections.abc import Collection, Sequence
from dataclasses import replace

from agateferry_jobs.ledger import Job, Ledger, Run
from agateferry_jobs.ledger.commands import RunStart
from agateferry_jobs.ledger.specs import Resources
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
from agateferry_jobs.planning.plan_limits import MAX_PHASE_MS, PlanLimits, Steps, run_all
from agateferry_jobs.planning.plan_memory import PlanMemory
from agateferry_jobs.planning.preemption_cost import PreemptionCost, ValuedPreemptionCost, WaitCost
from agateferry_jobs.planning.preemption_policy import PreemptionPolicy, PreemptionRules
from agateferry_jobs.planning.ranks import BORROWED_RANK, GUARANTEED_RANK, rank_jobs
from agateferry_jobs.planning.readiness import Readiness
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.scarcity import is_capacity_scarce, need_of
from agateferry_jobs.planning.timing import Timing
from agateferry_jobs.planning.trial_selection import TrialSelector, waits_for_trial
from agateferry_jobs.planning.wait_reasons import WaitReason
from agateferry_jobs.planning.worker_allocation import NOTHING, AllocatedRun, WorkerAllocation
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
        memory: PlanMemory | None = None,
        limits: PlanLimits | None = None,
    ) -> None:
        self._ledger = ledger
        self._fleet = fleet
        self._now_ms = now_ms
        self._options = options
        self._limits = limits or PlanLimits()
        self._phase_began_ms = 0
        self._turns = {id: turn for turn, id in enumerate(self._limits.unreached)}
        self._needs: dict[str, Resources] = {}
        """By service, what the subtasks that may start need."""
        self._not_looked_at: dict[str, None] = {}
        self._not_placed: dict[str, None] = {}
        self._ranks = rank_jobs(ledger.jobs.values(), ledger.manifest, ledger.peak_gpus)
        self._plan = Plan(ranks=self._ranks)
        memory = memory or PlanMemory()
        memory.begin_plan(ledger.jobs, now_ms)
        self._timing = Timing(ledger, options.learns_durations, memory.estimates)
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
        self._idle_times = idle_times
        self._idle_search = IdleSearch(ledger, idle_times, self._candidates)
        self._readiness = Readiness(
            ledger,
            fleet,
            now_ms,
            self._ranks,
            self._timing,
            suspects,
            held,
            budget,
            memory.positions,
        )

    def plan(self) -> Plan:
        """Return the starts and stops that are due now."""
        return run_all(self.steps())

    def steps(self) -> Steps[Plan]:
        """Make the plan step by step; jobs may end between two of them."""
        waiting = yield from self._waiting_jobs()
        self._judge_capacity()
        is_fair = self._is_scarce and self._options.shares_fairly
        shares = shares_in_use(self._fleet, self._ranks) if is_fair else None
        order = JobOrder(self._ranks, self._values, self._options, self._is_scarce, shares)
        in_order = yield from order.sort_in_steps(waiting)
        self._begin_phase()
        left = yield from self._place_jobs(in_order, self._limits.max_starts_per_job)
        yield from self._place_jobs(left, sys.maxsize)
        self._plan.unreached = list(self._not_placed | self._not_looked_at)
        self._idle_times.carry_over(self._plan.unreached)
        return self._plan

    def _begin_phase(self) -> None:
        self._phase_began_ms = self._limits.spent_ms()

    def _is_phase_over(self, job: Job) -> bool:
        """Return whether the time of this phase of the plan is over, unless a job is urgent."""
        if self._ranks[job.id] <= BORROWED_RANK:
            return False
        return self._limits.spent_ms() - self._phase_began_ms >= MAX_PHASE_MS

    def _waiting_jobs(self) -> Steps[list[PlannedJob]]:
        """Return the jobs that have subtasks which may start now."""
        self._begin_phase()
        waiting: list[PlannedJob] = []
        for job in self._jobs_in_turn():
            yield
            if job.is_over:
                continue
            if self._is_phase_over(job):
                self._not_looked_at[job.id] = None
                continue
            all_ready: list[ReadySubtasks] = []
            try:
                yield from self._prepare(job)
                for ready in self._readiness.ready_subtasks(job):
                    all_ready.append(ready)
                    yield
                    if job.is_over:
                        break
            except Exception as exc:
                self._plan.errors[job.id] = repr(exc)
                continue
            if all_ready:
                waiting.append((job, all_ready))
                self._add_need(job, all_ready)
        return waiting

    def _prepare(self, job: Job) -> Steps[None]:
        """Compute in steps of their own what takes time for a job of many steps."""
        self._ledger.progress_of(job)
        yield
        if not job.is_over:
            self._timing.critical_path_ms(job)
            yield

    def _add_need(self, job: Job, all_ready: Sequence[ReadySubtasks]) -> None:
        service = self._ledger.service_of(job)
        needed = self._needs.get(service, NOTHING)
        self._needs[service] = needed.plus(need_of(each for each in all_ready if not each.is_held))

    def _jobs_in_turn(self) -> list[Job]:
        """Return the jobs in the order in which they are looked at.

        Urgent ones come first, then those that the plan before did not reach, in their turn.
        """
        jobs = [job for job in self._ledger.jobs.values() if job.id in self._ranks]
        return sorted(jobs, key=self._turn) if self._limits.unreached else jobs

    def _turn(self, job: Job) -> tuple[bool, int]:
        is_urgent = self._ranks[job.id] <= BORROWED_RANK
        return (not is_urgent, 0 if is_urgent else self._turns.get(job.id, len(self._turns)))

    def _place_jobs(self, jobs: Sequence[PlannedJob], quota: int) -> Steps[list[PlannedJob]]:
        """Place the subtasks of jobs; return what each has left after `quota` starts."""
        left: list[PlannedJob] = []
        if self._limits.unreached:
            jobs = sorted(jobs, key=lambda each: self._turn(each[0]))
        for job, all_ready in jobs:
            try:
                rest = yield from self._place_job(job, all_ready, quota)
            except Exception as exc:
                self._plan.errors[job.id] = repr(exc)
                continue
            if rest:
                left.append((job, rest))
        return left

    def _place_job(
        self, job: Job, all_ready: Sequence[ReadySubtasks], quota: int
    ) -> Steps[Sequence[ReadySubtasks]]:
        """Place the subtasks of one job; return what it has left after `quota` starts."""
        starts = self._plan.starts
        quota_end = len(starts) + quota
        for position, ready in enumerate(all_ready):
            if self._is_limit_reached(job):
                self._not_placed[job.id] = None
                return ()
            if len(starts) >= quota_end:
                return all_ready[position:]
            first, rest = ready.split(quota_end - len(starts))
            yield from self._place(first)
            if rest is not None:
                return (rest, *all_ready[position + 1 :])
        return ()

    def _is_limit_reached(self, job: Job) -> bool:
        """Return whether the plan starts nothing more of a job."""
        return len(self._plan.starts) >= self._limits.max_starts or self._is_phase_over(job)

    def _judge_capacity(self) -> None:
        """Find out whether capacity is scarce; if it is, preemptions cost what callers lose."""
        self._is_scarce = is_capacity_scarce(self._needs, self._fleet)
        options, values = self._options, self._values
        if self._is_scarce and options.values_victims and values.worth_per_core_second:
            self._cost = ValuedPreemptionCost(self._ranks, self._now_ms, options, values)
            self._preemptible = FutureCapacity(self._cost)

    def _place(self, ready: ReadySubtasks) -> Steps[None]:
        if ready.job.is_over:
            return
        candidates = self._candidates(ready)
        if ready.is_held:
            self._hold(ready, candidates)
            yield
            return
        limit = pace_limit(ready, self._fleet, self._timing, self._options)
        if limit is not None:
            left = yield from self._place_on(candidates.within_pace(limit), ready)
            if not left or ready.job.is_over:
                return
            ready = replace(ready, names=left)
            self._plan.waits.pop(ready.job.id, None)
        yield from self._place_on(candidates, ready)

    def _candidates(self, ready: ReadySubtasks) -> CandidateWorkers:
        queue = self._ledger.queue_of(ready.job)
        regions = queue.allowed_regions if queue is not None else ()
        return self._fleet.candidates(self._ledger.service_of(ready.job), ready.step, regions)

    def _place_on(
        self, candidates: CandidateWorkers, ready: ReadySubtasks
    ) -> Steps[tuple[str, ...]]:
        """Start subtasks on these workers or reserve resources there; return those left without."""
        selector = self._selector(candidates, ready)
        yield
        if ready.job.is_over:
            return ()
        if ready.step.is_gang:
            workers = self._failures.search(selector.gang_key(), selector.select_for_gang)
            if workers is None:
                return (yield from self._leave(ready, selector))
            self._start(ready, ready.names, workers)
            return ()
        worker: WorkerAllocation | None = None
        for position, name in enumerate(ready.names):
            if self._is_limit_reached(ready.job):
                self._not_placed[ready.job.id] = None
                return ()
            if worker is None or not selector.is_best_again(worker):
                worker = self._failures.search(selector.subtask_key(), selector.select_for_subtask)
            if worker is None:
                left = replace(ready, names=ready.names[position:])
                return (yield from self._leave(left, selector))
            self._start(ready, (name,), (worker,))
            yield
            if ready.job.is_over:
                return ()
        return ()

    def _hold(self, ready: ReadySubtasks, candidates: CandidateWorkers) -> None:
        """Record that subtasks wait since their start was refused, which counts as idle time."""
        idle = self._idle_search.find(ready, self._selector(candidates, ready))
        if idle is not None:
            self._plan.idle[ready.job.id] = idle
        self._plan.waits[ready.job.id] = WaitReason.HELD

    def _leave(self, ready: ReadySubtasks, selector: WorkerSelector) -> Steps[tuple[str, ...]]:
        """Handle subtasks that did not start; return those that may start on other workers.

        They start wherever they fit if they have been idle by choice for too long. Otherwise they
        wait for resources that become free, if any are kept for them.
        """
        idle = self._idle_search.find(ready, selector)
        if idle is not None:
            self._plan.idle[ready.job.id] = idle
            if self._options.limits_idle_jobs and idle.idle_ms >= MAX_IDLE_BY_CHOICE_MS:
                patient = replace(ready, may_wait_by_choice=False)
                return (yield from self._place_on(self._candidates(ready), patient))
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
