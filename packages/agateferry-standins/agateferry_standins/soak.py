"""Load a system while a random daemon is killed every few seconds, and count the outcome.

The environment variable AGATEFERRY_SOAK_S bounds the time, AGATEFERRY_SOAK_SEED chooses the
victims. The last line is
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
from agateferry_standins.report import quiet_logs, say, tell_run
from agateferry_standins.worker import StartLog

DEFAULT_S = 60
SETUP_S = 15
REQUEST_TIMEOUT_S = 30.0
MIN_LOAD_S = 5
RATE_PER_S = 60.0
KILL_PAUSE_S = (2.0, 5.0)
DOWN_S = 1.0
EXIT_BROKEN_PROMISE = 1
EXIT_NOT_STARTED = 2


async def kill_in_turn(system: System, rng: random.Random) -> None:
    """Kill and restart one daemon after the other until cancelled."""
    names = sorted(system.daemons)
    while True:
        await asyncio.sleep(rng.uniform(*KILL_PAUSE_S))
        victim = system.daemons[rng.choice(names)]
        await victim.kill()
        say(f"soak: killed {victim.plan.name}")
        await asyncio.sleep(DOWN_S)
        await victim.start()
        await system.wait_ready([victim.plan.name])


async def run(folder: Path, total_s: int, seed: int) -> tuple[Tally, StartLog]:
    """Run the load with its kills and return what callers and workers saw."""
    log = StartLog()
    tally = Tally()
    load_s = max(MIN_LOAD_S, total_s - SETUP_S)
    load = Load(
        "soak", LAGERTELLER.kinds, int(load_s * RATE_PER_S), RATE_PER_S, seed, REQUEST_TIMEOUT_S
    )
    async with System(make_plan(LAGERTELLER.zones, folder), LAGERTELLER, log) as system:
        killing = asyncio.create_task(kill_in_turn(system, random.Random(seed)))
        sending = asyncio.create_task(run_load(load, [system.balancer.address], tally))
        await asyncio.wait([killing, sending], return_when=asyncio.FIRST_COMPLETED)
        if killing.done():
            sending.cancel()
            await killing
        killing.cancel()
        await sending
    return tally, log


def main() -> int:
    """Read the environment, run and return the exit code."""
    quiet_logs()
    total_s = int(os.environ.get("AGATEFERRY_SOAK_S", DEFAULT_S))
    seed = int(os.environ.get("AGATEFERRY_SOAK_SEED", 1))
    with tempfile.TemporaryDirectory(prefix="agateferry-soak-") as folder:
        try:
            tally, log = asyncio.run(run(Path(folder), total_s, seed))
        except (PlanError, StartError, TimeoutError) as exc:
            say(f"soak: {exc}")
            return EXIT_NOT_STARTED
    tell_run("soak", tally, log)
    summary = RunSummary.from_tally(tally, log)
    print(
        f"soak: accepted={summary.accepted} answered={summary.answered} lost={summary.lost} "
        f"duplicated={summary.duplicated} wrong={summary.wrong} "
        f"partial_gangs={summary.partial_gangs}"
    )
    return 0 if summary.is_clean else EXIT_BROKEN_PROMISE


if __name__ == "__main__":
    sys.exit(main())
