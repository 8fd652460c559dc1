"""The jobs of a simulated day, drawn from a seed.

A load defines the kinds of jobs with their rates, resources and worth, and the surges, in which
more of them arrive than usual. The same seed always gives the same jobs.

    jobs = draw_jobs(LOADS["surge"], seed=1)
"""

import random
from dataclasses import dataclass, replace

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.simulation.faults import LeaderAbsence, Outage, Slowness

WORKER_CAPACITY = Resources(cpu=64_000, mem_mb=262_000, gpu=8)
"""The capacity of a simulated worker where the load states no other."""
MAX_WIDTH_FACTOR = 6
"""The largest width as a multiple of its kind's mean, so that one job does not dominate a day."""


@dataclass(frozen=True, slots=True)
class JobKind:
    """A kind of jobs: how many arrive, what they need and what they are worth.

    `per_s` is the arrival rate in jobs per second, `width` the mean number of subtasks, `work_ms`
    the mean duration of a subtask, and `gpus` the numbers of accelerators of a subtask to draw
    from. `estimate_error` is the largest relative error of declared durations. The objective is
    `stretch` times the duration plus `target_ms`; a job that meets it earns `worth`, a late one
    `late_worth`.
    """

    name: str
    priority: int
    per_s: float
    width: float
    work_ms: float
    gpus: tuple[int, ...]
    cpu: int
    mem_mb: int
    stretch: float
    target_ms: int
    worth: float
    late_worth: float
    attempts: int = 3
    is_gang: bool = True
    same_rack_share: float = 0.0
    saves_share: float = 0.0
    failing_share: float = 0.0
    estimate_error: float = 0.5


@dataclass(frozen=True, slots=True)
class Surge:
    """A period in which `factor` times as many jobs of one kind arrive."""

    kind: str
    start_s: float
    duration_s: float
    factor: float


@dataclass(frozen=True, slots=True)
class Goal:
    """How the parts of a day's score are weighted.

    `windows` counts the two worst windows of arrival, each of `window_s` seconds; `zone` and `team`
    the worst-served zone and team. `waste_price` is taken off for each core-second of lost work, as
    a share of the worth of all jobs.
    """

    day: float = 0.5
    windows: float = 0.25
    kind: float = 0.25
    zone: float = 0.0
    team: float = 0.0
    window_s: int = 6
    waste_price: float = 0.0


DEFAULT_GOAL = Goal()


@dataclass(frozen=True, slots=True)
class Load:
    """A simulated day: its workers, its kinds of jobs, its surges and faults, and its goal."""

    kinds: tuple[JobKind, ...]
    workers: int = 24
    workers_per_rack: int = 8
    capacity: Resources = WORKER_CAPACITY
    """The capacity of every worker."""
    teams: int = 4
    zones: int = 3
    """The number of availability zones from which jobs are submitted."""
    guaranteed_share: float = 0.62
    """The share of all accelerators that is guaranteed to teams, in equal parts."""
    duration_s: float = 36.0
    surges: tuple[Surge, ...] = ()
    slowness: tuple[Slowness, ...] = ()
    outages: tuple[Outage, ...] = ()
    absences: tuple[LeaderAbsence, ...] = ()
    refused_start_share: float = 0.0
    """The share of start orders that get no answer; the run is known as refused later."""
    stop_duration_ms: tuple[int, int] = (100, 900)
    """The least and the longest time from the order to stop a run to its end."""
    restore_ms: int = 600
    """How long a run that starts from a checkpoint restores it before it makes progress."""
    goal: Goal = DEFAULT_GOAL

    def kind_named(self, name: str) -> JobKind:
        """Return the kind with this name, which must exist."""
        return next(kind for kind in self.kinds if kind.name == name)


@dataclass(frozen=True, slots=True)
class SimulatedJob:
    """A job as its caller submits it, and what only the simulation knows about it."""

    id: str
    kind: JobKind
    team: str
    arrival_ms: int
    spec: JobSpec
    work_ms: tuple[int, ...]
    """How long each subtask of the only step really takes on a worker without a fault."""
    fails_at: tuple[float, ...]
    """The share of its work at which each failing run fails; the runs after these succeed."""
    zone: int = 0
    """The number of the availability zone from which it is submitted."""


