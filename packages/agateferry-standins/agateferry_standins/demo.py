"""Run the sample load of both deployments, each on nine daemons, and count the results.

For example `python -m agateferry_standins.demo`. The last line is
`demo: accepted=N answered=N lost=N duplicated=N`, counted by the callers and the workers. The exit
code is 0 only if every accepted request got its own answer and nothing ran twice or in part.
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
from agateferry_standins.report import log_warnings_only, print_progress, report_run
from agateferry_standins.worker import StartLog

BASE_PORT = 17_400
REQUESTS = 400
RATE_PER_S = 60.0
KILL_AFTER_S = 2.0
EXIT_GUARANTEE_VIOLATED = 1
EXIT_NOT_STARTED = 2


async def run_deployment(deployment: Deployment, folder: Path, base_port: int) -> RunSummary:
    """Run one deployment's sample load and kill the leader of its first zone in the middle."""
    plan = make_plan(deployment.zones, folder / deployment.name, base_port)
    check_ports(plan)
    log = StartLog()
    tally = Tally()
    print_progress(f"{deployment.name}: starting {len(plan.hosts)} daemons")
    async with System(plan, deployment, log) as system:
        print_progress(f"{deployment.name}: ready, {len(system.workers)} workers")
        load = Load(deployment.name, deployment.kinds, REQUESTS, RATE_PER_S)
        load_task = asyncio.create_task(run_load(load, [system.balancer.address], tally))
        await asyncio.sleep(KILL_AFTER_S)
        victim = await system.leader(deployment.zones[0])
        await system.daemons[victim].kill()
        print_progress(f"{deployment.name}: killed {victim}")
        await load_task
        codes = await system.stop()
    report_run(deployment.name, tally, log)
    print_progress(
        f"{deployment.name}: exit codes {sorted({str(code) for code in codes.values()})}"
    )
    return RunSummary.from_tally(tally, log)


async def run(folder: Path, base_port: int) -> RunSummary:
    """Run the deployments one after the other and return the sum of their counts."""
    total = RunSummary(0, 0, 0, 0, 0, 0)
    for deployment in (LAGERTELLER, PASS_SERVICE):
        total += await run_deployment(deployment, folder, base_port)
    return total


def main() -> int:
    """Parse the command line, run and return the exit code."""
    log_warnings_only()
    parser = argparse.ArgumentParser(description="Run the sample load of both deployments.")
    parser.add_argument("--base-port", type=int, default=BASE_PORT)
    default_folder = Path(tempfile.gettempdir()) / "agateferry-demo"
    parser.add_argument("--folder", type=Path, default=default_folder)
    args = parser.parse_args()
    try:
        create_run_folder(args.folder)
    except PlanError as exc:
        print_progress(f"demo: {exc}")
        return EXIT_NOT_STARTED
    summary = None
    try:
        summary = asyncio.run(run(args.folder, args.base_port))
    except (PlanError, StartError, TimeoutError) as exc:
        print_progress(f"demo: {exc}")
        return EXIT_NOT_STARTED
    finally:
        if summary is None or summary.is_clean:
            shutil.rmtree(args.folder)
    if not summary.is_clean:
        print_progress(f"demo: a guarantee was violated: {summary}; the logs are in {args.folder}")
    print(
        f"demo: accepted={summary.accepted} answered={summary.answered} "
        f"lost={summary.lost} duplicated={summary.duplicated}"
    )
    return 0 if summary.is_clean else EXIT_GUARANTEE_VIOLATED


if __name__ == "__main__":
    sys.exit(main())
