"""Random busy fleets whose teams reclaim their guarantees, to look for urgent jobs that begin late.

Teams often ask for more than their guarantee. A job is owed its start if its team's urgent jobs
that had not ended needed no more than the guarantee when it was accepted, itself included. All
workers are sound.

    scenario = ReclaimScenario(seed=1)
    scenario.play_to_end()
    print(scenario.late)
"""

import random
from dataclasses import dataclass

import msgspec

from agateferry_jobs.ledger import Run
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.ledger.state import RunKey
from agateferry_jobs.manifest import Team
from agateferry_jobs.support.builders import job_command, manifest, worker
from agateferry_jobs.support.planning_play import START_MS, PlanningPlay

CAPACITY = Resources(128_000, 512_000, 8)
WORKERS = (12, 18, 24)
WORKERS_PER_RACK = 6
GUARANTEED_SHARE = 0.55
"""The share of all accelerators that the teams are guaranteed together."""
OTHER_TEAM = "other"
URGENT_GPUS = (1, 2, 4, 8, 8)
URGENT_RUN_MS = (700, 6_000)
STRETCH, TARGET_MS = 1.5, 250.0
ARRIVALS_MS = 14_000
"""For how long jobs arrive."""
BURST_CHANGE = 0.06
"""The chance that a team's rate of arrivals changes before a plan."""
MAX_ARRIVALS = 3
"""How many urgent jobs of one team arrive between two plans at most."""
DEMANDS = (1.3, 1.6, 2.0, 6.0, 8.0)
"""How many times its guarantee a team asks for at most."""
STOP_MS = (200, 400)
REPEATED_STOP_MS = 1_000
"""How long a stop takes whose order was lost and had to be sent again."""


@dataclass(frozen=True, slots=True)
class UrgentJob:
    """An urgent job; `gpus` is what all its subtasks need."""

    id: str
    team: str
    gpus: int
    is_owed: bool
    accepted_ms: int


@dataclass(frozen=True, slots=True)
class LateJob:
    """A job that was owed its start and began too late, None if it never did, and its waits."""

    job: UrgentJob
    began_after_ms: int | None
    waits: tuple[str, ...]


class SlowStopsPlay(PlanningPlay):
    """A play in which some stops take long, since their order had to be repeated."""

    def __init__(self, rng: random.Random, teams: tuple[Team, ...], repeated_share: float) -> None:
        in_force = manifest(stretch=STRETCH, target_ms=TARGET_MS)
        super().__init__(msgspec.structs.replace(in_force, teams=teams))
        self._rng = rng
        self._repeated_share = repeated_share

    def _stop(self, key: RunKey, run: Run) -> None:
        is_repeated = self._rng.random() < self._repeated_share
        self._stop_delay_ms = REPEATED_STOP_MS if is_repeated else self._rng.choice(STOP_MS)
        super()._stop(key, run)


