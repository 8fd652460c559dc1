"""Plans at fixed steps of virtual time, carried out on a ledger without any network.

Starts begin at once, runs end by themselves, and stops take effect after a while.

    play = PlanningPlay()
    play.add(worker("w1"))
    play.submit(job_command("j"))
    play.step()
    assert play.is_running("j")
"""

import heapq
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from itertools import count
from typing import Any

import msgspec

from agateferry_jobs.backoff import Backoff
from agateferry_jobs.cell.leader import MAX_REFUSAL_DELAY_MS, REFUSAL_DELAY_MS
from agateferry_jobs.ledger import Job, Ledger, Run, WorkerIncarnation, WorkerState, commands
from agateferry_jobs.ledger.commands import CrashReport, LossCause, RunOutcome, RunStart
from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.ledger.state import RunKey, WorkerKey
from agateferry_jobs.manifest import Manifest
from agateferry_jobs.planning import Fleet, Plan, Planner, WorkerHealth
from agateferry_jobs.planning.crash_suspects import CrashSuspects
from agateferry_jobs.planning.idle_jobs import IdleTimes
from agateferry_jobs.start_budget import DEFAULT_BUDGET
from agateferry_jobs.support.builders import manifest

PLAN_INTERVAL_MS = 200
START_MS = 1_000_000
"""The time of the first plan, so that jobs and runs can be older than the play."""


