"""A mix of requests, drawn from a seed and sent at a given rate."""

import asyncio
import random
from dataclasses import dataclass

import aiohttp

from agateferry_standins.callers.caller import Caller
from agateferry_standins.callers.messages import JobKind, RequestRecord
from agateferry_standins.callers.tally import Tally


@dataclass(frozen=True, slots=True)
class Load:
    """The number, kinds and rate of the requests of a load.

    `name` is the prefix of the requests' keys and has to differ between the loads of a run.
    """

    name: str
    kinds: tuple[JobKind, ...]
    count: int
    rate_per_s: float
    seed: int = 1
    request_timeout_s: float = 60.0

    def records(self) -> list[RequestRecord]:
        """Draw the requests of this load; the same seed gives the same requests."""
        rng = random.Random(self.seed)
        weights = [kind.weight for kind in self.kinds]
        records = []
        for number in range(self.count):
            kind = rng.choices(self.kinds, weights)[0]
            key = f"{self.name}-{self.seed}-{number}"
            records.append(RequestRecord(key, kind, f"{key}:{rng.getrandbits(64):016x}"))
        return records


async def run_load(load: Load, entries: list[str], tally: Tally) -> None:
    """Send the requests at the load's rate without waiting for replies, then wait for all ends."""
    rng = random.Random(load.seed)
    loop = asyncio.get_running_loop()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        caller = Caller(session, entries, tally, rng, load.request_timeout_s)
        start_s = loop.time()
        tasks = []
        for number, record in enumerate(load.records()):
            delay_s = start_s + number / load.rate_per_s - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            tasks.append(asyncio.create_task(caller.run(record)))
        await asyncio.gather(*tasks)
