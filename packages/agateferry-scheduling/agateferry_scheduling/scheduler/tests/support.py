from agateferry_core.demand import Demand, Shape, Urgency, Worker
from agateferry_scheduling.scheduler.messages import (
    PendingRequest,
    RequestQueued,
    Start,
    Team,
    TeamsChanged,
    WorkerJoined,
)
from agateferry_scheduling.scheduler.scheduler import FairScheduler


def worker(name, rack="r0", accelerators=8):
    return Worker(name, "z", rack, accelerators, cpu_cores=32, memory_mb=128_000, slots=8)


def request(name, team="a", urgency=Urgency.NORMAL, at_ms=0, run_ms=60_000, job="j", **options):
    flags = {
        k: options.pop(k) for k in ("preemptible", "checkpointable", "deadline_ms") if k in options
    }
    demand = Demand(**({"cpu_cores": 1, "memory_mb": 256} | options))
    return PendingRequest(name, team, job, urgency, demand, run_ms, at_ms, **flags)


def team(name, *shapes, **options):
    return Team(name, tuple(Shape(*shape) for shape in shapes), **options)


TWO_TEAMS = (Team("a"), Team("b"))


def make_scheduler(racks=1, per_rack=2, teams=TWO_TEAMS, config=None):
    scheduler = FairScheduler("z", config)
    scheduler.step(TeamsChanged(tuple(teams)), 0)
    for number in range(racks * per_rack):
        scheduler.step(WorkerJoined(worker(f"w{number}", f"r{number // per_rack}")), 0)
    return scheduler


def queue(scheduler, pending, now_ms=0):
    return scheduler.step(RequestQueued(pending), now_ms)


def started(decisions):
    return [decision.request_id for decision in decisions if isinstance(decision, Start)]


def of_type(decisions, kind):
    return [decision for decision in decisions if isinstance(decision, kind)]
