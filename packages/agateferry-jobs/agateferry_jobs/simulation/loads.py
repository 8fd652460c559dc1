"""The loads of simulated days.

A load defines the kinds of jobs with their rates, resources and worth, the surges, in which more of
them arrive than usual, the faults, and the goal by which a day is scored.
"""

from dataclasses import dataclass, replace

from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.simulation.faults import LeaderAbsence, Outage, Slowness, ZoneEvacuation

WORKER_CAPACITY = Resources(cpu=64_000, mem_mb=262_000, gpu=8)
"""The capacity of a simulated worker where the load states no other."""


@dataclass(frozen=True, slots=True)
class WorkSpread:
    """How the work of the jobs of one kind spreads, as standard deviations of its logarithm."""

    jobs: float = 0.4
    subtasks: float = 0.15
    declared: float = 0.6
    """The spread of declared durations around the work of the job."""
    outlier_share: float = 0.03
    outlier_factor: float = 7.0
    """How many times as long as others the jobs in `outlier_share` take."""


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
    spread: WorkSpread | None = None
    """How the work spreads where it does so as a log-normal; without it the spread is 30 %."""


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
    """The number of availability zones: jobs are submitted from them, and each rack lies in one."""
    team_weights: tuple[float, ...] = ()
    """How many jobs each team submits, relative to the others; empty for equal teams."""
    guaranteed_share: float = 0.62
    """The share of all accelerators that is guaranteed to teams, in equal parts."""
    rack_gang_racks: float = 0.5
    """How many racks a gang fills at most that prefers one rack; `wide_gang_racks` for others."""
    wide_gang_racks: float = 0.5
    duration_s: float = 36.0
    surges: tuple[Surge, ...] = ()
    slowness: tuple[Slowness, ...] = ()
    outages: tuple[Outage, ...] = ()
    absences: tuple[LeaderAbsence, ...] = ()
    evacuations: tuple[ZoneEvacuation, ...] = ()
    refused_start_share: float = 0.0
    """The share of start orders that get no answer; the run is known as refused later."""
    stop_duration_ms: tuple[int, int] = (100, 900)
    """The least and the longest time from the order to stop a run to its end."""
    worker_speeds: tuple[float, ...] = (1.0,)
    """The speeds from which each worker gets its own, which is stated nowhere."""
    restore_ms: int = 600
    """How long a run that starts from a checkpoint restores it before it makes progress."""
    goal: Goal = DEFAULT_GOAL

    def kind_named(self, name: str) -> JobKind:
        """Return the kind with this name, which must exist."""
        return next(kind for kind in self.kinds if kind.name == name)


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

LARGE = Load(
    (
        replace(URGENT, per_s=10.3, width=5.3),
        replace(GANGS, per_s=2.6, width=13.0),
        replace(BATCH, per_s=2.0, width=38.0, work_ms=9_500),
    ),
    workers=270,
    workers_per_rack=20,
    teams=24,
    zones=5,
    duration_s=41.0,
    stop_duration_ms=(100, 200),
    surges=(Surge("urgent", 4.0, 6.0, 2.0), Surge("batch", 20.0, 4.0, 2.6)),
    outages=(Outage(26.0, 5.5, share=0.17),),
    goal=Goal(0.48, 0.2, 0.12, 0.2, 0.16, window_s=2, waste_price=0.0001),
)
"""Hundreds of workers and many teams, at one and a half times the load that fills them."""

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
    "large": LARGE,
    "straps": STRAPS,
    "straps-surge": STRAPS_SURGE,
    "straps-cuts": STRAPS_CUTS,
}
