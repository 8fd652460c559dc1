"""The sample load of the two deployments: zones, teams, jobs and mixes of requests."""

from dataclasses import dataclass
from typing import Any

from agateferry_standins.callers import JobKind

GANG_MEMBERS = 4
WORKER_ACCELERATORS = 8


@dataclass(frozen=True, slots=True)
class OperatorRecord:
    """A record that an operator stores, here before any request is sent."""

    kind: str
    name: str
    content: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Deployment:
    """The zones, records and mix of requests of one user of agateferry."""

    name: str
    zones: tuple[str, str, str]
    records: tuple[OperatorRecord, ...]
    kinds: tuple[JobKind, ...]


def _team_record(name: str, zones: tuple[str, ...], accelerators: int) -> OperatorRecord:
    """Return a team that is guaranteed so many accelerators of one worker in each zone."""
    shape = {"accelerators": accelerators, "adjacency": "worker", "count": 1}
    shapes = [shape] if accelerators else []
    guarantees = [{"zone": zone, "shapes": shapes} for zone in zones]
    return OperatorRecord("team", name, {"weight": 1.0, "guarantees": guarantees})


def _job_record(kind: JobKind, accelerators: int = 0, adjacency: str = "any") -> OperatorRecord:
    """Return the job record of a kind; its declared run time is the simulated one."""
    demand = {
        "members": kind.members,
        "accelerators": accelerators,
        "cpu_cores": 1,
        "memory_mb": 256,
        "adjacency": adjacency,
    }
    content = {
        "urgency": kind.urgency,
        "idempotent": kind.idempotent,
        "demand": demand,
        "declared_run_ms": max(1, kind.run_ms),
        "preemptible": kind.idempotent,
        "checkpointable": kind.urgency == "long",
        "max_attempts": 10 if kind.idempotent else 3,
    }
    return OperatorRecord("job", kind.job, content)


def _scheduling_record(completion_time: float) -> OperatorRecord:
    weights = {"completion_time": completion_time, "fragmentation": 1.0 - completion_time}
    return OperatorRecord("config", "scheduling", {"weights": weights})


FORECAST = JobKind(
    "forecast",
    "season-desk",
    "long",
    members=GANG_MEMBERS,
    run_ms=400,
    weight=1,
    cancel_share=0.5,
)
BARN_COUNT = JobKind("barn-count", "barn-keepers", "urgent", run_ms=20, weight=12, cancel_share=0.2)
LOAD_RECONCILE = JobKind(
    "load-reconcile", "load-desk", idempotent=False, run_ms=50, weight=7, resend_share=0.2
)
VESTLAND = ("vestland-1", "vestland-2", "vestland-3")

LAGERTELLER = Deployment(
    "lagerteller",
    VESTLAND,
    (
        _team_record("season-desk", VESTLAND, WORKER_ACCELERATORS),
        _team_record("barn-keepers", VESTLAND, 0),
        _team_record("load-desk", VESTLAND, 0),
        _team_record("audit-desk", VESTLAND, 0),
        _job_record(FORECAST, WORKER_ACCELERATORS, "rack"),
        _job_record(BARN_COUNT),
        _job_record(LOAD_RECONCILE),
        _scheduling_record(completion_time=0.25),
    ),
    (FORECAST, BARN_COUNT, LOAD_RECONCILE),
)

RISK_RUN = JobKind(
    "risk-run",
    "avalanche-desk",
    "long",
    members=GANG_MEMBERS,
    run_ms=400,
    weight=1,
    cancel_share=0.5,
)
MODEL_REFRESH = JobKind("model-refresh", "snow-desk", "long", run_ms=300, weight=2)
CLEARANCE_CHECK = JobKind(
    "clearance-check", "bus-desk", "urgent", run_ms=20, weight=11, cancel_share=0.2
)
CLOSURE_NOTICE = JobKind(
    "closure-notice", "police-desk", idempotent=False, run_ms=50, weight=6, resend_share=0.2
)
KARNALI = ("karnali-1", "karnali-2", "karnali-3")

PASS_SERVICE = Deployment(
    "pass-service",
    KARNALI,
    (
        _team_record("avalanche-desk", KARNALI, WORKER_ACCELERATORS),
        _team_record("snow-desk", KARNALI, WORKER_ACCELERATORS),
        _team_record("bus-desk", KARNALI, 0),
        _team_record("police-desk", KARNALI, 0),
        _job_record(RISK_RUN, WORKER_ACCELERATORS, "rack"),
        _job_record(MODEL_REFRESH, WORKER_ACCELERATORS, "worker"),
        _job_record(CLEARANCE_CHECK),
        _job_record(CLOSURE_NOTICE),
        _scheduling_record(completion_time=0.75),
    ),
    (RISK_RUN, MODEL_REFRESH, CLEARANCE_CHECK, CLOSURE_NOTICE),
)
