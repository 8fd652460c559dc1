"""The order in which waiting work starts, and what makes room for urgent work.

Jobs are taken by rank, then by what they can still reach. A gang starts whole or not at all. What
cannot start yet and is urgent takes runs of lower priority back, whole gangs at a time, those with
least to lose first; room that becomes free is promised to it, so that later jobs do not take it.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto

from agateferry_jobs.ledger import Job, Ledger, Run
from agateferry_jobs.ledger.commands import RunStart
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.ledger.state import gang_of
from agateferry_jobs.planning.choice import Chooser
from agateferry_jobs.planning.fleet import AllocatedRun, Fleet, RunKey, WorkerAllocation
from agateferry_jobs.planning.preemption_cost import PreemptionCost, WaitCost
from agateferry_jobs.planning.ranks import BORROWED_RANK, rank_jobs
from agateferry_jobs.planning.timing import Lateness, Timing, open_occurrence

KEEP_SHARE = 0.05
"""A gang that has waited for this share of its slack keeps room that becomes free for itself."""
TAKE_BACK_SHARE = 0.7
"""A gang that has waited for this share of its slack takes runs of lower ranks back."""


class PreemptionPolicy(Enum):
    """What a wave that cannot start may do to others."""

    WAIT = auto()
    RESERVE = auto()
    PREEMPT = auto()


@dataclass(frozen=True, slots=True)
class Stop:
    """A run to stop, and the job and the subtasks that its room is for."""

    key: RunKey
    run: Run
    for_job: str
    for_rank: int


@dataclass(slots=True)
class Plan:
    """What to start and what to stop."""

    starts: list[RunStart] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ReadySubtasks:
    """Subtasks of one step of one occurrence that may start now."""

    job: Job
    gang: str
    step: StepSpec
    names: tuple[str, ...]
    rank: int
    length_ms: int
    waited_ms: int
    hopeless_after_ms: float
    """The wait after which the job can reach nothing any more."""
    waited_share: float
    """The wait as a share of the job's slack."""


