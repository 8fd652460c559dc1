"""Loads whose workers differ in speed, and the same load with equal workers."""

from dataclasses import replace

from agateferry_jobs.simulation.loads import BATCH, GANGS, URGENT, Goal, Load, Surge, WorkSpread

UNEVEN = Load(
    (
        replace(URGENT, per_s=4.2, width=5.0, spread=WorkSpread(subtasks=0.0, declared=0.9)),
        replace(GANGS, per_s=1.4, width=13.0, spread=WorkSpread(subtasks=0.0)),
        replace(BATCH, per_s=2.6, width=39.0, spread=WorkSpread(0.3, 0.15, 0.5)),
    ),
    workers=176,
    workers_per_rack=12,
    teams=10,
    duration_s=34.0,
    stop_duration_ms=(100, 400),
    surges=(Surge("urgent", 6.0, 5.0, 2.0),),
    goal=Goal(0.5, 0.25, 0.25, window_s=2, waste_price=0.0005),
    worker_speeds=(0.6, 1.0, 1.6),
)
"""Workers whose speeds differ by a factor of 2.7, and more work than they can do."""
UNEVEN_QUIET = replace(
    UNEVEN, kinds=tuple(replace(kind, per_s=kind.per_s * 0.3) for kind in UNEVEN.kinds), surges=()
)

UNEVEN_WORKERS_LOADS = {
    "uneven": UNEVEN,
    "uneven-quiet": UNEVEN_QUIET,
    "uneven-mild": replace(UNEVEN, worker_speeds=(0.8, 1.0, 1.25)),
    "even": replace(UNEVEN, worker_speeds=(1.0,)),
}
