"""Make traces of the two deployments, ordinary and troubled, from a seed.

`MAKERS["storm"](seed)` returns the records of the trace of that name; equal seeds give equal
traces. Sizes follow the deployments of today: workers of 8 accelerators and 8 slots, 8 to a rack,
and 4 teams; one zone of three racks.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from agateferry_core.demand import Adjacency, Demand, Shape, Urgency, Worker
from agateferry_scheduling.scheduler.messages import (
    PendingRequest,
    PolicyWeights,
    SchedulingConfig,
    Team,
)
from agateferry_scheduling.traces.records import (
    Cancelled,
    ConfigSet,
    Record,
    Submitted,
    TeamsSet,
    UsageSeen,
    WorkerBroke,
    WorkerDown,
    WorkerUp,
)

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
RACKS = 3
WORKERS_PER_RACK = 8


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of work: what it asks for, how long it runs and how it may be stopped."""

    job: str
    teams: tuple[str, ...]
    urgency: Urgency
    demands: tuple[Demand, ...]
    run_ms: tuple[int, int]
    preemptible: bool = True
    checkpointable: bool = False


@dataclass(frozen=True, slots=True)
class Deployment:
    """A zone's machines, teams, weights and kinds of work."""

    cores: int
    memory_mb: int
    teams: tuple[Team, ...]
    weights: PolicyWeights
    small: Kind
    notice: Kind
    medium: Kind
    large: Kind


def _gang(members: int, accelerators: int, adjacency: Adjacency) -> Demand:
    return Demand(members, accelerators, 2 * accelerators, 4_000 * accelerators, adjacency)


CLEARANCE = Kind(
    "clearance-check",
    ("police", "buses", "health"),
    Urgency.URGENT,
    (Demand(1, 1, 2, 4_000), Demand(1, 0, 1, 1_000)),
    (5_000, 60_000),
)
NOTICE = replace(
    CLEARANCE,
    job="closure-notice",
    demands=(Demand(1, 0, 1, 500),),
    run_ms=(500, 3_000),
    preemptible=False,
)
REFRESH = Kind(
    "snowfall-refresh",
    ("snow", "police", "buses"),
    Urgency.NORMAL,
    (_gang(1, 2, Adjacency.WORKER), _gang(1, 4, Adjacency.WORKER), _gang(2, 4, Adjacency.RACK)),
    (20 * MINUTE_MS, 90 * MINUTE_MS),
    checkpointable=True,
)
RISK = Kind(
    "risk-run",
    ("snow", "health"),
    Urgency.LONG,
    (_gang(2, 8, Adjacency.RACK), _gang(4, 8, Adjacency.RACK), _gang(6, 8, Adjacency.RACK)),
    (HOUR_MS, 3 * HOUR_MS),
    checkpointable=True,
)
BOARD = Deployment(
    32,
    128_000,
    (
        Team("police", (Shape(8, Adjacency.WORKER, 2),), 1.0),
        Team("buses", (Shape(8, Adjacency.WORKER, 2),), 1.0),
        Team("health", (Shape(16, Adjacency.RACK, 1),), 1.0),
        Team("snow", (Shape(32, Adjacency.RACK, 2),), 2.0),
    ),
    PolicyWeights(completion_time=0.8, fragmentation=0.2),
    CLEARANCE,
    NOTICE,
    REFRESH,
    RISK,
)
SALT = Deployment(
    64,
    256_000,
    (
        Team("north", (Shape(8, Adjacency.WORKER, 4),), 1.0),
        Team("south", (Shape(8, Adjacency.WORKER, 2),), 1.0),
        Team("islands", (Shape(8, Adjacency.WORKER, 2),), 1.0),
        Team("forecast", (Shape(32, Adjacency.RACK, 2),), 2.0),
    ),
    PolicyWeights(completion_time=0.2, fragmentation=0.8),
    replace(CLEARANCE, job="barn-count", teams=("north", "south", "islands")),
    replace(NOTICE, job="reconcile", teams=("north", "south", "islands")),
    replace(REFRESH, job="stock-model", teams=("north", "south", "islands")),
    replace(RISK, job="season-forecast", teams=("forecast", "north")),
)