class PlanningPlay:
    """A ledger, the health of its workers, and what happens to them at which time."""

    def __init__(
        self, in_force: Manifest | None = None, stop_delay_ms: int = PLAN_INTERVAL_MS
    ) -> None:
        self.ledger = Ledger()
        self.health: dict[str, WorkerHealth] = {}
        self.paces: dict[WorkerKey, float] = {}
        self.refusing: set[str] = set()
        """The ids of the workers that refuse each start."""
        self.refusals = Backoff[RunKey](REFUSAL_DELAY_MS, MAX_REFUSAL_DELAY_MS)
        self.start_ms = self.now_ms = START_MS
        self.budget = DEFAULT_BUDGET
        self.plan = Plan()
        """The newest plan."""
        self.pending_changes = 0
        """How many scheduled changes, other than ends of runs, are still to come."""
        self._idle_times = IdleTimes()
        self._stop_delay_ms = stop_delay_ms
        self._run_ms: dict[str, int] = {}
        self._stopping: dict[RunKey, Run] = {}
        self._stop_ordered_ms: dict[RunKey, int] = {}
        self._agenda: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = count()
        self.apply(commands.PutManifest(in_force or manifest()))

    def apply(self, command: commands.Command) -> Any:
        """Apply a command to the ledger."""
        return self.ledger.apply(1, commands.encode(command))

    def add(self, *incarnations: WorkerIncarnation, **health: bool) -> None:
        """Add workers of one health."""
        for incarnation in incarnations:
            self.apply(commands.NoteWorker(incarnation, self.now_ms))
            self.health[incarnation.id] = WorkerHealth(**health)  # type: ignore[arg-type]

    def set_health(self, id: str, **changes: bool) -> None:
        """Change the health of a worker."""
        self.health[id] = replace(self.health[id], **changes)  # type: ignore[arg-type]

    def resize(self, id: str, capacity: Resources) -> None:
        """Change the capacity that a worker reports."""
        incarnation = self.ledger.workers[id]
        resized = msgspec.structs.replace(incarnation, capacity=capacity)
        self.apply(commands.NoteWorker(resized, self.now_ms))

    def submit(self, command: commands.AcceptJob, run_ms: int = 0) -> Job:
        """Submit a job whose runs take `run_ms`, or as long as declared."""
        self.apply(command)
        if run_ms:
            self._run_ms[command.id] = run_ms
        return self.ledger.jobs[command.id]

    def start_on(self, job: str, workers: Mapping[str, str], age_ms: int, run_ms: int) -> None:
        """Start subtasks on the workers named, `age_ms` ago; they end after `run_ms` in all."""
        self._run_ms[job] = run_ms
        starts = []
        for name, id in workers.items():
            run = Run(1, id, self.ledger.workers[id].born)
            starts.append(RunStart(job, name, run))
        self._start(starts, self.now_ms - age_ms)

    def crash(self, incarnation: WorkerIncarnation, at_ms: int, silent_since_ms: int) -> None:
        """Let a worker crash, and end its runs as lost."""
        gone = msgspec.structs.replace(incarnation, state=WorkerState.GONE)
        report = CrashReport(incarnation.id, incarnation.born, silent_since_ms)
        self.apply(commands.NoteWorker(gone, at_ms, report))
        ends = tuple(
            commands.RunEnded(job.id, name, run, RunOutcome.LOST, loss=LossCause.CRASHED)
            for job, name, run in active_runs(self.ledger)
            if run.worker == incarnation.id
        )
        self.apply(commands.EndRuns(ends, at_ms))

    def at(self, at_ms: int, change: Callable[[], None]) -> None:
        """Schedule a change."""
        self.pending_changes += 1

        def make_change() -> None:
            self.pending_changes -= 1
            change()

        self._schedule(at_ms, make_change)

    def step(self) -> Plan:
        """Make and execute one plan; the next one is made `PLAN_INTERVAL_MS` later."""
        self._run_agenda()
        self._give_up_guilty_jobs()
        fleet = Fleet.from_ledger(
            self.ledger, self.health, self._stopping, overdue=self._overdue_stops()
        )
        fleet.set_paces(self.paces)
        held = self.refusals.held(self.now_ms)
        planner = Planner(
            self.ledger,
            fleet,
            self.now_ms,
            held=held,
            idle_times=self._idle_times,
            budget=self.budget,
        )
        self.plan = planner.plan()
        for stop in self.plan.stops:
            self._stop(stop.key, stop.run)
        self._start(self.plan.starts, self.now_ms)
        return self.plan

    def advance(self) -> None:
        """Let the time until the next plan pass."""
        self.now_ms += PLAN_INTERVAL_MS

    def wait_until_started(self, job: str, limit_ms: int) -> int | None:
        """Return after how many ms a job starts, None if that is after `limit_ms`."""
        began_ms = self.now_ms
        while self.now_ms - began_ms <= limit_ms:
            self.step()
            if self.is_running(job):
                return self.now_ms - began_ms
            self.advance()
        return None

    @property
    def workers(self) -> Mapping[str, WorkerIncarnation]:
        """Return the workers by their ids."""
        return self.ledger.workers

    def active_runs(self) -> Iterable[tuple[Job, str, Run]]:
        """Return the runs that the ledger knows, with their job and subtask."""
        return active_runs(self.ledger)

    def is_running(self, job: str) -> bool:
        """Return whether a job has a run."""
        subtasks = self.ledger.jobs[job].subtasks.values()
        return any(subtask.active is not None for subtask in subtasks)

    def workers_of(self, job: str) -> list[str]:
        """Return the ids of the workers on which a job runs."""
        subtasks = self.ledger.jobs[job].subtasks.values()
        return [each.active.worker for each in subtasks if each.active is not None]

    def _schedule(self, at_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._agenda, (at_ms, next(self._numbers), action))

    def _run_agenda(self) -> None:
        while self._agenda and self._agenda[0][0] <= self.now_ms:
            _, _, action = heapq.heappop(self._agenda)
            action()

    def _give_up_guilty_jobs(self) -> None:
        suspects = CrashSuspects(self.ledger, self.now_ms)
        for each in list(suspects.guilty()):
            command = commands.GiveUpJob(each.job.id, each.subtask, each.reason, self.now_ms)
            self.apply(command)

    def _start(self, starts: Iterable[RunStart], at_ms: int) -> None:
        accepted = self.apply(commands.StartRuns(tuple(starts), at_ms))
        for start in accepted:
            self._schedule_end(start, at_ms)

    def _schedule_end(self, start: RunStart, at_ms: int) -> None:
        key, run = (start.job, start.subtask), start.run
        if run.worker in self.refusing:
            self._schedule(at_ms + PLAN_INTERVAL_MS, lambda: self._refuse(key, run))
            return
        step = self.ledger.jobs[start.job].step_of(start.subtask)
        if step.is_long_running:
            return
        pace = self.paces.get(run.worker_key, 1.0)
        duration_ms = round(pace * self._run_ms.get(start.job, step.estimated_ms))
        self._schedule(at_ms + duration_ms, lambda: self._end(key, run, RunOutcome.DONE))

    def _overdue_stops(self) -> set[RunKey]:
        limit_ms = self.now_ms - self.budget.preemption_ms
        return {key for key, at_ms in self._stop_ordered_ms.items() if at_ms < limit_ms}

    def _refuse(self, key: RunKey, run: Run) -> None:
        self.refusals.record_failure(key, self.now_ms)
        self._end(key, run, RunOutcome.REFUSED)

    def _stop(self, key: RunKey, run: Run) -> None:
        self._stopping[key] = run
        self._stop_ordered_ms[key] = self.now_ms
        at_ms = self.now_ms + self._stop_delay_ms
        self._schedule(at_ms, lambda: self._end(key, run, RunOutcome.STOPPED))

    def _end(self, key: RunKey, run: Run, outcome: RunOutcome) -> None:
        """End a run; that of a worker that does not answer stays until it does."""
        job, name = key
        subtask = self.ledger.jobs[job].subtasks.get(name)
        if subtask is None or subtask.active != run:
            return
        if not self.health[run.worker].answers:
            self._schedule(self.now_ms + PLAN_INTERVAL_MS, lambda: self._end(key, run, outcome))
            return
        if self._stopping.get(key) == run:
            del self._stopping[key]
            del self._stop_ordered_ms[key]
        self.apply(commands.EndRuns((commands.RunEnded(job, name, run, outcome),), self.now_ms))


def active_runs(ledger: Ledger) -> Iterable[tuple[Job, str, Run]]:
    """Return the runs that the ledger knows, with their job and subtask."""
    for job in ledger.jobs.values():
        for name, subtask in job.subtasks.items():
            if subtask.active is not None:
                yield job, name, subtask.active