def draw_jobs(load: Load, seed: int) -> list[SimulatedJob]:
    """Return the jobs of a day in the order of their arrival."""
    rng = random.Random(seed)
    zone_rng = random.Random(seed)
    jobs: list[SimulatedJob] = []
    for kind in load.kinds:
        for arrival_ms in _arrivals_ms(load, kind, rng):
            job = _job(load, kind, arrival_ms, rng)
            jobs.append(replace(job, zone=zone_rng.randrange(load.zones)))
    return sorted(jobs, key=lambda job: (job.arrival_ms, job.id))


def _arrivals_ms(load: Load, kind: JobKind, rng: random.Random) -> list[int]:
    """Draw arrivals by thinning, as Lewis and Shedler (1979) describe it."""
    surges = [surge for surge in load.surges if surge.kind == kind.name]
    peak_rate = kind.per_s * max([1.0, *(surge.factor for surge in surges)])
    times: list[int] = []
    at_s = rng.expovariate(peak_rate)
    while at_s < load.duration_s:
        rate = kind.per_s
        for surge in surges:
            if surge.start_s <= at_s < surge.start_s + surge.duration_s:
                rate *= surge.factor
        if rng.random() < rate / peak_rate:
            times.append(round(at_s * MS_PER_S))
        at_s += rng.expovariate(peak_rate)
    return times


def _job(load: Load, kind: JobKind, arrival_ms: int, rng: random.Random) -> SimulatedJob:
    need = Resources(kind.cpu, kind.mem_mb, rng.choice(kind.gpus))
    same_rack = kind.is_gang and rng.random() < kind.same_rack_share
    count = _width(load, kind, need, rng)
    duration_ms = max(300.0, rng.gauss(1.0, 0.3) * kind.work_ms)
    spread = 0.0 if kind.is_gang else 0.15
    work_ms = tuple(round(duration_ms * (1 + rng.uniform(-spread, spread))) for _ in range(count))
    declared_ms = duration_ms * (1 + rng.uniform(-kind.estimate_error, kind.estimate_error))
    step = StepSpec(
        count,
        need,
        estimated_ms=round(declared_ms),
        is_gang=kind.is_gang,
        same_rack=same_rack,
        saves_checkpoints=rng.random() < kind.saves_share,
    )
    fails = (rng.random(),) if rng.random() < kind.failing_share else ()
    id = f"{rng.getrandbits(64):016x}"
    team = f"team-{rng.randrange(load.teams)}"
    return SimulatedJob(id, kind, team, arrival_ms, JobSpec("payload", (step,)), work_ms, fails)