@dataclass
class TraceMaker:
    """Put a trace together, event by event."""

    rng: random.Random
    deployment: Deployment
    records: list[Record] = field(default_factory=list)
    count: int = 0
    wrong_size: float = 1.5

    def begin(self) -> None:
        """Bring the configuration, the teams and all workers up."""
        self.records.append(ConfigSet(0, SchedulingConfig(weights=self.deployment.weights)))
        self.records.append(TeamsSet(0, self.deployment.teams))
        for number in range(RACKS * WORKERS_PER_RACK):
            self.records.append(WorkerUp(0, self.worker(number)))

    def worker(self, number: int) -> Worker:
        """Return a worker of the zone by its number."""
        rack = f"r{number // WORKERS_PER_RACK}"
        cores, memory_mb = self.deployment.cores, self.deployment.memory_mb
        return Worker(f"w{number:02}", "z", rack, 8, cores, memory_mb, 8)

    def submit(self, kind: Kind, at_ms: int, cancel_share: float = 0.0, **changes: object) -> str:
        """Add a request of a kind, which its caller may cancel later."""
        self.count += 1
        run_ms = self.rng.randint(*kind.run_ms)
        declared_ms = int(run_ms * self.wrong_size ** self.rng.uniform(-1.0, 1.0))
        request = PendingRequest(
            f"q{self.count:05}",
            self.rng.choice(kind.teams),
            kind.job,
            kind.urgency,
            self.rng.choice(kind.demands),
            max(declared_ms, 1),
            at_ms,
            preemptible=kind.preemptible,
            checkpointable=kind.checkpointable,
        )
        request = replace(request, **changes)  # type: ignore[arg-type]
        self.records.append(Submitted(at_ms, request, run_ms))
        if self.rng.random() < cancel_share:
            cancel_ms = at_ms + self.rng.randint(1_000, max(run_ms, 2_000))
            self.records.append(Cancelled(cancel_ms, request.request_id))
        return request.request_id

    def spread(self, kind: Kind, number: int, start_ms: int, end_ms: int, cancel: float) -> None:
        """Add requests of a kind at chance times."""
        for _ in range(number):
            self.submit(kind, self.rng.randint(start_ms, end_ms), cancel)

    def done(self) -> list[Record]:
        """Return the records by time."""
        return sorted(self.records, key=lambda record: record.at_ms)


def _maker(seed: int, deployment: Deployment) -> TraceMaker:
    maker = TraceMaker(random.Random(seed), deployment)
    maker.begin()
    return maker


def _day(maker: TraceMaker, scale: float, hours: int = 8) -> None:
    end_ms = hours * HOUR_MS
    cfg = maker.deployment
    maker.spread(cfg.large, int(14 * scale), 0, end_ms, 0.4)
    maker.spread(cfg.medium, int(70 * scale), 0, end_ms, 0.5)
    maker.spread(cfg.small, int(110 * scale), 0, end_ms, 0.55)
    maker.spread(cfg.notice, int(30 * scale), 0, end_ms, 0.0)


def board_day(seed: int, scale: float = 1.0) -> list[Record]:
    """An ordinary day of the Board."""
    maker = _maker(seed, BOARD)
    _day(maker, scale)
    return maker.done()


def salt_day(seed: int, scale: float = 1.0) -> list[Record]:
    """An ordinary day of the Saltlagerforbund."""
    maker = _maker(seed, SALT)
    _day(maker, scale)
    return maker.done()


def small_burst(seed: int, scale: float = 1.0) -> list[Record]:
    """Many small urgent jobs within a minute, on a zone full of long work."""
    maker = _maker(seed, BOARD)
    maker.spread(BOARD.large, int(10 * scale), 0, 20 * MINUTE_MS, 0.0)
    maker.spread(BOARD.medium, int(40 * scale), 0, HOUR_MS, 0.3)
    maker.spread(BOARD.small, int(100 * scale), HOUR_MS, HOUR_MS + MINUTE_MS, 0.3)
    maker.spread(BOARD.notice, int(20 * scale), HOUR_MS, HOUR_MS + MINUTE_MS, 0.0)
    return maker.done()


def few_large(seed: int, scale: float = 1.0) -> list[Record]:
    """A few large gangs among a steady stream of small jobs that would starve them."""
    maker = _maker(seed, SALT)
    small = replace(
        SALT.medium, demands=(_gang(1, 1, Adjacency.ANY), _gang(1, 2, Adjacency.WORKER))
    )
    maker.spread(small, int(240 * scale), 0, 6 * HOUR_MS, 0.1)
    maker.spread(SALT.large, int(8 * scale), 30 * MINUTE_MS, 5 * HOUR_MS, 0.0)
    maker.spread(SALT.small, int(40 * scale), 0, 6 * HOUR_MS, 0.2)
    return maker.done()


def wrong_sizes(seed: int, scale: float = 1.0) -> list[Record]:
    """A day whose declared run times are off by ten times both ways."""
    maker = _maker(seed, SALT)
    maker.wrong_size = 10.0
    _day(maker, scale)
    return maker.done()


