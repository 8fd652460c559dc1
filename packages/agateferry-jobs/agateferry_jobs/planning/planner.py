"""The planner: which waiting subtasks start where, and which runs are preempted for urgent ones.

Jobs are planned by rank, then by whether they can still meet their objective. A gang starts whole
or not at all. Urgent work that cannot start preempts runs of lower rank, whole gangs at a time, at
the least loss of work. The resources that become free are reserved for it, so that jobs planned
later do not get them.
"""

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum, auto

from agateferry_jobs.ledger import Job, Ledger, Run
from agateferry_jobs.ledger.commands import RunStart
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.ledger.state import gang_of
from agateferry_jobs.manifest import Queue
from agateferry_jobs.planning.crash_suspects import CrashSuspects
from agateferry_jobs.planning.failed_searches import FailedSearches
from agateferry_jobs.planning.fleet import (
    AllocatedRun,
    CandidateWorkers,
    Fleet,
    RunKey,
    WorkerAllocation,
)
from agateferry_jobs.planning.future_capacity import FutureCapacity
from agateferry_jobs.planning.options import DEFAULT_OPTIONS, PolicyOptions
from agateferry_jobs.planning.pace_limits import pace_limit, prefers_slow
from agateferry_jobs.planning.preemption_cost import PreemptionCost, WaitCost
from agateferry_jobs.planning.ranks import BORROWED_RANK, rank_jobs
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.timing import Lateness, Timing, first_unfinished_occurrence
from agateferry_jobs.planning.trial_selection import TrialSelector, waits_for_trial
from agateferry_jobs.planning.worker_selection import WorkerSelector


class PreemptionPolicy(Enum):
    """What ready subtasks that cannot start may do to other work."""

    WAIT = auto()
    RESERVE = auto()
    PREEMPT = auto()


@dataclass(frozen=True, slots=True)
class Stop:
    """A run to stop, and the id and the rank of the job that gets its resources."""

    key: RunKey
    run: Run
    for_job: str
    for_rank: int


@dataclass(slots=True)
class Plan:
    """The runs to start and to stop, and the jobs that could not be planned."""

    starts: list[RunStart] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    errors: dict[str, str] = field(default_factory=dict)
    """By job id, the unexpected error for which a job was left out; the others are planned."""


