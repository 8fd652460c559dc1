"""Loads in which demand exceeds the capacity, and teams differ widely in size.

Demand is what arrives each second, in the workers that it occupies by the scarcest resource of each
subtask, as a multiple of the workers. So a subtask that takes half of a worker's memory and one
accelerator counts as half a worker.
"""

from collections.abc import Sequence
from dataclasses import replace

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.simulation.drawing import SimulatedJob
from agateferry_jobs.simulation.loads import BATCH, GANGS, URGENT, Goal, Load, Surge

CAPACITY = Resources(cpu=32_000, mem_mb=65_536, gpu=8)
URGENT_PER_S = 1.28
GANGS_PER_S = 0.44
BATCH_PER_S = 0.39
TEAM_WEIGHTS = (16.0, 8.0, 4.0, 2.0, 1.0, 1.0)
"""The largest team submits half of all jobs, the smallest one of 32."""
GOAL = Goal(0.4, 0.2, 0.12, 0.12, 0.16, window_s=2, waste_price=0.001)
KINDS = (
    replace(
        URGENT,
        per_s=URGENT_PER_S,
        width=5.0,
        work_ms=2_300,
        cpu=3_750,
        mem_mb=5_500,
        late_worth=0.8,
    ),
    replace(GANGS, per_s=GANGS_PER_S, width=13.0, cpu=13_000, mem_mb=34_000),
    replace(BATCH, per_s=BATCH_PER_S, width=39.0, work_ms=6_500, cpu=2_800, mem_mb=4_100),
)


def with_demand(multiple: float) -> Load:
    """Return the load of uneven teams with this multiple of its demand, which is 1."""
    kinds = tuple(replace(kind, per_s=kind.per_s * multiple) for kind in UNEVEN.kinds)
    return replace(UNEVEN, kinds=kinds)


def drawn_demand(load: Load, jobs: Sequence[SimulatedJob]) -> float:
    """Return the demand of the drawn jobs of a load, as a multiple of its workers."""
    occupied_s = sum(sum(job.work_ms) / MS_PER_S * _worker_share(load, job) for job in jobs)
    return occupied_s / load.duration_s / load.workers


def _worker_share(load: Load, job: SimulatedJob) -> float:
    """Return the share of a worker that one subtask needs of its scarcest resource."""
    need, capacity = job.spec.steps[0].need, load.capacity
    return max(need.cpu / capacity.cpu, need.mem_mb / capacity.mem_mb, need.gpu / capacity.gpu)


UNEVEN = Load(
    KINDS,
    workers=44,
    workers_per_rack=12,
    capacity=CAPACITY,
    rack_gang_racks=1.25,
    wide_gang_racks=1.25,
    teams=len(TEAM_WEIGHTS),
    team_weights=TEAM_WEIGHTS,
    duration_s=40.0,
    stop_duration_ms=(100, 250),
    restore_ms=250,
    goal=GOAL,
)
"""A quarter of the workers of the uneven-teams deployment, so that ten seeds take minutes."""

SCARCE_LOADS = {
    "uneven-0.6": with_demand(0.6),
    "uneven-1.2": with_demand(1.2),
    "uneven-1.6": with_demand(1.6),
    "uneven-2.5": with_demand(2.5),
    "uneven-burst": replace(with_demand(0.9), surges=(Surge("batch", 8.0, 4.0, 6.0),)),
}