class Planner:
    """Make one plan from the ledger and the fleet as they stand."""

    def __init__(self, ledger: Ledger, fleet: Fleet, now_ms: int) -> None:
        self._ledger = ledger
        self._fleet = fleet
        self._now_ms = now_ms
        self._plan = Plan()
        self._ranks = rank_jobs(ledger.jobs.values(), ledger.manifest)
        self._timing = Timing(ledger)
        self._preemption_cost = PreemptionCost(self._ranks, now_ms)
        self._wait_cost = WaitCost(self._timing, now_ms)

    def plan(self) -> Plan:
        """Return the starts and stops that are due now."""
        for job in self._waiting_jobs():
            for ready in self._ready_subtasks(job):
                self._place(ready)
        return self._plan

    def _waiting_jobs(self) -> list[Job]:
        jobs = [job for job in self._ledger.jobs.values() if not job.is_over]
        return sorted(jobs, key=self._turn)

    def _turn(self, job: Job) -> tuple[int, int, float, str]:
        """Return what jobs are ordered by.

        Urgent jobs go in the order in which they came. The others go by what they can still reach,
        then by the time that they can still wait: the largest gang of a rank often waits longest
        for its room, and a short job that is late anyway must not go before it.
        """
        rank = self._ranks[job.id]
        if rank <= BORROWED_RANK:
            return (rank, 0, job.accepted_ms, job.id)
        waited = self._timing.waited_ms(job, open_occurrence(job), self._now_ms)
        spare_ms = self._timing.slack_ms(job) - waited
        return (rank, self._timing.lateness(job, waited), spare_ms, job.id)

    def _ready_subtasks(self, job: Job) -> Iterator[ReadySubtasks]:
        for occurrence in range(job.spec.occurrences):
            due_ms = job.spec.due_ms(occurrence)
            if due_ms > self._now_ms:
                return
            for number, step in enumerate(job.spec.steps):
                ready = self._ready_of_step(job, occurrence, number, step)
                if ready is not None:
                    yield ready

    def _ready_of_step(
        self, job: Job, occurrence: int, number: int, step: StepSpec
    ) -> ReadySubtasks | None:
        gang = f"{occurrence}.{number}"
        names = tuple(
            name
            for name in job.members(gang)
            if not job.subtasks[name].is_done and job.subtasks[name].active is None
        )
        if not names or (step.is_gang and len(names) < step.count):
            return None
        if not all(job.is_step_done(occurrence, earlier) for earlier in step.depends_on):
            return None
        waited = self._timing.waited_ms(job, occurrence, self._now_ms)
        return ReadySubtasks(
            job,
            gang,
            step,
            names,
            rank=self._ranks[job.id],
            length_ms=self._timing.length_ms(job, number),
            waited_ms=waited,
            hopeless_after_ms=self._timing.hopeless_after_ms(job),
            waited_share=waited / max(1.0, self._timing.slack_ms(job)),
        )

    def _place(self, ready: ReadySubtasks) -> None:
        chooser = Chooser(self._workers_for(ready.job), ready, self._ranks)
        if ready.step.is_gang:
            workers = chooser.whole()
            if workers is None:
                self._make_room(ready, chooser, ready.names)
                return
            self._start(ready, ready.names, workers)
            return
        for position, name in enumerate(ready.names):
            worker = chooser.single()
            if worker is None:
                self._make_room(ready, chooser, ready.names[position:])
                return
            self._start(ready, (name,), (worker,))

    def _workers_for(self, job: Job) -> list[WorkerAllocation]:
        manifest = self._ledger.manifest
        queue = manifest.queue_named(job.queue) if manifest is not None else None
        service = queue.service if queue is not None else job.service
        return self._fleet.by_service.get(service, [])

    def _start(
        self, ready: ReadySubtasks, names: Sequence[str], workers: Sequence[WorkerAllocation]
    ) -> None:
        job = ready.job
        number = 1 + max(job.subtasks[name].last_run for name in names)
        checkpoint = self._checkpoint(ready, names)
        for name, worker in zip(names, workers, strict=True):
            worker.allocate(job, name)
            run = Run(number, worker.incarnation.id, worker.incarnation.born)
            self._plan.starts.append(RunStart(job.id, name, run, checkpoint))

    def _checkpoint(self, ready: ReadySubtasks, names: Sequence[str]) -> str:
        """Return the newest checkpoint; any member's serves its whole gang."""
        subtasks = [ready.job.subtasks[name] for name in names]
        saved = [each for each in subtasks if each.checkpoint]
        return max(saved, key=lambda s: s.last_run).checkpoint if saved else ""

    def _make_room(self, ready: ReadySubtasks, chooser: Chooser, names: Sequence[str]) -> None:
        """Promise room to what goes first, and take back what stands in its way where that pays."""
        policy = self._preemption_policy(ready)
        if policy is PreemptionPolicy.WAIT:
            return
        takes_back = policy is PreemptionPolicy.PREEMPT
        for worker, runs in chooser.room_for(
            len(names), self._preemption_cost if takes_back else self._wait_cost
        ):
            if takes_back:
                for run in runs:
                    self._stop(run, ready)
            worker.reserve(ready.step.need)

    def _preemption_policy(self, ready: ReadySubtasks) -> PreemptionPolicy:
        """Tell what a wave that cannot start may do to others."""
        if ready.rank <= BORROWED_RANK:
            return PreemptionPolicy.PREEMPT
        if not ready.step.is_gang:
            return PreemptionPolicy.WAIT
        if self._timing.lateness(ready.job, ready.waited_ms) is not Lateness.IN_TIME:
            return PreemptionPolicy.WAIT
        if ready.waited_share > TAKE_BACK_SHARE:
            return PreemptionPolicy.PREEMPT
        return (
            PreemptionPolicy.RESERVE if ready.waited_share > KEEP_SHARE else PreemptionPolicy.WAIT
        )

    def _stop(self, victim: AllocatedRun, ready: ReadySubtasks) -> None:
        """Stop a run, and the other members with it where it belongs to a gang."""
        job = victim.job
        names = [victim.subtask]
        if job.step_of(victim.subtask).is_gang:
            names = job.members(gang_of(victim.subtask))
        for workers in self._fleet.by_service.values():
            for worker in workers:
                for other in worker.runs:
                    if other.job is job and other.subtask in names and not other.is_stopping:
                        worker.mark_stopping(other)
                        run = job.subtasks[other.subtask].active
                        if run is not None:
                            key = (job.id, other.subtask)
                            self._plan.stops.append(Stop(key, run, ready.job.id, ready.rank))
