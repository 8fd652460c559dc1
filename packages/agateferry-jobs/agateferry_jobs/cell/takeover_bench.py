"""Measure how long a new leader needs before its first plan, by workers and subtasks.

    python -m agateferry_jobs.cell.takeover_bench

prints one line for each size: the ms of processor time to replay the log, to encode and to restore
a snapshot, to open the sessions and to make the first plan. Workers are in memory, so no network is
included.
"""

import asyncio
import time
from collections.abc import Callable, Iterator

import defopt

from agateferry_core.clock import MS_PER_S, SystemClock
from agateferry_core.logs import configure
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.planning import Fleet, Planner, WorkerHealth
from agateferry_jobs.support import MemoryReplica, ModelWorker, job_command, manifest, worker
from agateferry_jobs.support.builders import WORKER_CAPACITY, start_of

WORKERS = (24, 176, 610)
SUBTASKS = (500, 5_000, 10_000)
SUBTASKS_PER_JOB = 20
RUNS_PER_WORKER = 8
"""How many subtasks run on each worker; the others wait."""
LEASE_MS = 8_000


def measure(*, workers: list[int] | None = None, subtasks: list[int] | None = None) -> None:
    """Measure all combinations of these sizes.

    :param workers: the numbers of workers
    :param subtasks: the numbers of subtasks in the ledger
    """
    configure("warning", as_json=False)
    for worker_count in workers or WORKERS:
        for subtask_count in subtasks or SUBTASKS:
            times_ms = asyncio.run(_measure_one(worker_count, subtask_count))
            figures = " ".join(f"{name}_ms={value:.0f}" for name, value in times_ms.items())
            print(f"workers={worker_count} subtasks={subtask_count} {figures}", flush=True)


async def _measure_one(worker_count: int, subtask_count: int) -> dict[str, float]:
    log = [commands.encode(each) for each in _commands(worker_count, subtask_count)]
    ledger = Ledger()
    times_ms = {"replay": _time_ms(lambda: _replay(ledger, log))}
    snapshot = ledger.snapshot()
    times_ms["encode"] = _time_ms(ledger.snapshot)
    times_ms["restore"] = _time_ms(lambda: Ledger().restore(snapshot))
    clock = SystemClock()
    replica = MemoryReplica(ledger)
    leader = Leader(replica, ledger, clock, lambda one: ModelWorker(clock, one.born), LEASE_MS)
    times_ms["open"] = _time_ms(replica.lead)
    health = dict.fromkeys(ledger.workers, WorkerHealth())
    times_ms["plan"] = _time_ms(
        lambda: Planner(ledger, Fleet.from_ledger(ledger, health, ()), 0).plan()
    )
    await leader.close()
    return times_ms


def _replay(ledger: Ledger, log: list[bytes]) -> None:
    for index, command in enumerate(log, start=1):
        ledger.apply(index, command)


def _time_ms(action: Callable[[], object]) -> float:
    started_s = time.process_time()
    action()
    return (time.process_time() - started_s) * MS_PER_S


def _commands(worker_count: int, subtask_count: int) -> Iterator[commands.Command]:
    """Return commands after which all workers are full and the other subtasks wait."""
    yield commands.PutManifest(manifest())
    for number in range(worker_count):
        yield commands.NoteWorker(worker(f"w{number}", rack=f"r{number // 12}"))
    capacity = WORKER_CAPACITY
    need = Resources(capacity.cpu // RUNS_PER_WORKER, capacity.mem_mb // RUNS_PER_WORKER, 1)
    step = StepSpec(SUBTASKS_PER_JOB, need, estimated_ms=5_000)
    running_count = worker_count * RUNS_PER_WORKER // SUBTASKS_PER_JOB
    for number in range(subtask_count // SUBTASKS_PER_JOB):
        yield job_command(f"j{number}", step, priority=number % 3)
        if number >= running_count:
            continue
        slots = range(number * SUBTASKS_PER_JOB, (number + 1) * SUBTASKS_PER_JOB)
        yield commands.StartRuns(
            tuple(
                start_of(f"j{number}", f"0.0.{index}", on=f"w{slot // RUNS_PER_WORKER}")
                for index, slot in enumerate(slots)
            )
        )


if __name__ == "__main__":
    defopt.run(measure)
