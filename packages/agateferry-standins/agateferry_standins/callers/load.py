"""A seeded mix of requests at a given rate."""

import asyncio
import random
from dataclasses import dataclass

import aiohttp

from agateferry_standins.callers.caller import Caller
from agateferry_standins.callers.messages import JobKind, RequestRecord
from agateferry_standins.callers.tally import Tally


@dataclass(frozen=True, slots=True)
class Load:
    """How many requests of which kinds, at how many a second.

    `name` makes the keys of this load differ from those of every other load of a run.
    """

    name: str
    kinds: tuple[JobKind, ...]
    count: int
    rate_per_s: float
    seed: int = 1
    patience_s: float = 60.0

    def records(self) -> list[RequestRecord]:
        """Return the requests of this load, the same ones for the same seed."""
        rng = random.Random(self.seed)
        weights = [kind.weight for kind in self.kinds]
        records = []
        for number in range(self.count):
            kind = rng.choices(self.kinds, weights)[0]
            key = f"{self.name}-{self.seed}-{number}"
            records.append(RequestRecord(key, kind, f"{key}:{rng.getrandbits(64):016x}"))
        return records


async def run_load(load: Load, entries: list[str], tally: Tally) -> None:
    """Send a load at its rate, whatever the answers take, and wait for every end."""
    rng = random.Random(load.seed)
    loop = asyncio.get_running_loop()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        caller = Caller(session, entries, tally, rng, load.patience_s)
        start = loop.time()
        tasks = []
        for number, record in enumerate(load.records()):
            delay_s = start + number / load.rate_per_s - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            tasks.append(asyncio.create_task(caller.run(record)))
        await asyncio.gather(*tasks)