def _width(load: Load, kind: JobKind, need: Resources, rng: random.Random) -> int:
    """Draw the number of subtasks of a job; a gang must fit into half of a rack."""
    width = rng.lognormvariate(0.0, 0.8) * kind.width * 0.73
    count = max(1, round(min(width, MAX_WIDTH_FACTOR * kind.width)))
    if not kind.is_gang:
        return count
    capacity = load.capacity
    per_worker = min(
        capacity.cpu // need.cpu, capacity.mem_mb // need.mem_mb, capacity.gpu // need.gpu
    )
    return min(count, load.workers_per_rack // 2 * per_worker)


URGENT = JobKind(
    "urgent",
    priority=0,
    per_s=0.95,
    width=3.4,
    work_ms=2_500,
    gpus=(1, 2, 4, 8, 8),
    cpu=7_500,
    mem_mb=22_000,
    stretch=1.5,
    target_ms=250,
    worth=4.0,
    late_worth=0.8,
    same_rack_share=0.8,
    failing_share=0.05,
)
GANGS = JobKind(
    "gangs",
    priority=1,
    per_s=0.31,
    width=5.0,
    work_ms=8_500,
    gpus=(1, 2, 4, 8, 8),
    cpu=26_000,
    mem_mb=140_000,
    stretch=3.0,
    target_ms=1_000,
    worth=3.0,
    late_worth=0.9,
    attempts=4,
    same_rack_share=0.6,
    saves_share=0.45,
    failing_share=0.02,
    estimate_error=0.9,
)
BATCH = JobKind(
    "batch",
    priority=2,
    per_s=0.3,
    width=22.0,
    work_ms=7_600,
    gpus=(1,),
    cpu=5_600,
    mem_mb=16_000,
    stretch=3.0,
    target_ms=3_000,
    worth=1.0,
    late_worth=0.3,
    attempts=4,
    is_gang=False,
    saves_share=0.45,
    failing_share=0.05,
)

CALM = Load((URGENT, GANGS, BATCH))
SURGE = replace(
    CALM,
    kinds=tuple(replace(kind, per_s=kind.per_s * 1.2) for kind in CALM.kinds),
    surges=(Surge("gangs", 5.2, 3.5, 2.7), Surge("urgent", 3.7, 6.0, 2.3)),
)
SLOW = replace(
    CALM,
    surges=(Surge("urgent", 1.0, 6.0, 1.9),),
    slowness=(Slowness(8.0, 8.0, 0.2, 7.0), Slowness(18.0, 6.0, 0.1, 0.0)),
)

HEAVY = replace(
    SURGE,
    kinds=tuple(replace(kind, per_s=kind.per_s * 1.5) for kind in CALM.kinds),
    duration_s=44.0,
    slowness=(Slowness(5.2, 4.5, 0.08, 0.0),),
    outages=(Outage(4.7, 6.0, share=0.25), Outage(33.0, 6.4, rack=0)),
)
GROWN = Load(
    (
        replace(URGENT, per_s=5.5, width=5.0),
        replace(GANGS, per_s=1.5, width=10.0),
        replace(BATCH, per_s=1.8, width=30.0, work_ms=6_100),
    ),
    workers=176,
    workers_per_rack=20,
    teams=10,
    surges=(Surge("urgent", 4.0, 6.0, 2.0),),
)

STRAPS = Load(
    (
        replace(
            URGENT,
            per_s=1.7,
            cpu=15_000,
            mem_mb=44_000,
            estimate_error=0.2,
        ),
        replace(
            GANGS,
            per_s=0.56,
            cpu=52_000,
            mem_mb=270_000,
            attempts=3,
            late_worth=0.3,
            estimate_error=0.5,
        ),
        replace(
            BATCH,
            per_s=0.52,
            width=18.0,
            cpu=11_000,
            mem_mb=33_000,
            attempts=3,
            late_worth=0.1,
        ),
    ),
    workers_per_rack=6,
    capacity=Resources(cpu=128_000, mem_mb=524_288, gpu=8),
    zones=4,
    duration_s=46.0,
    stop_duration_ms=(100, 250),
    restore_ms=250,
    goal=Goal(0.28, 0.4, 0.12, 0.2, 0.16, window_s=2, waste_price=0.0012),
)
"""A customer whose worst seconds count most, and whose gangs take half of a worker's memory."""
STRAPS_SURGE = replace(
    STRAPS,
    surges=(Surge("urgent", 0.7, 6.0, 2.3), Surge("batch", 24.0, 4.0, 2.6)),
    absences=(LeaderAbsence(9.1, 0.9), LeaderAbsence(36.0, 1.3)),
    refused_start_share=0.02,
)
STRAPS_CUTS = replace(
    STRAPS,
    surges=(Surge("urgent", 0.7, 6.0, 2.3),),
    slowness=(Slowness(13.0, 6.0, 0.09, 0.0), Slowness(20.0, 7.0, 0.17, 6.5)),
    outages=(Outage(6.0, 5.5, share=0.17), Outage(33.5, 5.8, rack=2)),
    absences=(LeaderAbsence(36.0, 1.3),),
    refused_start_share=0.02,
)

LOADS = {
    "calm": CALM,
    "surge": SURGE,
    "slow": SLOW,
    "heavy": HEAVY,
    "grown": GROWN,
    "straps": STRAPS,
    "straps-surge": STRAPS_SURGE,
    "straps-cuts": STRAPS_CUTS,
}
