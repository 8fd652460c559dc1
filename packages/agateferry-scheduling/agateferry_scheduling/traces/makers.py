"""Generate traces of the two deployments, on ordinary days and under faults or load, from a seed.

`MAKERS["storm"](seed, 1.0)` returns the records of the trace of that name, with a scale for its
number of requests; equal seeds give equal traces. Sizes follow the present deployments: workers
with 8 accelerators and 8 slots, 8 workers in a rack, and 4 teams; the zone has three racks.
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
class JobKind:
    """One kind of job: its demands, its range of run times and whether it can be preempted."""

    job: str
    teams: tuple[str, ...]
    urgency: Urgency
    demands: tuple[Demand, ...]
    run_ms: tuple[int, int]
    preemptible: bool = True
    checkpointable: bool = False


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment's resources of a worker, teams, policy weights and kinds of jobs."""

    cores: int
    memory_mb: int
    teams: tuple[Team, ...]
    weights: PolicyWeights
    small: JobKind
    notice: JobKind
    medium: JobKind
    large: JobKind


def _gang(members: int, accelerators: int, adjacency: Adjacency) -> Demand:
    return Demand(members, accelerators, 2 * accelerators, 4_000 * accelerators, adjacency)


CLEARANCE = JobKind(
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
REFRESH = JobKind(
    "snowfall-refresh",
    ("snow", "police", "buses"),
    Urgency.NORMAL,
    (_gang(1, 2, Adjacency.WORKER), _gang(1, 4, Adjacency.WORKER), _gang(2, 4, Adjacency.RACK)),
    (20 * MINUTE_MS, 90 * MINUTE_MS),
    checkpointable=True,
)
RISK = JobKind(
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
class TraceBuilder:
    """Build a trace event by event.

    Declared run times are wrong by a random factor of at most `max_estimate_error` up or down.
    """

    rng: random.Random
    deployment: Deployment
    records: list[Record] = field(default_factory=list)
    request_count: int = 0
    max_estimate_error: float = 1.5

    def add_zone(self) -> None:
        """Add the configuration, the teams and all workers."""
        self.records.append(ConfigSet(0, SchedulingConfig(weights=self.deployment.weights)))
        self.records.append(TeamsSet(0, self.deployment.teams))
        for number in range(RACKS * WORKERS_PER_RACK):
            self.records.append(WorkerUp(0, self.worker(number)))

    def worker(self, number: int) -> Worker:
        """Return the worker of the zone with this number."""
        rack = f"r{number // WORKERS_PER_RACK}"
        cores, memory_mb = self.deployment.cores, self.deployment.memory_mb
        return Worker(f"w{number:02}", "z", rack, 8, cores, memory_mb, 8)

    def submit(
        self, kind: JobKind, at_ms: int, cancel_share: float = 0.0, **changes: object
    ) -> str:
        """Add a request of a kind, cancelled later with a probability of `cancel_share`.

        `changes` replace fields of the request. Returns its id.
        """
        self.request_count += 1
        run_ms = self.rng.randint(*kind.run_ms)
        declared_ms = int(run_ms * self.max_estimate_error ** self.rng.uniform(-1.0, 1.0))
        request = PendingRequest(
            f"q{self.request_count:05}",
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

    def submit_at_random_times(
        self, kind: JobKind, number: int, start_ms: int, end_ms: int, cancel_share: float
    ) -> None:
        """Add `number` requests of a kind at random times from `start_ms` to `end_ms`."""
        for _ in range(number):
            self.submit(kind, self.rng.randint(start_ms, end_ms), cancel_share)

    def build(self) -> list[Record]:
        """Return the records ordered by time."""
        return sorted(self.records, key=lambda record: record.at_ms)


def _start_trace(seed: int, deployment: Deployment) -> TraceBuilder:
    builder = TraceBuilder(random.Random(seed), deployment)
    builder.add_zone()
    return builder


def _add_day(builder: TraceBuilder, scale: float, hours: int = 8) -> None:
    end_ms = hours * HOUR_MS
    deployment = builder.deployment
    builder.submit_at_random_times(deployment.large, int(14 * scale), 0, end_ms, 0.4)
    builder.submit_at_random_times(deployment.medium, int(70 * scale), 0, end_ms, 0.5)
    builder.submit_at_random_times(deployment.small, int(110 * scale), 0, end_ms, 0.55)
    builder.submit_at_random_times(deployment.notice, int(30 * scale), 0, end_ms, 0.0)


def board_day(seed: int, scale: float = 1.0) -> list[Record]:
    """Generate an ordinary day of the Board."""
    builder = _start_trace(seed, BOARD)
    _add_day(builder, scale)
    return builder.build()


def salt_day(seed: int, scale: float = 1.0) -> list[Record]:
    """Generate an ordinary day of the Saltlagerforbund."""
    builder = _start_trace(seed, SALT)
    _add_day(builder, scale)
    return builder.build()


def small_burst(seed: int, scale: float = 1.0) -> list[Record]:
    """Generate many small urgent jobs within a minute, in a zone that is full of long work."""
    builder = _start_trace(seed, BOARD)
    builder.submit_at_random_times(BOARD.large, int(10 * scale), 0, 20 * MINUTE_MS, 0.0)
    builder.submit_at_random_times(BOARD.medium, int(40 * scale), 0, HOUR_MS, 0.3)
    builder.submit_at_random_times(BOARD.small, int(100 * scale), HOUR_MS, HOUR_MS + MINUTE_MS, 0.3)
    builder.submit_at_random_times(BOARD.notice, int(20 * scale), HOUR_MS, HOUR_MS + MINUTE_MS, 0.0)
    return builder.build()


def few_large(seed: int, scale: float = 1.0) -> list[Record]:
    """Generate a few large gangs among a steady stream of small jobs that could starve them."""
    builder = _start_trace(seed, SALT)
    small = replace(
        SALT.medium, demands=(_gang(1, 1, Adjacency.ANY), _gang(1, 2, Adjacency.WORKER))
    )
    builder.submit_at_random_times(small, int(240 * scale), 0, 6 * HOUR_MS, 0.1)
    builder.submit_at_random_times(SALT.large, int(8 * scale), 30 * MINUTE_MS, 5 * HOUR_MS, 0.0)
    builder.submit_at_random_times(SALT.small, int(40 * scale), 0, 6 * HOUR_MS, 0.2)
    return builder.build()


def wrong_sizes(seed: int, scale: float = 1.0) -> list[Record]:
    """Generate a day whose declared run times are wrong by up to ten times, up or down."""
    builder = _start_trace(seed, SALT)
    builder.max_estimate_error = 10.0
    _add_day(builder, scale)
    return builder.build()


def storm(seed: int, scale: float = 1.0) -> list[Record]:
    """Generate a change of a storm warning, when most requests are cancelled within seconds."""
    builder = _start_trace(seed, BOARD)
    builder.submit_at_random_times(BOARD.large, int(12 * scale), 0, HOUR_MS, 0.0)
    builder.submit_at_random_times(BOARD.medium, int(80 * scale), 0, HOUR_MS, 0.0)
    ids = [record.request.request_id for record in builder.records if isinstance(record, Submitted)]
    for request_id in ids:
        if builder.rng.random() < 0.85:
            at_ms = HOUR_MS + builder.rng.randint(0, 5_000)
            builder.records.append(Cancelled(at_ms, request_id))
    builder.submit_at_random_times(BOARD.small, int(60 * scale), HOUR_MS, HOUR_MS + MINUTE_MS, 0.2)
    builder.submit_at_random_times(
        BOARD.large, int(6 * scale), HOUR_MS, HOUR_MS + 10 * MINUTE_MS, 0.0
    )
    return builder.build()


def bad_worker(seed: int, scale: float = 1.0) -> list[Record]:
    """Generate a worker that fails every run, and a job that fails on every worker."""
    builder = _start_trace(seed, BOARD)
    builder.records.append(WorkerBroke(0, "w03"))
    _add_day(builder, 0.6 * scale, hours=4)
    for number in range(6):
        builder.submit(BOARD.medium, HOUR_MS + number * MINUTE_MS, job="broken-model", team="snow")
    builder.records = [
        (
            replace(record, fails=True)
            if isinstance(record, Submitted) and record.request.job == "broken-model"
            else record
        )
        for record in builder.records
    ]
    return builder.build()


def rack_lost(seed: int, scale: float = 1.0) -> list[Record]:
    """Generate the loss of a rack with all its runs; its workers join again after an hour."""
    builder = _start_trace(seed, SALT)
    _add_day(builder, 0.8 * scale, hours=6)
    for number in range(WORKERS_PER_RACK):
        builder.records.append(WorkerDown(2 * HOUR_MS + number, f"w{number:02}"))
        builder.records.append(WorkerUp(3 * HOUR_MS + number * 1_000, builder.worker(number)))
    return builder.build()


def lagging_usage(seed: int, scale: float = 1.0) -> list[Record]:
    """Generate a burst of requests while workers report usage that is zero and a minute old."""
    builder = _start_trace(seed, BOARD)
    for number in range(RACKS * WORKERS_PER_RACK):
        for minute in range(1, 4):
            at_ms = minute * MINUTE_MS + number
            builder.records.append(UsageSeen(at_ms, f"w{number:02}", at_ms - MINUTE_MS, 0, 0))
    builder.submit_at_random_times(BOARD.medium, int(60 * scale), MINUTE_MS, 4 * MINUTE_MS, 0.1)
    builder.submit_at_random_times(BOARD.small, int(60 * scale), MINUTE_MS, 4 * MINUTE_MS, 0.1)
    return builder.build()


def all_reclaim(seed: int, scale: float = 1.0) -> list[Record]:
    """Generate borrowed work that fills the zone, until the other teams reclaim their guarantees.

    Two teams borrow; after an hour the other two request all their guaranteed shapes at once.
    """
    builder = _start_trace(seed, SALT)
    demands = (_gang(1, 2, Adjacency.WORKER), _gang(1, 4, Adjacency.WORKER))
    borrowed = replace(
        SALT.medium, teams=("north", "islands"), demands=demands, run_ms=(HOUR_MS, 4 * HOUR_MS)
    )
    builder.submit_at_random_times(borrowed, int(90 * scale), 0, 20 * MINUTE_MS, 0.0)
    worker = replace(SALT.medium, demands=(_gang(1, 8, Adjacency.WORKER),))
    forecast = replace(SALT.large, demands=(_gang(4, 8, Adjacency.RACK),))
    for team in ("south", "south"):
        builder.submit(worker, HOUR_MS, team=team)
    for _ in range(2):
        builder.submit(forecast, HOUR_MS, team="forecast")
    return builder.build()


def never_runnable(seed: int, scale: float = 1.0) -> list[Record]:
    """Generate jobs that no worker of the zone can ever run, among others that can run."""
    builder = _start_trace(seed, BOARD)
    impossible = (
        Demand(1, 9, 1, 256),
        Demand(1, 1, 33, 256),
        _gang(9, 8, Adjacency.RACK),
        _gang(2, 8, Adjacency.WORKER),
        Demand(193, 1, 1, 256),
    )
    kind = replace(BOARD.medium, demands=impossible, job="too-large")
    builder.submit_at_random_times(kind, int(20 * scale), 0, HOUR_MS, 0.0)
    builder.submit_at_random_times(BOARD.medium, int(20 * scale), 0, HOUR_MS, 0.2)
    builder.submit_at_random_times(BOARD.small, int(30 * scale), 0, HOUR_MS, 0.2)
    return builder.build()


TraceMaker = Callable[[int, float], list[Record]]

MAKERS: dict[str, TraceMaker] = {
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
