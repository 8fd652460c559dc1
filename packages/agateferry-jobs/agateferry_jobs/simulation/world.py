"""One simulated day: workers that run what the policy starts, in steps of virtual time."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.cell.leader import HUNG_MS, TICK_MS
from agateferry_jobs.ledger import Ledger, WorkerIncarnation, commands
from agateferry_jobs.ledger.state import Run, gang_of
from agateferry_jobs.manifest import Manifest, Queue, Service, Team
from agateferry_jobs.planning import Fleet, Plan, WorkerHealth
from agateferry_jobs.planning.fleet import RunKey
from agateferry_jobs.simulation.loads import (
    WORKER_ROOM,
    Load,
    Outage,
    SimulatedJob,
    Slowness,
)
from agateferry_jobs.simulation.policies import Policy

STEP_MS = 50
"""How much time passes between two looks at the world."""
AFTER_S = 25
"""How long a day goes on after its last job came."""
STOP_MS = (100, 900)
"""The least and the most that a stop takes."""
RESTORE_MS = 600
"""What a start from a checkpoint takes before it works on."""
CALL_TIMEOUT_MS = 3_000
"""A bound of callers' calls that the manifest needs; nobody calls in a simulation."""
FAR_FACTOR = 3
"""How many times as long a gang takes that asked for one rack and is on several."""
OUTAGE_DRAW = 1_000
"""Where the draws of outages begin, so that they hit other workers than slowness does."""


