"""Builders of the jobs, workers, commands and manifests that tests need."""

from agateferry_jobs.ledger import Run, WorkerIncarnation, WorkerState, commands
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.manifest import Manifest, Queue, Service, Team

SUBTASK_RESOURCES = Resources(cpu=1000, mem_mb=100, gpu=1)
WORKER_CAPACITY = Resources(cpu=16_000, mem_mb=10_000, gpu=8)


def worker(
    id: str,
    rack: str = "r1",
    born: int = 1,
    state: WorkerState = WorkerState.READY,
    zone: str = "zone-a",
) -> WorkerIncarnation:
    """Return an incarnation of a worker with eight accelerators."""
    return WorkerIncarnation(
        id,
        born,
        "pool",
        f"{id}:80",
        zone,
        WORKER_CAPACITY,
        ("kind", rack),
        slots=8,
        state=state,
    )


def job_command(
    id: str, *steps: StepSpec, priority: int = 1, attempts: int = 2, at_ms: int = 0, **schedule: int
) -> commands.AcceptJob:
    """Return the command that accepts a job; without steps it has one step of one subtask.

    `schedule` is passed to `JobSpec`, such as `start_at_ms` and `repeat_count`.
    """
    spec = JobSpec("payload", steps or (StepSpec(1, SUBTASK_RESOURCES),), **schedule)
    return commands.AcceptJob(id, "queue", "pool", "team", priority, attempts, at_ms, spec)


def start_of(
    job: str, subtask: str, number: int = 1, on: str = "w1", born: int = 1
) -> commands.RunStart:
    """Return the start of a subtask on a worker."""
    return commands.RunStart(job, subtask, Run(number, on, born))


def manifest(
    version: int = 1, source: str = "", stretch: float = 3.0, target_ms: float = 1000
) -> Manifest:
    """Return a manifest with two queues, one service and one team, whose guarantee is 8 GPUs."""
    queues = tuple(
        Queue(name, "host", prefix, "pool", 3000, target_ms, 1, attempts=2, stretch=stretch)
        for name, prefix in (("queue", "/jobs/"), ("other-queue", "/others/"))
    )
    team = Team("team", ("key",), reserved_gpus=8)
    source = source or f"version {version}"
    return Manifest(version, queues, (Service("pool"),), (team,), source.encode())
