"""Measure how soon an accepted record is in force on every host, also when a zone was away.

For example `python -m agateferry_standins.in_force`. Nine daemons in three zones take puts one
after the other; then each zone in turn is frozen while one more is put at another, and woken. Times
until a record is in force begin when its put is answered. The lines on standard output are
`measure in-force NAME value target ms`. The exit code is 0 when all targets are met.
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
from agateferry_standins.report import quiet_logs, say
from agateferry_standins.worker import StartLog

PUTS = 40
OK = 200
FROZEN_S = 10.0
TARGET_MS = 7_000
MS_PER_S = 1_000
EXIT_MISSED = 1
EXIT_NOT_STARTED = 2


class InForce:
    """Put records to a running system and time how they spread."""

    def __init__(self, system: System) -> None:
        self._system = system
        self._stored = 0

    async def steady(self) -> tuple[list[int], list[int]]:
        """Return, in ms, how long puts took to be accepted and to be in force everywhere."""
        accepted, in_force = [], []
        hosts = self._system.plan.hosts
        for number in range(PUTS):
            began = time.monotonic()
            revision = await self._put(hosts[number % len(hosts)])
            answered = time.monotonic()
            accepted.append(_ms_between(began, answered))
            await self._wait_in_force(hosts, revision)
            in_force.append(_ms_between(answered, time.monotonic()))
        return accepted, in_force

    async def with_frozen_zone(self, zone: str) -> tuple[int, int, int]:
        """Freeze a zone, put, and wake it.

        Return, in ms, how long the put took to be accepted, how long after that it was in force in
        the other zones, and how long after the waking it was in force everywhere.
        """
        frozen = self._system.plan.hosts_in_zone(zone)
        others = [host for host in self._system.plan.hosts if host.zone != zone]
        self._signal(frozen, signal.SIGSTOP)
        await asyncio.sleep(FROZEN_S)
        began = time.monotonic()
        revision = await self._put(others[0])
        answered = time.monotonic()
        await self._wait_in_force(others, revision)
        spread = time.monotonic()
        self._signal(frozen, signal.SIGCONT)
        woken = time.monotonic()
        await self._wait_in_force(self._system.plan.hosts, revision)
        healed_ms = _ms_between(woken, time.monotonic())
        return _ms_between(began, answered), _ms_between(answered, spread), healed_ms

    async def _put(self, host: HostPlan) -> int:
        self._stored += 1
        path = f"/v1/records/job/measured-{self._stored}"
        body = {"schema": "v2", "replaces": 0, "content": {}}
        revision = 0

        async def accepted() -> bool:
            nonlocal revision
            status, answer = await self._system.operator.call("PUT", path, body, host.operators)
            revision = int(answer.get("revision", 0))
            return status == OK

        await wait_for(accepted, f"{path} to be accepted")
        return revision

    async def _wait_in_force(self, hosts: Iterable[HostPlan], revision: int) -> None:
        async def in_force() -> bool:
            for host in hosts:
                status, body = await self._system.operator.call(
                    "GET", "/v1/cell", address=host.operators
                )
                if status != OK or (body["records"]["revision"] or 0) < revision:
                    return False
            return True

        await wait_for(in_force, f"revision {revision} to be in force")

    def _signal(self, hosts: Iterable[HostPlan], number: signal.Signals) -> None:
        for host in hosts:
            self._system.daemons[host.name].signal(number)


async def run(folder: Path) -> bool:
    """Measure on nine daemons and print the figures; return whether the targets are met."""
    plan = make_plan(LAGERTELLER.zones, folder)
    async with System(plan, LAGERTELLER, StartLog(), workers_per_zone=0) as system:
        measured = InForce(system)
        accepted, in_force = await measured.steady()
        tell("accepted-median", sorted(accepted)[PUTS // 2])
        tell("accepted-longest", max(accepted))
        tell("everywhere-median", sorted(in_force)[PUTS // 2])
        tell("everywhere-longest", max(in_force))
        worst_ms = max(in_force)
        for zone in plan.zones():
            accepted_ms, spread_ms, healed_ms = await measured.with_frozen_zone(zone)
            tell(f"accepted-while-{zone}-frozen", accepted_ms)
            tell(f"others-while-{zone}-frozen", spread_ms)
            tell(f"after-{zone}-woke", healed_ms)
            worst_ms = max(worst_ms, spread_ms, healed_ms)
        await system.stop()
    return worst_ms <= TARGET_MS


def tell(name: str, value_ms: int) -> None:
    """Write one figure."""
    print(f"measure in-force {name} {value_ms} {TARGET_MS} ms", flush=True)


def main() -> int:
    """Run and return the exit code."""
    quiet_logs()
    with tempfile.TemporaryDirectory(prefix="agateferry-in-force-") as folder:
        try:
            return 0 if asyncio.run(run(Path(folder))) else EXIT_MISSED
        except (PlanError, StartError, TimeoutError) as exc:
            say(f"in-force: {exc}")
            return EXIT_NOT_STARTED


def _ms_between(began: float, ended: float) -> int:
    return int((ended - began) * MS_PER_S)


if __name__ == "__main__":
    sys.exit(main())
