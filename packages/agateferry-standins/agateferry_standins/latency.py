"""Measure what the system adds to the time of a small request.

One cell of three daemons takes 100 requests a second; as many go straight to the stand-in workers
in the same run. Prints `measure latency METRIC value target unit` for the median and the 99th
percentile, each the difference of the two ways.
"""

import asyncio
import sys
import tempfile
import time
import uuid
from pathlib import Path

import aiohttp
from hdrh.histogram import HdrHistogram

from agateferry_standins.callers import JobKind, Load, Tally, run_load
from agateferry_standins.callers.tally import MAX_LATENCY_US, MIN_LATENCY_US, SIGNIFICANT_DIGITS
from agateferry_standins.deployment import LAGERTELLER, PlanError, StartError, System, make_plan
from agateferry_standins.report import US_PER_MS, quiet_logs, say, tell_run
from agateferry_standins.worker import StandInWorker, StartLog

RATE_PER_S = 100.0
WARM_UP = 200
REQUESTS = 1_000
RUN_MS = 5
MEDIAN_TARGET_MS = 10.0
P99_TARGET_MS = 40.0
SMALL = JobKind("barn-count", "barn-keepers", "urgent", run_ms=RUN_MS)


async def ask_directly(workers: list[StandInWorker], histogram: HdrHistogram) -> None:
    """Send small tasks straight to the workers, at the same rate."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    async with aiohttp.ClientSession() as session:
        tasks = []
        for number in range(REQUESTS):
            await asyncio.sleep(max(0.0, start + number / RATE_PER_S - loop.time()))
            worker = workers[number % len(workers)]
            tasks.append(asyncio.create_task(_ask(session, worker, histogram)))
        await asyncio.gather(*tasks)


async def _ask(
    session: aiohttp.ClientSession, worker: StandInWorker, histogram: HdrHistogram
) -> None:
    lease = f"direct.{uuid.uuid4().hex}"
    body = {
        "request_id": lease,
        "attempt": 1,
        "member": 0,
        "members": 1,
        "accelerators": 0,
        "cpu_cores": 1,
        "memory_mb": 256,
        "ttl_ms": 1_000,
        "incarnation": worker.incarnation,
        "job": "direct",
        "team": "direct",
        "payload": f'{{"run_ms": {RUN_MS}, "echo": "x"}}',
        "checkpoint_step": None,
        "deadline_ms": None,
    }
    url = f"http://{worker.address}/v1/leases/{lease}"
    began = time.monotonic()
    async with session.post(url + "/start", json=body, headers={"Prefer": "wait=10"}) as resp:
        await resp.read()
        if resp.status == 200:
            histogram.record_value(int((time.monotonic() - began) * 1e6))
    async with session.post(url + "/release") as resp:
        await resp.read()


async def run(folder: Path) -> tuple[HdrHistogram, HdrHistogram]:
    """Measure both ways at the same time; return the system's and the direct histogram."""
    log = StartLog()
    direct = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    plan = make_plan(LAGERTELLER.zones[:1], folder)
    entries = [host.callers for host in plan.hosts]
    async with System(plan, LAGERTELLER, log) as system:
        await run_load(Load("warm", (SMALL,), WARM_UP, RATE_PER_S), entries, Tally())
        tally = Tally()
        load = Load("latency", (SMALL,), REQUESTS, RATE_PER_S)
        await asyncio.gather(run_load(load, entries, tally), ask_directly(system.workers, direct))
    tell_run("latency", tally, log)
    return tally.latency_us[SMALL.urgency], direct


def main() -> int:
    """Run and print the two differences."""
    quiet_logs()
    with tempfile.TemporaryDirectory(prefix="agateferry-latency-") as folder:
        try:
            ours, direct = asyncio.run(run(Path(folder)))
        except (PlanError, StartError, TimeoutError) as exc:
            say(f"latency: {exc}")
            return 2
    targets = (("added-median", 50.0, MEDIAN_TARGET_MS), ("added-p99", 99.0, P99_TARGET_MS))
    for name, percentile, target_ms in targets:
        added_us = ours.get_value_at_percentile(percentile) - direct.get_value_at_percentile(
            percentile
        )
        print(f"measure latency {name} {added_us / US_PER_MS:.2f} {target_ms} ms")
    counts = f"{ours.get_total_count()} through the system, {direct.get_total_count()} directly"
    say(f"latency: {counts}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
