"""Loads whose memory binds before their accelerators, as in the uneven-teams deployment.

A subtask of a gang of middle priority takes over half of a worker's memory, so two never share a
worker, whatever their accelerators.
"""

from dataclasses import replace

from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.simulation.faults import ZoneEvacuation
from agateferry_jobs.simulation.loads import BATCH, GANGS, URGENT, Goal, Load, Surge

UNEVEN_TEAMS = Load(
    (
        replace(URGENT, per_s=6.0, width=5.0, cpu=3_700, mem_mb=9_800, target_ms=260),
        replace(
            GANGS, per_s=1.3, width=13.0, work_ms=11_000, cpu=13_000, mem_mb=34_000, attempts=3
        ),
        replace(BATCH, per_s=2.0, width=39.0, cpu=2_800, mem_mb=4_100, attempts=3),
    ),
    workers=176,
    workers_per_rack=12,
    capacity=Resources(cpu=32_000, mem_mb=65_536, gpu=8),
    teams=10,
    wide_gang_racks=2.0,
    duration_s=44.0,
    surges=(Surge("urgent", 4.0, 6.0, 1.6), Surge("batch", 20.0, 4.0, 2.0)),
    goal=Goal(0.4, 0.3, 0.1, 0.1, 0.1, window_s=2, waste_price=0.0001),
)
"""A day with a high load."""
UNEVEN_TEAMS_EVACUATED = replace(
    UNEVEN_TEAMS,
    evacuations=(ZoneEvacuation(14.0, 8.0, zone=1, cold_s=5.0, slowdown=3.0),),
)
"""The same day, of which a zone is evacuated, readmitted and cold afterwards."""
UNEVEN_TEAMS_LOW = replace(
    UNEVEN_TEAMS,
    kinds=tuple(replace(kind, per_s=kind.per_s * 0.5) for kind in UNEVEN_TEAMS.kinds),
)
"""A day that memory does not fill."""

UNEVEN_TEAMS_LOADS = {
    "uneven-teams": UNEVEN_TEAMS,
    "uneven-teams-evacuated": UNEVEN_TEAMS_EVACUATED,
    "uneven-teams-low": UNEVEN_TEAMS_LOW,
}