class ReclaimScenario:
    """One play of a fleet with teams that hold guarantees."""

    def __init__(self, seed: int, limit_ms: int, repeated_stops: float = 0.0) -> None:
        self._rng = rng = random.Random(seed)
        self.limit_ms = limit_ms
        self.late: list[LateJob] = []
        self.delays_ms: list[int] = []
        """How long the jobs waited that were owed their start."""
        workers = rng.choice(WORKERS)
        names = [f"team-{number}" for number in range(rng.choice((2, 3, 4)))]
        reserved = int(GUARANTEED_SHARE * workers * CAPACITY.gpu / len(names))
        self._teams = {name: Team(name, (name,), reserved_gpus=reserved) for name in names}
        self.play = SlowStopsPlay(rng, tuple(self._teams.values()), repeated_stops)
        for number in range(workers):
            incarnation = worker(f"w{number}", rack=f"r{number // WORKERS_PER_RACK}")
            incarnation.capacity, incarnation.slots = CAPACITY, 32
            self.play.add(incarnation)
        self._urgent: dict[str, UrgentJob] = {}
        self._waits: dict[str, list[str]] = {}
        self._begun: set[str] = set()
        self._rates: dict[str, float] = {}
        self._demands = {name: rng.choice(DEMANDS) for name in names}
        self._jobs = 0

    def play_to_end(self) -> None:
        """Play until each job that was owed its start has begun or is late."""
        end_ms = START_MS + ARRIVALS_MS + self.limit_ms + 200
        while self.play.now_ms <= end_ms:
            if self.play.now_ms < START_MS + ARRIVALS_MS:
                self._submit_others()
                self._submit_urgent()
            self.play.step()
            self._observe()
            self.play.advance()

    def _submit_others(self) -> None:
        for _ in range(self._rng.choice((0, 0, 1, 2))):
            is_gang = self._rng.random() < 0.3
            need = Resources(*self._rng.choice(((52_000, 150_000, 8), (11_000, 33_000, 1))))
            step = StepSpec(self._rng.randint(1, 12), need, 8_000, is_gang=is_gang)
            self._submit(
                OTHER_TEAM, step, self._rng.choice((1, 2)), self._rng.randint(5_000, 11_000)
            )

    def _submit_urgent(self) -> None:
        """Submit the urgent jobs of this moment; they come in bursts, which exceed guarantees."""
        for team in self._teams.values():
            self._rates[team.name] = self._next_rate(self._rates.get(team.name, 0.0))
            for _ in range(MAX_ARRIVALS):
                if self._rng.random() < self._rates[team.name]:
                    self._submit_urgent_of(team)

    def _next_rate(self, rate: float) -> float:
        """Return a team's next rate of arrivals; a burst begins and ends at random."""
        if self._rng.random() < BURST_CHANGE:
            return self._rng.choice((0.05, 0.2, 0.6))
        return rate

    def _submit_urgent_of(self, team: Team) -> None:
        count = self._rng.choice((1, 1, 1, 2, 3, 4, 7))
        need = Resources(15_000, 44_000, self._rng.choice(URGENT_GPUS))
        held = sum(each.gpus for each in self._open_jobs(team.name)) + count * need.gpu
        if held > self._demands[team.name] * team.reserved_gpus:
            return
        run_ms = self._rng.randint(*URGENT_RUN_MS)
        is_rack = count > 1 and self._rng.random() < 0.8
        step = StepSpec(count, need, run_ms, is_gang=count > 1, same_rack=is_rack)
        id = self._submit(team.name, step, 0, run_ms)
        is_owed = held <= team.reserved_gpus
        gpus = count * need.gpu
        self._urgent[id] = UrgentJob(id, team.name, gpus, is_owed, self.play.now_ms)

    def _submit(self, team: str, step: StepSpec, priority: int, run_ms: int) -> str:
        self._jobs += 1
        id = f"job-{self._jobs}"
        command = job_command(id, step, priority=priority, at_ms=self.play.now_ms)
        self.play.submit(msgspec.structs.replace(command, team=team), run_ms)
        return id

    def _open_jobs(self, team: str) -> list[UrgentJob]:
        jobs = self.play.ledger.jobs
        return [
            each
            for each in self._urgent.values()
            if each.team == team and not jobs[each.id].is_over
        ]

    def _observe(self) -> None:
        for id, job in self._urgent.items():
            if not job.is_owed or id in self._begun:
                continue
            waited_ms = self.play.now_ms - job.accepted_ms
            if self._has_begun(id):
                self._begun.add(id)
                self.delays_ms.append(waited_ms)
            else:
                self._note_wait(id, waited_ms)
            if waited_ms > self.limit_ms:
                self._begun.add(id)
                began_ms = waited_ms if self._has_begun(id) else None
                self.late.append(LateJob(job, began_ms, tuple(self._waits.get(id, ()))))

    def _has_begun(self, id: str) -> bool:
        job = self.play.ledger.jobs[id]
        return job.is_over or all(
            each.is_done or each.active is not None for each in job.subtasks.values()
        )

    def _note_wait(self, id: str, waited_ms: int) -> None:
        reason = self.play.plan.waits.get(id)
        rank = self.play.plan.ranks.get(id)
        waits = self._waits.setdefault(id, [])
        stage = f"{reason} rank={rank}"
        if not waits or not waits[-1].endswith(stage):
            waits.append(f"{waited_ms} {stage}")
