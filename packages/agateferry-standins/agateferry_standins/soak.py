"""Load a system while a random daemon is killed every few seconds, and count the results.

The environment variable AGATEFERRY_SOAK_S sets the total duration in seconds, and
AGATEFERRY_SOAK_SEED the seed of the load and of the choice of daemons. The last line is
`soak: accepted=N answered=N lost=N duplicated=N wrong=N partial_gangs=N`.
"""

import asyncio
import os
import random
import sys
import tempfile
from pathlib import Path

from agateferry_standins.callers import Load, Tally, run_load
from agateferry_standins.callers.tally import RunSummary
from agateferry_standins.deployment import LAGERTELLER, PlanError, StartError, System, make_plan
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


async def run(folder: Path, duration_s: int, seed: int) -> tuple[Tally, StartLog]:
    """Run the load and the kills; return the results of callers and the log of workers."""
    log = StartLog()
    tally = Tally()
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
        kill_task = asyncio.create_task(kill_and_restart(system, random.Random(seed)))
        load_task = asyncio.create_task(run_load(load, [system.balancer.address], tally))
        await asyncio.wait([kill_task, load_task], return_when=asyncio.FIRST_COMPLETED)
        if kill_task.done():
            load_task.cancel()
            await kill_task
        kill_task.cancel()
        await load_task
    return tally, log


def main() -> int:
    """Read the environment, run and return the exit code."""
    log_warnings_only()
    duration_s = int(os.environ.get("AGATEFERRY_SOAK_S", DEFAULT_DURATION_S))
    seed = int(os.environ.get("AGATEFERRY_SOAK_SEED", 1))
    with tempfile.TemporaryDirectory(prefix="agateferry-soak-") as folder:
        try:
            tally, log = asyncio.run(run(Path(folder), duration_s, seed))
        except (PlanError, StartError, TimeoutError) as exc:
            print_progress(f"soak: {exc}")
            return EXIT_NOT_STARTED
    report_run("soak", tally, log)
    summary = RunSummary.from_tally(tally, log)
    print(f"soak: {summary}")
    return 0 if summary.is_clean else EXIT_GUARANTEE_VIOLATED


if __name__ == "__main__":
    sys.exit(main())
