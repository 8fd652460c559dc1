"""Evacuate and readmit zones of a running system, and count what starts there in between."""

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any

from agateferry_standins.deployment import System
from agateferry_standins.deployment.operator_client import POLL_INTERVAL_S
from agateferry_standins.report import print_progress

HTTP_OK = 200
RETRIED_STATUSES = frozenset({0, 500, 503})
# Records are in force in each zone 7 s after they were accepted, and a start order that was sent
# before that waits up to 3 s for a connection and its reply.
START_BOUND_S = 10.0
WATCH_S = 5.0
PAUSE_S = 3.0
CYCLE_S = PAUSE_S + START_BOUND_S + WATCH_S


@dataclass(slots=True)
class EvacuationCounts:
    """The evacuations that were watched to their end, and the starts during them.

    `started` counts starts in the evacuated zone later than `START_BOUND_S` after the
    acknowledgement, and `started_elsewhere` those in the other zones at the same time.
    """

    evacuations: int = 0
    started: int = 0
    started_elsewhere: int = 0

    def __str__(self) -> str:
        """Return the counts as one line of a program's output shows them."""
        return (
            f"evacuations={self.evacuations} started_while_evacuated={self.started} "
            f"started_elsewhere={self.started_elsewhere}"
        )


async def evacuate_in_turn(
    system: System, rng: random.Random, duration_s: float, counts: EvacuationCounts
) -> None:
    """Evacuate random zones, one at a time, for as long as whole cycles fit into `duration_s`."""
    ends_s = time.monotonic() + duration_s
    while time.monotonic() + CYCLE_S <= ends_s:
        await asyncio.sleep(PAUSE_S)
        await evacuate_and_watch(system, rng.choice(system.plan.zones()), counts)


async def evacuate_and_watch(system: System, zone: str, counts: EvacuationCounts) -> None:
    """Evacuate a zone, count the starts while it must be quiet, and readmit it."""
    await send_until_acknowledged(system, "POST", zone)
    print_progress(f"evacuated {zone}")
    try:
        await asyncio.sleep(START_BOUND_S)
        inside, outside = start_counts(system, zone)
        await asyncio.sleep(WATCH_S)
        inside_after, outside_after = start_counts(system, zone)
    finally:
        await send_until_acknowledged(system, "DELETE", zone)
    print_progress(f"readmitted {zone}")
    counts.evacuations += 1
    counts.started += inside_after - inside
    counts.started_elsewhere += outside_after - outside


async def send_until_acknowledged(system: System, method: str, zone: str) -> dict[str, Any]:
    """Send a call to one host after the other until one acknowledges it, as an operator does."""
    path = f"/v1/evacuations/{zone}"
    while True:
        status, body = await system.operator.call(method, path)
        if status == HTTP_OK:
            return body
        if status not in RETRIED_STATUSES:
            raise ValueError(f"{method} {path} was refused: {status} {body}")
        await asyncio.sleep(POLL_INTERVAL_S)


def start_counts(system: System, zone: str) -> tuple[int, int]:
    """Return how many tasks the workers of a zone, and those of the others, have started."""
    inside = outside = 0
    for worker in system.workers:
        if worker.config.zone == zone:
            inside += worker.table.started_count
        else:
            outside += worker.table.started_count
    return inside, outside
