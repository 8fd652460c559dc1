"""Measure the resources that each host of an idle system uses, against its budget.

Nine daemons with 24 workers are idle for `WINDOW_S`. Prints `budget NAME value limit`, with the
highest value of all hosts: processor time in percent of a core, memory in MB, and bytes per second
to and from peers.
"""

import asyncio
import os
import re
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from agateferry_standins.deployment import (
    LAGERTELLER,
    DaemonProcess,
    PlanError,
    StartError,
    System,
    make_plan,
)
from agateferry_standins.report import log_warnings_only, print_progress
from agateferry_standins.worker import StartLog

SETTLE_TIME_S = 5.0
WINDOW_S = 15.0
CPU_LIMIT_PERCENT = 2.5
MEMORY_LIMIT_MB = 256.0
BYTES_LIMIT_PER_S = 10_240.0
KB_PER_MB = 1024
BYTES_METRIC = re.compile(r"^agateferry_peer_bytes_total(?:\{[^}]*\})? (\S+)$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """The resources that a daemon has used since its start, and its resident memory now.

    `peer_bytes` is None if the daemon does not export the counter.
    """

    cpu_s: float
    memory_mb: float
    peer_bytes: float | None


def cpu_seconds(stat: str) -> float:
    """Return user and system time in seconds from the text of /proc/PID/stat."""
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(status: str) -> float:
    """Return resident memory in MB from the text of /proc/PID/status."""
    line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    return int(line.split()[1]) / KB_PER_MB


def peer_bytes(metrics: str) -> float | None:
    """Return the bytes to and from peers, or None when the counter is not exported."""
    values = [float(value) for value in BYTES_METRIC.findall(metrics)]
    return sum(values) if values else None


async def read_usage(system: System, daemon: DaemonProcess) -> ResourceUsage:
    """Read the resources that one daemon has used."""
    folder = Path(f"/proc/{daemon.pid}")
    metrics = await system.operator.metrics(daemon.plan.operators)
    stat, status = (folder / "stat").read_text(), (folder / "status").read_text()
    return ResourceUsage(cpu_seconds(stat), memory_mb(status), peer_bytes(metrics))


async def run(folder: Path) -> list[tuple[ResourceUsage, ResourceUsage]]:
    """Return the usage of each daemon before and after the idle window."""
    async with System(make_plan(LAGERTELLER.zones, folder), LAGERTELLER, StartLog()) as system:
        await asyncio.sleep(SETTLE_TIME_S)
        before = [await read_usage(system, daemon) for daemon in system.daemons.values()]
        await asyncio.sleep(WINDOW_S)
        after = [await read_usage(system, daemon) for daemon in system.daemons.values()]
    return list(zip(before, after, strict=True))


def main() -> int:
    """Print the highest figures; return 1 if one exceeds its limit, 2 if the run failed."""
    log_warnings_only()
    with tempfile.TemporaryDirectory(prefix="agateferry-budget-") as folder:
        try:
            usages = asyncio.run(run(Path(folder)))
        except (PlanError, StartError, TimeoutError) as exc:
            print_progress(f"budget: {exc}")
            return 2
    cpu = max(100 * (b.cpu_s - a.cpu_s) / WINDOW_S for a, b in usages)
    memory = max(b.memory_mb for _, b in usages)
    rates = [
        (b.peer_bytes - a.peer_bytes) / WINDOW_S
        for a, b in usages
        if a.peer_bytes is not None and b.peer_bytes is not None
    ]
    print(f"budget cpu-percent {cpu:.2f} {CPU_LIMIT_PERCENT}")
    print(f"budget memory-mb {memory:.1f} {MEMORY_LIMIT_MB}")
    if len(rates) < len(usages):
        print_progress(
            "budget: some daemons do not export agateferry_peer_bytes_total; bytes not measured"
        )
    rate = max(rates, default=float("nan"))
    print(f"budget peer-bytes-per-s {rate:.0f} {BYTES_LIMIT_PER_S:.0f}")
    within = cpu <= CPU_LIMIT_PERCENT and memory <= MEMORY_LIMIT_MB and rate <= BYTES_LIMIT_PER_S
    return 0 if within else 1


if __name__ == "__main__":
    sys.exit(main())
