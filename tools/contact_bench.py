"""Measure how a new leader contacts its workers over HTTP, by their number.

    python tools/contact_bench.py --workers 270 1000 3000

The leader has a replica in memory; the workers are a stand-in in another process, each at its own
loopback address. Prints one line for each number: the ms to open the sessions, until all workers
have answered and of processor time, the longest time that the leader's loop was held, and the
descriptors and memory used.
"""

import asyncio
import multiprocessing
import os
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import defopt

from agateferry_core.clock import MS_PER_S, SystemClock
from agateferry_core.logs import configure
from agateferry_core.support import free_port
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.support import MemoryReplica, manifest, worker

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from agateferry_platform.main import collect_garbage_less_often  # noqa: E402
from agateferry_platform.workers import HttpWorkerPort  # noqa: E402

LEASE_MS = 8_000
HOSTS_PER_NETWORK = 200
BACKLOG = 4_096
START_S = 0.5
LOOP_CHECK_S = 0.005
MAX_WAIT_S = 20.0
KB_PER_PAGE = os.sysconf("SC_PAGESIZE") / 1024


class IdleWorkers(asyncio.Protocol):
    """Answer each poll with empty lists."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for the answers."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._received = b""

    def data_received(self, data: bytes) -> None:
        """Answer once the body, a JSON object without inner objects, is complete."""
        self._received += data
        if not self._received.endswith(b"}"):
            return
        self._received = b""
        body = b'{"clockMs":%d,"born":1}' % (time.monotonic() * MS_PER_S)
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


@dataclass
class LongestHold:
    """The longest time that the event loop was held."""

    hold_s: float = 0.0

    async def observe(self) -> None:
        """Observe the loop until cancelled."""
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(LOOP_CHECK_S)
            self.hold_s = max(self.hold_s, time.monotonic() - began_s - LOOP_CHECK_S)


def measure(*, workers: list[int]) -> None:
    """Measure a takeover with each number of workers.

    :param workers: the numbers of workers
    """
    configure("error", as_json=False)
    port = free_port()
    process = multiprocessing.Process(target=_serve, args=(port,), daemon=True)
    process.start()
    time.sleep(START_S)
    collect_garbage_less_often()
    try:
        for count in workers:
            print(asyncio.run(_measure_one(count, port)), flush=True)
    finally:
        process.terminate()


def _serve(port: int) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(IdleWorkers, "0.0.0.0", port, backlog=BACKLOG)
        await server.serve_forever()

    asyncio.run(main())


async def _measure_one(count: int, port: int) -> str:
    ledger = Ledger()
    replica = MemoryReplica(ledger)
    leader = Leader(replica, ledger, SystemClock(), HttpWorkerPort, LEASE_MS)
    await replica.propose(commands.encode(commands.PutManifest(manifest())))
    for number in range(count):
        network, host = divmod(number, HOSTS_PER_NETWORK)
        each = worker(f"w{number}")
        each.address = f"127.1.{network}.{host + 1}:{port}"
        await replica.propose(commands.encode(commands.NoteWorker(each)))
    hold = LongestHold()
    observing = asyncio.create_task(hold.observe())
    await asyncio.sleep(2 * LOOP_CHECK_S)
    cpu_s, began_s, kb, files = time.process_time(), time.monotonic(), _resident_kb(), _files()
    replica.lead()
    opened_s = time.process_time() - cpu_s
    while (  # noqa: ASYNC110
        not leader.knows_all_workers() and time.monotonic() - began_s < MAX_WAIT_S
    ):
        await asyncio.sleep(LOOP_CHECK_S)
    known_s, used_s = time.monotonic() - began_s, time.process_time() - cpu_s
    line = (
        f"workers={count} open_ms={opened_s * MS_PER_S:.0f} known_ms={known_s * MS_PER_S:.0f}"
        f" cpu_ms={used_s * MS_PER_S:.0f} longest_hold_ms={hold.hold_s * MS_PER_S:.0f}"
        f" descriptors={_files() - files} kb_per_worker={(_resident_kb() - kb) / count:.1f}"
    )
    observing.cancel()
    await leader.close()
    return line


def _resident_kb() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * KB_PER_PAGE


def _files() -> int:
    return len(list(Path("/proc/self/fd").iterdir()))


if __name__ == "__main__":
    defopt.run(measure)