class Planner:
    """Make one plan from the ledger and the fleet at one moment.

    The subtasks in `held` are left out.
    """

    def __init__(
        self,
        ledger: Ledger,
        fleet: Fleet,
        now_ms: int,
        options: PolicyOptions = DEFAULT_OPTIONS,
        held: Collection[RunKey] = (),
    ) -> None:
        self._ledger = ledger
        self._fleet = fleet
        self._now_ms = now_ms
        self._options = options
        self._held = held
        self._plan = Plan()
        self._ranks = rank_jobs(ledger.jobs.values(), ledger.manifest)
        self._timing = Timing(ledger, options.learns_durations)
        self._preemptible = FutureCapacity(PreemptionCost(self._ranks, now_ms, options))
        self._ending = FutureCapacity(WaitCost(self._timing, now_ms))
        self._failures = FailedSearches()
        self._suspects = CrashSuspects(ledger, now_ms)
        if not options.uses_paces:
            fleet.set_paces({})
        fleet.mark_trials(self._suspects.on_trial())

    def plan(self) -> Plan:
        """Return the starts and stops that are due now."""
        for job in self._waiting_jobs():
            try:
                self._plan_job(job)
            except Exception as exc:
                self._plan.errors[job.id] = repr(exc)
        return self._plan

    def _plan_job(self, job: Job) -> None:
        for ready in self._ready_subtasks(job):
            self._place(ready)

    def _waiting_jobs(self) -> list[Job]:
        jobs = [job for job in self._ledger.jobs.values() if not job.is_over]
        return sorted(jobs, key=self._sort_key)

    def _sort_key(self, job: Job) -> tuple[int, int, float, str]:
        """Return the sort key of jobs.

        Urgent jobs are planned in the order in which they were accepted. The others are ordered by
        their lateness, then by the slack that is left: the largest gang of a rank often waits
        longest for its workers, and a short job that is late anyway must not go before it.
        """
        rank = self._ranks[job.id]
        if rank <= BORROWED_RANK:
            return (rank, 0, job.accepted_ms, job.id)
        waited = self._timing.waited_ms(job, first_unfinished_occurrence(job), self._now_ms)
        lateness = self._timing.lateness(job, waited) if self._options.orders_by_lateness else 0
        remaining_slack_ms = self._timing.slack_ms(job) - waited
        order = remaining_slack_ms if self._options.orders_by_slack else job.accepted_ms
        return (rank, lateness, order, job.id)

    def _ready_subtasks(self, job: Job) -> Iterator[ReadySubtasks]:
        for occurrence in range(job.spec.occurrences):
            due_ms = job.spec.due_ms(occurrence)
            if due_ms > self._now_ms:
                return
            for number, step in enumerate(job.spec.steps):
                yield from self._ready_of_step(job, occurrence, number, step)

    def _ready_of_step(
        self, job: Job, occurrence: int, number: int, step: StepSpec
    ) -> Iterator[ReadySubtasks]:
        gang = f"{occurrence}.{number}"
        names = tuple(
            name
            for name in job.members(gang)
            if not job.subtasks[name].is_done and job.subtasks[name].active is None
        )
        if job.crashes or self._held:
            names = tuple(name for name in names if not self._must_wait(job, name))
        if not names or (step.is_gang and len(names) < step.count):
            return
        if not all(job.is_step_done(occurrence, earlier) for earlier in step.depends_on):
            return
        waited = self._timing.waited_ms(job, occurrence, self._now_ms)
        ready = ReadySubtasks(
            job,
            gang,
            step,
            names,
            rank=self._ranks[job.id],
            expected_duration_ms=self._timing.expected_duration_ms(job, number),
            waited_ms=waited,
            hopeless_after_ms=self._timing.hopeless_after_ms(job),
            waited_slack_share=waited / max(1.0, self._timing.slack_ms(job)),
            prefers_slow=prefers_slow(job, self._ranks[job.id], waited, self._fleet, self._timing),
        )
        yield from self._split_suspects(ready)

    def _must_wait(self, job: Job, name: str) -> bool:
        """Return whether a subtask is about to be given up, or was refused just now."""
        return self._suspects.is_guilty(job, name) or (job.id, name) in self._held

    def _split_suspects(self, ready: ReadySubtasks) -> Iterator[ReadySubtasks]:
        """Tell the suspects from the others; a gang with one suspect is suspected as a whole."""
        job = ready.job
        if not self._suspects.has_suspects(job):
            yield ready
            return
        suspects = tuple(name for name in ready.names if self._suspects.is_suspect(job, name))
        if not suspects:
            yield ready
            return
        since_ms = max(self._suspects.suspected_since_ms(job, name) for name in suspects)
        if ready.step.is_gang:
            suspects = ready.names
        others = tuple(name for name in ready.names if name not in suspects)
        if others:
            yield replace(ready, names=others)
        yield replace(ready, names=suspects, trial_wait_ms=self._now_ms - since_ms)

    def _place(self, ready: ReadySubtasks) -> None:
        queue = self._queue_of(ready.job)
        service = queue.service if queue is not None else ready.job.service
        regions = queue.allowed_regions if queue is not None else ()
        candidates = self._fleet.candidates(service, ready.step, regions)
        limit = pace_limit(ready, self._fleet, self._timing, self._options)
        if limit is not None:
            left = self._place_on(candidates.within_pace(limit), ready)
            if not left:
                return
            ready = replace(ready, names=left)
        self._place_on(candidates, ready)

    def _place_on(self, candidates: CandidateWorkers, ready: ReadySubtasks) -> tuple[str, ...]:
        """Start subtasks on these workers, or reserve room there; return those left without any."""
        selector = self._selector(candidates, ready)
        if ready.step.is_gang:
            workers = self._failures.search(selector.gang_key(), selector.select_for_gang)
            if workers is None:
                found = self._reserve_or_preempt(ready, selector, ready.names)
                return () if found else ready.names
            self._start(ready, ready.names, workers)
            return ()
        for position, name in enumerate(ready.names):
            worker = self._failures.search(selector.subtask_key(), selector.select_for_subtask)
            if worker is None:
                names = ready.names[position:]
                return () if self._reserve_or_preempt(ready, selector, names) else names
            self._start(ready, (name,), (worker,))
        return ()

    def _selector(self, candidates: CandidateWorkers, ready: ReadySubtasks) -> WorkerSelector:
        trials = self._fleet.count_trials(candidates.service)
        selector = TrialSelector if ready.is_suspect else WorkerSelector
        return selector(candidates, ready, self._ranks, self._options, trials)

    def _queue_of(self, job: Job) -> Queue | None:
        manifest = self._ledger.manifest
        return manifest.queue_named(job.queue) if manifest is not None else None

    def _start(
        self, ready: ReadySubtasks, names: Sequence[str], workers: Sequence[WorkerAllocation]
    ) -> None:
        job = ready.job
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

    def _reserve_or_preempt(
        self, ready: ReadySubtasks, selector: WorkerSelector, names: Sequence[str]
    ) -> bool:
        """Reserve resources for subtasks that cannot start; preempt if the policy allows it.

        Returns whether resources for all of them were found.
        """
        if waits_for_trial(ready) or selector.awaits_report():
            return False
        policy = self._preemption_policy(ready)
        if policy is PreemptionPolicy.WAIT:
            return False
        preempts = policy is PreemptionPolicy.PREEMPT
        capacity = self._preemptible if preempts else self._ending
        placements = self._failures.search(
            selector.future_key(len(names), preempts),
            lambda: capacity.cheapest(selector.future_groups(), ready, len(names)),
        )
        for worker, runs in placements or ():
            if preempts:
                for victim in runs:
                    self._preempt(victim, ready)
            worker.reserve(ready.step.need)
            self._failures.record_change()
        return bool(placements)

    def _preemption_policy(self, ready: ReadySubtasks) -> PreemptionPolicy:
        """Return what ready subtasks that cannot start may do to other work."""
        if ready.rank <= BORROWED_RANK:
            may_preempt = ready.rank < BORROWED_RANK or self._options.borrowed_work_preempts
            return PreemptionPolicy.PREEMPT if may_preempt else PreemptionPolicy.RESERVE
        if not ready.step.is_gang:
            return PreemptionPolicy.WAIT
        if self._timing.lateness(ready.job, ready.waited_ms) is not Lateness.IN_TIME:
            return PreemptionPolicy.WAIT
        if ready.waited_slack_share > self._options.preempt_after:
            return PreemptionPolicy.PREEMPT
        return (
            PreemptionPolicy.RESERVE
            if ready.waited_slack_share > self._options.reserve_after
            else PreemptionPolicy.WAIT
        )

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
