"""Load a system while daemons are killed and zones evacuated, and count the results.

A random daemon is killed every few seconds. Meanwhile zones are evacuated and readmitted, one after
the other; no worker of a zone may start anything later than `START_BOUND_S` after the
acknowledgement of its evacuation, until it is readmitted.

The environment variable AGATEFERRY_SOAK_S sets the total duration in seconds, and
AGATEFERRY_SOAK_SEED the seed of the load and of the faults.
The last two lines are `soak: evacuations=N started_while_evacuated=N started_elsewhere=N` and
`soak: accepted=N answered=N lost=N duplicated=N wrong=N partial_gangs=N`.
"""

import asyncio
import contextlib
import os
import random
import sys
import tempfile
from collections.abc import Coroutine
from pathlib import Path

from agateferry_standins.callers import Load, Tally, run_load
from agateferry_standins.callers.tally import RunSummary
from agateferry_standins.deployment import LAGERTELLER, PlanError, StartError, System, make_plan
from agateferry_standins.evacuations import EvacuationCounts, evacuate_in_turn
from agateferry_standins.report import log_warnings_only, print_progress, report_run
from agateferry_standins.worker import StartLog

DEFAULT_DURATION_S = 60
SETUP_TIME_S = 15
REQUEST_TIMEOUT_S = 30.0
MIN_LOAD_DURATION_S = 5
RATE_PER_S = 60.0
KILL_INTERVAL_S = (2.0, 5.0)
DOWNTIME_S = 1.0
EXIT_GUARANTEE_VIOLATED = 1
EXIT_NOT_STARTED = 2


async def kill_and_restart(system: System, rng: random.Random) -> None:
    """Kill and restart random daemons, one at a time, until cancelled."""
    names = sorted(system.daemons)
    while True:
        await asyncio.sleep(rng.uniform(*KILL_INTERVAL_S))
        victim = system.daemons[rng.choice(names)]
        await victim.kill()
        print_progress(f"soak: killed {victim.plan.name}")
        await asyncio.sleep(DOWNTIME_S)
        await victim.start()
        await system.wait_ready([victim.plan.name])


async def run(folder: Path, duration_s: int, seed: int) -> tuple[Tally, StartLog, EvacuationCounts]:
    """Run the load and the faults; return what callers, workers and evacuations counted."""
    log = StartLog()
    tally = Tally()
    counts = EvacuationCounts()
    load_duration_s = max(MIN_LOAD_DURATION_S, duration_s - SETUP_TIME_S)
    load = Load(
        "soak",
        LAGERTELLER.kinds,
        int(load_duration_s * RATE_PER_S),
        RATE_PER_S,
        seed,
        REQUEST_TIMEOUT_S,
    )
    async with System(make_plan(LAGERTELLER.zones, folder), LAGERTELLER, log) as system:
        await run_beside_faults(
            run_load(load, [system.balancer.address], tally),
            kill_and_restart(system, random.Random(seed)),
            evacuate_in_turn(system, random.Random(seed), load_duration_s, counts),
        )
    return tally, log, counts


async def run_beside_faults(
    load: Coroutine[None, None, None], *faults: Coroutine[None, None, None]
) -> None:
    """Run a load to its end beside faults, which then end too; an exception ends all of them."""
    load_task = asyncio.create_task(load)
    tasks = {load_task, *(asyncio.create_task(fault) for fault in faults)}
    pending = set(tasks)
    try:
        while not load_task.done():
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                await task
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)


def main() -> int:
    """Read the environment, run and return the exit code."""
    log_warnings_only()
    duration_s = int(os.environ.get("AGATEFERRY_SOAK_S", DEFAULT_DURATION_S))
    seed = int(os.environ.get("AGATEFERRY_SOAK_SEED", 1))
    with tempfile.TemporaryDirectory(prefix="agateferry-soak-") as folder:
        try:
            tally, log, counts = asyncio.run(run(Path(folder), duration_s, seed))
        except (PlanError, StartError, TimeoutError) as exc:
            print_progress(f"soak: {exc}")
            return EXIT_NOT_STARTED
    report_run("soak", tally, log)
    summary = RunSummary.from_tally(tally, log)
    print(f"soak: {counts}")
    print(f"soak: {summary}")
    return 0 if summary.is_clean and not counts.started else EXIT_GUARANTEE_VIOLATED


if __name__ == "__main__":
    sys.exit(main())
