"""Measure how soon an accepted record is in force on every host, also after a zone was frozen.

For example `python -m agateferry_standins.in_force`. Nine daemons in three zones receive puts one
after the other. Then each zone in turn is frozen, a record is put in another zone, and the frozen
zone is resumed. The time until a record is in force starts at the reply to its put. Prints
`measure in-force NAME value target ms`. The exit code is 0 if all targets are met.
"""

import asyncio
import signal
import sys
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path

from agateferry_standins.deployment import (
    LAGERTELLER,
    HostPlan,
    PlanError,
    StartError,
    System,
    make_plan,
)
from agateferry_standins.deployment.system import wait_for
from agateferry_standins.report import log_warnings_only, print_progress
from agateferry_standins.worker import StartLog

PUT_COUNT = 40
HTTP_OK = 200
FREEZE_BEFORE_PUT_S = 10.0
TARGET_MS = 7_000
MS_PER_S = 1_000
EXIT_TARGET_MISSED = 1
EXIT_NOT_STARTED = 2


class PropagationMeasurement:
    """Put records to a running system and measure how soon they are in force."""

    def __init__(self, system: System) -> None:
        self._system = system
        self._stored_count = 0

    async def measure_steady(self) -> tuple[list[int], list[int]]:
        """Return the times in ms from put to reply, and from reply to in force everywhere."""
        accepted, in_force = [], []
        hosts = self._system.plan.hosts
        for number in range(PUT_COUNT):
            started_s = time.monotonic()
            revision = await self._put(hosts[number % len(hosts)])
            accepted_at_s = time.monotonic()
            accepted.append(_ms_between(started_s, accepted_at_s))
            await self._wait_in_force(hosts, revision)
            in_force.append(_ms_between(accepted_at_s, time.monotonic()))
        return accepted, in_force

    async def measure_with_frozen_zone(self, zone: str) -> tuple[int, int, int]:
        """Freeze a zone with SIGSTOP, put a record, and resume the zone once the others have it.

        Return three times in ms: until the put was accepted, from then until it was in force in
        the other zones, and from the resumption until it was in force everywhere.
        """
        frozen = self._system.plan.hosts_in_zone(zone)
        others = [host for host in self._system.plan.hosts if host.zone != zone]
        self._signal(frozen, signal.SIGSTOP)
        await asyncio.sleep(FREEZE_BEFORE_PUT_S)
        started_s = time.monotonic()
        revision = await self._put(others[0])
        accepted_at_s = time.monotonic()
        await self._wait_in_force(others, revision)
        spread_at_s = time.monotonic()
        self._signal(frozen, signal.SIGCONT)
        resumed_at_s = time.monotonic()
        await self._wait_in_force(self._system.plan.hosts, revision)
        resumed_ms = _ms_between(resumed_at_s, time.monotonic())
        return (
            _ms_between(started_s, accepted_at_s),
            _ms_between(accepted_at_s, spread_at_s),
            resumed_ms,
        )

    async def _put(self, host: HostPlan) -> int:
        self._stored_count += 1
        path = f"/v1/records/job/measured-{self._stored_count}"
        body = {"schema": "v2", "replaces": 0, "content": {}}
        revision = 0

        async def accepted() -> bool:
            nonlocal revision
            status, answer = await self._system.operator.call("PUT", path, body, host.operators)
            revision = int(answer.get("revision", 0))
            return status == HTTP_OK

        await wait_for(accepted, f"{path} to be accepted")
        return revision

    async def _wait_in_force(self, hosts: Iterable[HostPlan], revision: int) -> None:
        async def in_force() -> bool:
            for host in hosts:
                status, body = await self._system.operator.call(
                    "GET", "/v1/cell", address=host.operators
                )
                if status != HTTP_OK or (body["records"]["revision"] or 0) < revision:
                    return False
            return True

        await wait_for(in_force, f"revision {revision} to be in force")

    def _signal(self, hosts: Iterable[HostPlan], number: signal.Signals) -> None:
        for host in hosts:
            self._system.daemons[host.name].signal(number)


async def run(folder: Path) -> bool:
    """Measure on nine daemons, print the figures and return whether all targets are met."""
    plan = make_plan(LAGERTELLER.zones, folder)
    async with System(plan, LAGERTELLER, StartLog(), workers_per_zone=0) as system:
        measurement = PropagationMeasurement(system)
        accepted, in_force = await measurement.measure_steady()
        print_figure("accepted-median", sorted(accepted)[PUT_COUNT // 2])
        print_figure("accepted-longest", max(accepted))
        print_figure("everywhere-median", sorted(in_force)[PUT_COUNT // 2])
        print_figure("everywhere-longest", max(in_force))
        worst_ms = max(in_force)
        for zone in plan.zones():
            accepted_ms, spread_ms, resumed_ms = await measurement.measure_with_frozen_zone(zone)
            print_figure(f"accepted-while-{zone}-frozen", accepted_ms)
            print_figure(f"others-while-{zone}-frozen", spread_ms)
            print_figure(f"after-{zone}-woke", resumed_ms)
            worst_ms = max(worst_ms, spread_ms, resumed_ms)
        await system.stop()
    return worst_ms <= TARGET_MS


def print_figure(name: str, value_ms: int) -> None:
    """Print one figure in ms."""
    print(f"measure in-force {name} {value_ms} {TARGET_MS} ms", flush=True)


def main() -> int:
    """Run and return the exit code."""
    log_warnings_only()
    with tempfile.TemporaryDirectory(prefix="agateferry-in-force-") as folder:
        try:
            return 0 if asyncio.run(run(Path(folder))) else EXIT_TARGET_MISSED
        except (PlanError, StartError, TimeoutError) as exc:
            print_progress(f"in-force: {exc}")
            return EXIT_NOT_STARTED


def _ms_between(started_s: float, ended_s: float) -> int:
    return int((ended_s - started_s) * MS_PER_S)


if __name__ == "__main__":
    sys.exit(main())
