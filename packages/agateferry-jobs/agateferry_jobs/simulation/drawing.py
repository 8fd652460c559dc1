"""The jobs of a simulated day, drawn from a seed; the same seed always gives the same jobs.

For example `jobs = draw_jobs(LOADS["surge"], seed=1)`.
"""

import random
from dataclasses import dataclass, replace

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.simulation.loads import JobKind, Load, WorkSpread

MAX_WIDTH_FACTOR = 6
"""The largest width as a multiple of its kind's mean, so that one job does not dominate a day."""


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
    count = _width(kind, rng)
    if kind.is_gang:
        racks = load.rack_gang_racks if same_rack else load.wide_gang_racks
        count = min(count, _max_gang(load, need, racks))
    work_ms, declared_ms = _work_ms(kind, count, rng)
    step = StepSpec(
        count,
        need,
        estimated_ms=declared_ms,
        is_gang=kind.is_gang,
        same_rack=same_rack,
        saves_checkpoints=rng.random() < kind.saves_share,
    )
    fails = (rng.random(),) if rng.random() < kind.failing_share else ()
    id = f"{rng.getrandbits(64):016x}"
    team = f"team-{_team(load, rng)}"
    return SimulatedJob(id, kind, team, arrival_ms, JobSpec("payload", (step,)), work_ms, fails)


def _work_ms(kind: JobKind, count: int, rng: random.Random) -> tuple[tuple[int, ...], int]:
    """Draw the work of each subtask, and the duration that the caller declares."""
    if kind.spread is not None:
        return _log_normal_work_ms(kind.work_ms, kind.spread, count, rng)
    duration_ms = max(300.0, rng.gauss(1.0, 0.3) * kind.work_ms)
    spread = 0.0 if kind.is_gang else 0.15
    work_ms = tuple(round(duration_ms * (1 + rng.uniform(-spread, spread))) for _ in range(count))
    declared_ms = duration_ms * (1 + rng.uniform(-kind.estimate_error, kind.estimate_error))
    return work_ms, round(declared_ms)


def _log_normal_work_ms(
    mean_ms: float, spread: WorkSpread, count: int, rng: random.Random
) -> tuple[tuple[int, ...], int]:
    median_ms = mean_ms * rng.lognormvariate(-(spread.jobs**2) / 2, spread.jobs)
    declared_ms = round(median_ms * rng.lognormvariate(0.0, spread.declared))
    if rng.random() < spread.outlier_share:
        median_ms *= spread.outlier_factor
    work_ms = (median_ms * rng.lognormvariate(0.0, spread.subtasks) for _ in range(count))
    return tuple(max(300, round(each)) for each in work_ms), max(1, declared_ms)


def _team(load: Load, rng: random.Random) -> int:
    if not load.team_weights:
        return rng.randrange(load.teams)
    return rng.choices(range(load.teams), load.team_weights)[0]


def _width(kind: JobKind, rng: random.Random) -> int:
    """Draw the number of subtasks of a job."""
    width = rng.lognormvariate(0.0, 0.8) * kind.width * 0.73
    return max(1, round(min(width, MAX_WIDTH_FACTOR * kind.width)))


def _max_gang(load: Load, need: Resources, racks: float) -> int:
    """Return how many members of a gang fit into this many empty racks."""
    capacity = load.capacity
    per_worker = min(
        capacity.cpu // need.cpu, capacity.mem_mb // need.mem_mb, capacity.gpu // need.gpu
    )
    return int(load.workers_per_rack * racks) * per_worker
