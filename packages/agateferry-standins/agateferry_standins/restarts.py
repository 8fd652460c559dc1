"""Restart all daemons in turn under load, in several plays, and count the results of each.

For example `python -m agateferry_standins.restarts --plays 40`. Callers resend some requests that
are not idempotent, also through the host that has just become ready again. Every second play kills
the daemons, the others stop them gracefully. The last line is
`restarts: plays=N accepted=N answered=N lost=N duplicated=N wrong=N partial_gangs=N`; the exit code
is 0 only if no play lost, duplicated or mixed up a request.
"""

import asyncio
import sys
import tempfile
from functools import reduce
from operator import add
from pathlib import Path

import defopt

from agateferry_standins.callers import Load, Tally, run_load
from agateferry_standins.callers.tally import RunSummary
from agateferry_standins.deployment import LAGERTELLER, System, make_plan
from agateferry_standins.deployment.daemon import DaemonProcess
from agateferry_standins.deployment.system import STOP_TIMEOUT_S
from agateferry_standins.report import log_warnings_only, print_progress, report_run
from agateferry_standins.worker import StartLog

REQUESTS_PER_RESTART = 80
RATE_PER_S = 60.0
EXIT_GUARANTEE_VIOLATED = 1


def restarts(*, plays: int = 1, seed: int = 1) -> int:
    """Play restarts and return the exit code.

    :param plays: how often the system is set up and all its daemons are restarted
    :param seed: the seed of the first play's load; each further play adds 1
    """
    log_warnings_only()
    total = reduce(add, (_play(play_seed) for play_seed in range(seed, seed + plays)))
    print(f"restarts: plays={plays} {total}")
    return 0 if total.is_clean else EXIT_GUARANTEE_VIOLATED


def _play(seed: int) -> RunSummary:
    with tempfile.TemporaryDirectory(prefix="agateferry-restarts-") as folder:
        tally, log = asyncio.run(_run(Path(folder), seed))
    name = f"restarts seed {seed}"
    report_run(name, tally, log)
    summary = RunSummary.from_tally(tally, log)
    print_progress(f"{name}: {summary}")
    return summary


async def _run(folder: Path, seed: int) -> tuple[Tally, StartLog]:
    """Run the load while each daemon restarts; return the callers' and the workers' records."""
    log = StartLog()
    tally = Tally()
    async with System(make_plan(LAGERTELLER.zones, folder), LAGERTELLER, log) as system:
        for number, daemon in enumerate(system.daemons.values()):
            name = f"restart-{number}"
            load = Load(name, LAGERTELLER.kinds, REQUESTS_PER_RESTART, RATE_PER_S, seed)
            load_task = asyncio.create_task(run_load(load, [system.balancer.address], tally))
            await _restart(daemon, kill=seed % 2 == 0)
            await system.wait_ready([daemon.plan.name])
            await load_task
    return tally, log


async def _restart(daemon: DaemonProcess, kill: bool) -> None:
    if kill:
        await daemon.kill()
    else:
        await daemon.terminate(STOP_TIMEOUT_S)
    await daemon.start()


if __name__ == "__main__":
    sys.exit(defopt.run(restarts))