def storm(seed: int, scale: float = 1.0) -> list[Record]:
    """A storm warning changes: nearly all that waits or runs is cancelled within seconds."""
    maker = _maker(seed, BOARD)
    maker.spread(BOARD.large, int(12 * scale), 0, HOUR_MS, 0.0)
    maker.spread(BOARD.medium, int(80 * scale), 0, HOUR_MS, 0.0)
    ids = [r.request.request_id for r in maker.records if isinstance(r, Submitted)]
    for request_id in ids:
        if maker.rng.random() < 0.85:
            at_ms = HOUR_MS + maker.rng.randint(0, 5_000)
            maker.records.append(Cancelled(at_ms, request_id))
    maker.spread(BOARD.small, int(60 * scale), HOUR_MS, HOUR_MS + MINUTE_MS, 0.2)
    maker.spread(BOARD.large, int(6 * scale), HOUR_MS, HOUR_MS + 10 * MINUTE_MS, 0.0)
    return maker.done()


def bad_worker(seed: int, scale: float = 1.0) -> list[Record]:
    """One worker fails all that it starts, and one job fails wherever it runs."""
    maker = _maker(seed, BOARD)
    maker.records.append(WorkerBroke(0, "w03"))
    _day(maker, 0.6 * scale, hours=4)
    for number in range(6):
        maker.submit(BOARD.medium, HOUR_MS + number * MINUTE_MS, job="broken-model", team="snow")
    maker.records = [
        (
            replace(r, fails=True)
            if isinstance(r, Submitted) and r.request.job == "broken-model"
            else r
        )
        for r in maker.records
    ]
    return maker.done()


def rack_lost(seed: int, scale: float = 1.0) -> list[Record]:
    """A rack goes with all that it runs, and comes back after an hour."""
    maker = _maker(seed, SALT)
    _day(maker, 0.8 * scale, hours=6)
    for number in range(WORKERS_PER_RACK):
        maker.records.append(WorkerDown(2 * HOUR_MS + number, f"w{number:02}"))
        maker.records.append(WorkerUp(3 * HOUR_MS + number * 1_000, maker.worker(number)))
    return maker.done()


def lagging_usage(seed: int, scale: float = 1.0) -> list[Record]:
    """Workers report usage that is a minute old, and empty, while a burst comes."""
    maker = _maker(seed, BOARD)
    for number in range(RACKS * WORKERS_PER_RACK):
        for minute in range(1, 4):
            at_ms = minute * MINUTE_MS + number
            maker.records.append(UsageSeen(at_ms, f"w{number:02}", at_ms - MINUTE_MS, 0, 0))
    maker.spread(BOARD.medium, int(60 * scale), MINUTE_MS, 4 * MINUTE_MS, 0.1)
    maker.spread(BOARD.small, int(60 * scale), MINUTE_MS, 4 * MINUTE_MS, 0.1)
    return maker.done()


def all_reclaim(seed: int, scale: float = 1.0) -> list[Record]:
    """Borrowers fill the zone; then every team asks for all its guaranteed shapes at once."""
    maker = _maker(seed, SALT)
    demands = (_gang(1, 2, Adjacency.WORKER), _gang(1, 4, Adjacency.WORKER))
    borrowed = replace(
        SALT.medium, teams=("north", "islands"), demands=demands, run_ms=(HOUR_MS, 4 * HOUR_MS)
    )
    maker.spread(borrowed, int(90 * scale), 0, 20 * MINUTE_MS, 0.0)
    worker = replace(SALT.medium, demands=(_gang(1, 8, Adjacency.WORKER),))
    forecast = replace(SALT.large, demands=(_gang(4, 8, Adjacency.RACK),))
    for team in ("south", "south"):
        maker.submit(worker, HOUR_MS, team=team)
    for _ in range(2):
        maker.submit(forecast, HOUR_MS, team="forecast")
    return maker.done()


def never_runnable(seed: int, scale: float = 1.0) -> list[Record]:
    """Jobs that no machine of the zone can ever run, among others that can."""
    maker = _maker(seed, BOARD)
    impossible = (
        Demand(1, 9, 1, 256),
        Demand(1, 1, 33, 256),
        _gang(9, 8, Adjacency.RACK),
        _gang(2, 8, Adjacency.WORKER),
        Demand(193, 1, 1, 256),
    )
    kind = replace(BOARD.medium, demands=impossible, job="too-large")
    maker.spread(kind, int(20 * scale), 0, HOUR_MS, 0.0)
    maker.spread(BOARD.medium, int(20 * scale), 0, HOUR_MS, 0.2)
    maker.spread(BOARD.small, int(30 * scale), 0, HOUR_MS, 0.2)
    return maker.done()


Maker = Callable[[int, float], list[Record]]

MAKERS: dict[str, Maker] = {
    "board-day": board_day,
    "salt-day": salt_day,
    "small-burst": small_burst,
    "few-large": few_large,
    "wrong-sizes": wrong_sizes,
    "storm": storm,
    "bad-worker": bad_worker,
    "rack-lost": rack_lost,
    "lagging-usage": lagging_usage,
    "all-reclaim": all_reclaim,
    "never-runnable": never_runnable,
}
