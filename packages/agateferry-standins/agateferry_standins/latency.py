"""Measure the latency that the system adds to a small request.

One cell of three daemons receives 100 requests per second; as many are sent directly to the
stand-in workers at the same time. Prints `measure latency METRIC value target unit` for the median
and the 99th percentile, each the difference between the two paths.
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
from agateferry_standins.report import US_PER_MS, log_warnings_only, print_progress, report_run
from agateferry_standins.worker import StandInWorker, StartLog

RATE_PER_S = 100.0
WARM_UP_REQUESTS = 200
MEASURED_REQUESTS = 1_000
RUN_MS = 5
MEDIAN_TARGET_MS = 10.0
P99_TARGET_MS = 40.0
SMALL_JOB = JobKind("barn-count", "barn-keepers", "urgent", run_ms=RUN_MS)


async def call_workers_directly(workers: list[StandInWorker], histogram: HdrHistogram) -> None:
    """Send small tasks directly to the workers, at the same rate, and record their latency."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    async with aiohttp.ClientSession() as session:
        tasks = []
        for number in range(MEASURED_REQUESTS):
            await asyncio.sleep(max(0.0, start_s + number / RATE_PER_S - loop.time()))
            worker = workers[number % len(workers)]
            tasks.append(asyncio.create_task(_call_worker(session, worker, histogram)))
        await asyncio.gather(*tasks)


async def _call_worker(
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
    started_s = time.monotonic()
    async with session.post(url + "/start", json=body, headers={"Prefer": "wait=10"}) as resp:
        await resp.read()
        if resp.status == 200:
            histogram.record_value(int((time.monotonic() - started_s) * 1e6))
    async with session.post(url + "/release") as resp:
        await resp.read()


async def run(folder: Path) -> tuple[HdrHistogram, HdrHistogram]:
    """Measure both paths at the same time; return the system's and the direct histogram."""
    log = StartLog()
    direct = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    plan = make_plan(LAGERTELLER.zones[:1], folder)
    entries = [host.callers for host in plan.hosts]
    async with System(plan, LAGERTELLER, log) as system:
        await run_load(Load("warm", (SMALL_JOB,), WARM_UP_REQUESTS, RATE_PER_S), entries, Tally())
        tally = Tally()
        load = Load("latency", (SMALL_JOB,), MEASURED_REQUESTS, RATE_PER_S)
        await asyncio.gather(
            run_load(load, entries, tally), call_workers_directly(system.workers, direct)
        )
    report_run("latency", tally, log)
    return tally.latency_us[SMALL_JOB.urgency], direct


def main() -> int:
    """Run and print the differences of the two percentiles."""
    log_warnings_only()
    with tempfile.TemporaryDirectory(prefix="agateferry-latency-") as folder:
        try:
            through_system, direct = asyncio.run(run(Path(folder)))
        except (PlanError, StartError, TimeoutError) as exc:
            print_progress(f"latency: {exc}")
            return 2
    targets = (("added-median", 50.0, MEDIAN_TARGET_MS), ("added-p99", 99.0, P99_TARGET_MS))
    for name, percentile, target_ms in targets:
        added_us = through_system.get_value_at_percentile(
            percentile
        ) - direct.get_value_at_percentile(percentile)
        print(f"measure latency {name} {added_us / US_PER_MS:.2f} {target_ms} ms")
    counts = (
        f"{through_system.get_total_count()} through the system, "
        f"{direct.get_total_count()} directly"
    )
    print_progress(f"latency: {counts}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