@dataclass(slots=True)
class Group:
    """A subtask that runs, or the members of a gang that run together."""

    job: SimulatedJob
    members: dict[str, Run]
    work_ms: float
    done_ms: float
    fails_at_ms: float | None
    far_factor: int
    restore_ms: float = 0.0
    ran_ms: float = 0.0
    still_ms: float = 0.0
    stops_at_ms: int | None = None

    @property
    def saved_ms(self) -> float:
        """Return the work that a checkpoint holds."""
        if not self.job.spec.steps[0].saves_checkpoints:
            return 0.0
        return self.done_ms


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one job; None where it did not end as done."""

    job: SimulatedJob
    ended_ms: int | None


@dataclass(slots=True)
class Day:
    """What a day came to; times in ms from its start."""

    outcomes: list[Outcome]
    wasted_gpu_s: float
    stops: int
    far_starts: int


class World:
    """Play one day of a load under a policy."""

    def __init__(self, load: Load, jobs: Sequence[SimulatedJob], policy: Policy, seed: int) -> None:
        self._load = load
        self._coming = list(jobs)
        self._jobs = {job.id: job for job in jobs}
        self._policy = policy
        self._rng = random.Random(seed)
        self._ledger = Ledger()
        self._groups: list[Group] = []
        self._failed: dict[str, int] = {}
        self._wasted_gpu_s = 0.0
        self._stops = 0
        self._far_starts = 0
        self._now_ms = 0
        self._speeds: dict[str, float] = {}
        self._cut_off: set[str] = set()
        self._racks: dict[str, str] = {}

    def play(self) -> Day:
        """Return what the day came to."""
        self._open()
        end_ms = round((self._load.length_s + AFTER_S) * MS_PER_S)
        is_changed = True
        for self._now_ms in range(0, end_ms, STEP_MS):
            is_changed |= self._accept()
            is_changed |= self._set_reach()
            self._set_speeds()
            is_changed |= self._work()
            if is_changed or self._now_ms % TICK_MS == 0:
                self._plan()
                is_changed = False
        return Day(
            [Outcome(job, self._ended_ms(job)) for job in self._jobs.values()],
            self._wasted_gpu_s,
            self._stops,
            self._far_starts,
        )

    def _ended_ms(self, job: SimulatedJob) -> int | None:
        held = self._ledger.jobs[job.id]
        return held.ended_ms if held.is_completed else None

    def _do(self, command: commands.Command) -> None:
        self._ledger.apply(1, commands.encode(command))

    def _open(self) -> None:
        self._do(commands.PutManifest(_manifest(self._load)))
        for number in range(self._load.workers):
            id = f"w{number:03d}"
            rack = f"r{number // self._load.workers_per_rack}"
            self._racks[id] = rack
            labels = ("kind", rack)
            incarnation = WorkerIncarnation(
                id, 1, "pool", id, "zone", WORKER_ROOM, labels, WORKER_ROOM.gpu
            )
            self._do(commands.NoteWorker(incarnation))

    def _accept(self) -> bool:
        due = [job for job in self._coming if job.at_ms <= self._now_ms]
        self._coming = self._coming[len(due) :]
        for job in due:
            kind = job.kind
            self._do(
                commands.AcceptJob(
                    job.id,
                    kind.name,
                    "pool",
                    job.team,
                    kind.priority,
                    kind.attempts,
                    self._now_ms,
                    job.spec,
                )
            )
        return bool(due)

    def _set_speeds(self) -> None:
        """Work out how fast each worker is now."""
        self._speeds = dict.fromkeys(self._racks, 1.0)
        for number, slowness in enumerate(self._load.slowness):
            for id in self._hit_by(slowness, number):
                self._speeds[id] = 1 / slowness.times if slowness.times else 0.0

    def _set_reach(self) -> bool:
        """Work out which workers are cut off now; tell whether that changed."""
        before = self._cut_off
        self._cut_off = set()
        for number, outage in enumerate(self._load.outages):
            hit = self._hit_by(outage, OUTAGE_DRAW + number)
            if outage.rack is not None and self._is_now(outage):
                hit = {id for id, rack in self._racks.items() if rack == f"r{outage.rack}"}
            self._cut_off |= hit
        return before != self._cut_off

    def _hit_by(self, span: Slowness | Outage, draw: int) -> set[str]:
        """Return the workers that a span hits now; `draw` makes each span hit its own."""
        if not self._is_now(span):
            return set()
        ids = sorted(self._racks)
        return set(random.Random(draw).sample(ids, round(span.share * len(ids))))

    def _is_now(self, span: Slowness | Outage) -> bool:
        begin_ms = span.at_s * MS_PER_S
        return begin_ms <= self._now_ms < begin_ms + span.for_s * MS_PER_S

    def _work(self) -> bool:
        """Let all groups work for one step; tell whether any ended."""
        ended = [group for group in self._groups if self._advance(group)]
        self._groups = [group for group in self._groups if group not in ended]
        return bool(ended)

    def _advance(self, group: Group) -> bool:
        workers = {run.worker for run in group.members.values()}
        speed = min(self._speeds[worker] for worker in workers)
        is_hidden = bool(workers & self._cut_off)
        group.ran_ms += STEP_MS
        group.still_ms = 0.0 if speed else group.still_ms + STEP_MS
        if group.stops_at_ms is not None:
            if not is_hidden and self._now_ms >= group.stops_at_ms:
                self._end(group, commands.RunOutcome.STOPPED)
                return True
            return False
        if group.still_ms > HUNG_MS and not is_hidden:
            self._stop(group)
            return False
        if group.restore_ms > 0:
            group.restore_ms -= STEP_MS
            return False
        group.done_ms += STEP_MS * speed / group.far_factor
        if is_hidden:
            return False
        if group.fails_at_ms is not None and group.done_ms >= group.fails_at_ms:
            self._failed[group.job.id] = self._failed.get(group.job.id, 0) + 1
            self._end(group, commands.RunOutcome.FAILED)
            return True
        if group.done_ms >= group.work_ms:
            self._end(group, commands.RunOutcome.DONE)
            return True
        return False

    def _end(self, group: Group, outcome: commands.RunOutcome) -> None:
        checkpoint = str(round(group.saved_ms)) if group.saved_ms else ""
        ends = tuple(
            commands.RunEnded(group.job.id, name, run, outcome, checkpoint)
            for name, run in group.members.items()
        )
        if outcome is not commands.RunOutcome.DONE:
            lost_ms = group.ran_ms if not checkpoint else 0.0
            gpus = group.job.spec.steps[0].need.gpu * len(group.members)
            self._wasted_gpu_s += lost_ms * gpus / MS_PER_S
        self._do(commands.EndRuns(ends, self._now_ms))

    def _stop(self, group: Group) -> None:
        if group.stops_at_ms is None:
            self._stops += 1
            group.stops_at_ms = self._now_ms + self._rng.randint(*STOP_MS)

    def _plan(self) -> None:
        stopping: set[RunKey] = {
            (group.job.id, name)
            for group in self._groups
            if group.stops_at_ms is not None
            for name in group.members
        }
        health = {id: WorkerHealth(answers=id not in self._cut_off) for id in self._racks}
        fleet = Fleet.from_ledger(self._ledger, health, stopping)
        plan = self._policy.plan(self._ledger, fleet, self._now_ms)
        for stop in plan.stops:
            for group in self._groups:
                if group.job.id == stop.key[0] and stop.key[1] in group.members:
                    self._stop(group)
        self._start(plan)

    def _start(self, plan: Plan) -> None:
        if not plan.starts:
            return
        self._do(commands.StartRuns(tuple(plan.starts), self._now_ms))
        together: dict[tuple[str, str], list[commands.RunStart]] = {}
        for start in plan.starts:
            is_gang = self._jobs[start.job].kind.is_gang
            part = gang_of(start.subtask) if is_gang else start.subtask
            together.setdefault((start.job, part), []).append(start)
        for starts in together.values():
            self._groups.append(self._group(starts))

    def _group(self, starts: Sequence[commands.RunStart]) -> Group:
        job = self._jobs[starts[0].job]
        step = job.spec.steps[0]
        racks = {self._racks[start.run.worker] for start in starts}
        is_far = step.same_rack and len(racks) > 1
        self._far_starts += is_far
        work_ms = job.work_ms[int(starts[0].subtask.rpartition(".")[2])]
        failed = self._failed.get(job.id, 0)
        fails_at = job.fails_at[failed] * work_ms if failed < len(job.fails_at) else None
        done_ms = float(starts[0].checkpoint or 0)
        return Group(
            job,
            {start.subtask: start.run for start in starts},
            work_ms,
            done_ms,
            fails_at,
            FAR_FACTOR if is_far else 1,
            restore_ms=RESTORE_MS if done_ms else 0.0,
        )


def _manifest(load: Load) -> Manifest:
    """Return a manifest with a queue for each kind of job, and teams with equal reserves."""
    queues = tuple(
        Queue(
            name=kind.name,
            host="host",
            prefix=f"/{kind.name}/",
            service="pool",
            timeout_ms=CALL_TIMEOUT_MS,
            target_ms=kind.target_ms,
            priority=kind.priority,
            attempts=kind.attempts,
            stretch=kind.stretch,
        )
        for kind in load.kinds
    )
    reserved = int(load.reserved_share * load.workers * WORKER_ROOM.gpu / load.teams)
    teams = tuple(
        Team(f"team-{number}", (f"key-{number}",), reserved_gpus=reserved)
        for number in range(load.teams)
    )
    return Manifest(1, queues, (Service("pool"),), teams)
