"""Run both deployments' sample work on nine daemons each and count the outcome.

For example `python -m agateferry_standins.demo`. The last line is
`demo: accepted=N answered=N lost=N duplicated=N`, counted by the callers and the workers. The exit
code is 0 only when every accepted request was answered, with its own answer, once.
"""

import argparse
import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

from agateferry_standins.callers import Load, Tally, run_load
from agateferry_standins.callers.tally import RunSummary
from agateferry_standins.deployment import (
    LAGERTELLER,
    PASS_SERVICE,
    Deployment,
    PlanError,
    StartError,
    System,
    make_plan,
)
from agateferry_standins.deployment.plan import check_ports, create_run_folder
from agateferry_standins.report import quiet_logs, say, tell_run
from agateferry_standins.worker import StartLog

BASE_PORT = 17_400
REQUESTS = 400
RATE_PER_S = 60.0
KILL_AFTER_S = 2.0
EXIT_BROKEN_PROMISE = 1
EXIT_NOT_STARTED = 2


async def run_deployment(deployment: Deployment, folder: Path, base_port: int) -> RunSummary:
    """Run one deployment's sample work, with one kill of an entry host in the middle."""
    plan = make_plan(deployment.zones, folder / deployment.name, base_port)
    check_ports(plan)
    log = StartLog()
    tally = Tally()
    say(f"{deployment.name}: starting {len(plan.hosts)} daemons")
    async with System(plan, deployment, log) as system:
        say(f"{deployment.name}: ready, {len(system.workers)} workers")
        load = Load(deployment.name, deployment.kinds, REQUESTS, RATE_PER_S)
        sending = asyncio.create_task(run_load(load, [system.balancer.address], tally))
        await asyncio.sleep(KILL_AFTER_S)
        victim = await system.leader(deployment.zones[0])
        await system.daemons[victim].kill()
        say(f"{deployment.name}: killed {victim}")
        await sending
        codes = await system.stop()
    tell_run(deployment.name, tally, log)
    say(f"{deployment.name}: exit codes {sorted({str(code) for code in codes.values()})}")
    return RunSummary.from_tally(tally, log)


async def run(folder: Path, base_port: int) -> RunSummary:
    """Run the deployments one after the other and add up their counts."""
    total = RunSummary(0, 0, 0, 0, 0, 0)
    for deployment in (LAGERTELLER, PASS_SERVICE):
        total += await run_deployment(deployment, folder, base_port)
    return total


def main() -> int:
    """Read the command line, run and return the exit code."""
    quiet_logs()
    parser = argparse.ArgumentParser(description="Run the sample work of both deployments.")
    parser.add_argument("--base-port", type=int, default=BASE_PORT)
    default_folder = Path(tempfile.gettempdir()) / "agateferry-demo"
    parser.add_argument("--folder", type=Path, default=default_folder)
    args = parser.parse_args()
    try:
        create_run_folder(args.folder)
    except PlanError as exc:
        say(f"demo: {exc}")
        return EXIT_NOT_STARTED
    summary = None
    try:
        summary = asyncio.run(run(args.folder, args.base_port))
    except (PlanError, StartError, TimeoutError) as exc:
        say(f"demo: {exc}")
        return EXIT_NOT_STARTED
    finally:
        if summary is None or summary.is_clean:
            shutil.rmtree(args.folder)
    if not summary.is_clean:
        say(f"demo: a promise was broken: {summary}; the logs are in {args.folder}")
    print(
        f"demo: accepted={summary.accepted} answered={summary.answered} "
        f"lost={summary.lost} duplicated={summary.duplicated}"
    )
    return 0 if summary.is_clean else EXIT_BROKEN_PROMISE


if __name__ == "__main__":
    sys.exit(main())
