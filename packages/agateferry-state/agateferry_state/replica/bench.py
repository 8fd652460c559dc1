"""Measure the disk, replica and transport performance of this host.

Run `python -m agateferry_state.replica.bench`, or name one of the sections, for example
`python -m agateferry_state.replica.bench commits`. Each row reads `measure state METRIC value
unit`. All members of a group run in this process, so a figure for three members includes the work
of all three.
"""

import asyncio
import random
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

from agateferry_core.clock import SystemClock
from agateferry_core.logs import configure
from agateferry_core.support import free_port
from agateferry_state.journal import Journal, Record
from agateferry_state.journal import Snapshot as StoredSnapshot
from agateferry_state.members import Members
from agateferry_state.replica.bench_transport import (
    measure_transport,
    print_measurement,
    print_percentiles,
)
from agateferry_state.replica.node import NodeConfig, NodeReplica, Peer
from agateferry_state.replica.protocols import StateMachine
from agateferry_state.replica.storage import open_storage
from agateferry_state.replica.transport import GrpcTransport, start_server
from agateferry_state.replication import Settings
from agateferry_state.replication.messages import EntryKind, LogEntry, Snapshot, SnapshotMeta

COMMAND = b"x" * 300
PROPOSERS = 64
COMMITS = 4000
SYNCS = 1000
SNAPSHOT_BYTES = 4 * 1024 * 1024
IDLE_S = 10.0
IDLE_SIZES = (1, 3, 7)
RESTART_CHANGES = (500, 5000)
SNAPSHOT_EVERY = 1000
POLL_S = 0.005
MS_PER_S = 1000.0


class KeyMachine:
    """Store commands in a table of 1,000 rows, each replaced in turn."""

    def __init__(self) -> None:
        self.rows: dict[int, bytes] = {}

    def apply(self, index: int, command: bytes) -> int:
        """Replace one row."""
        self.rows[index % 1000] = command
        return index

    def snapshot(self) -> bytes:
        """Return the keys and rows concatenated; all rows have the same length."""
        return b"".join(key.to_bytes(2, "big") + row for key, row in sorted(self.rows.items()))

    def restore(self, data: bytes) -> None:
        """Decode the keys and rows of a snapshot."""
        width = 2 + len(COMMAND)
        parts = [data[at : at + width] for at in range(0, len(data), width)]
        self.rows = {int.from_bytes(part[:2], "big"): part[2:] for part in parts}


@asynccontextmanager
async def group(
    folder: Path, size: int, settings: Settings | None = None
) -> AsyncIterator[list[NodeReplica]]:
    """Start the members of one group and wait until all of them are voters."""
    names = "abcdefghi"[:size]
    peers = tuple(Peer(name, f"127.0.0.1:{free_port()}") for name in names)
    async with AsyncExitStack() as stack:
        nodes = []
        for seed, peer in enumerate(peers):
            rng = random.Random(seed)
            transport = GrpcTransport({}, rng)
            server = (await start_server(peer.address, transport)).ok
            stack.push_async_callback(server.stop, None)
            stack.push_async_callback(transport.close)
            cfg = NodeConfig("cell", peer.name, peers, folder / peer.name, settings or Settings())
            node = NodeReplica(cfg, KeyMachine(), transport, SystemClock(), rng)
            stack.push_async_callback(node.stop)
            await node.start()
            nodes.append(node)
        await until(lambda: any(_voters(node) == size for node in nodes))
        yield nodes


def _voters(node: NodeReplica) -> int:
    status = node.status()
    if status is None or not node.is_leader:
        return 0
    return sum(1 for member in status.members if member.is_voter)


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(POLL_S)


async def measure_disk(folder: Path) -> None:
    """Measure appends with one sync each, and storing a snapshot."""
    journal = Journal.open(folder / "disk").ok[0]
    latencies_ms: list[float] = []
    for index in range(1, SYNCS + 1):
        began = time.perf_counter()
        journal.append([Record(index, 1, COMMAND)])
        journal.sync()
        latencies_ms.append((time.perf_counter() - began) * MS_PER_S)
    print_percentiles("append_and_sync", latencies_ms)
    began = time.perf_counter()
    journal.save_snapshot(StoredSnapshot(SYNCS, 1, bytes(SNAPSHOT_BYTES)))
    print_measurement("store_snapshot_of_4_mib", (time.perf_counter() - began) * MS_PER_S, "ms")
    journal.close()


async def measure_commits(folder: Path) -> None:
    """Measure proposals made one at a time, and made concurrently so that they share syncs."""
    for size in (1, 3):
        async with group(folder / f"commits-{size}", size) as nodes:
            leader = next(node for node in nodes if node.is_leader)
            await _commit(f"commits_{size}_members_one_at_a_time", leader, 1, COMMITS // 8)
            await _commit(f"commits_{size}_members_group_commit", leader, PROPOSERS, COMMITS)


async def _commit(metric: str, leader: NodeReplica, proposers: int, commits: int) -> None:
    latencies_ms: list[float] = []

    async def propose(count: int) -> None:
        for _ in range(count):
            began = time.perf_counter()
            answer = await leader.propose(COMMAND)
            assert answer.is_ok(), answer
            latencies_ms.append((time.perf_counter() - began) * MS_PER_S)

    began = time.perf_counter()
    await asyncio.gather(*[propose(commits // proposers) for _ in range(proposers)])
    print_measurement(f"{metric}_per_s", len(latencies_ms) / (time.perf_counter() - began), "1/s")
    print_percentiles(f"{metric}_latency", latencies_ms)


async def measure_restart(folder: Path) -> None:
    """Measure how long a host takes to recover its state from disk after many changes."""
    for changes in RESTART_CHANGES:
        for name, every in (("without_snapshots", changes + 1), ("with_snapshots", SNAPSHOT_EVERY)):
            data_folder = folder / f"restart-{changes}-{name}"
            _write_changes(data_folder, changes, every)
            began = time.perf_counter()
            machine = KeyMachine()
            opened = open_storage(data_folder).ok
            _replay(machine, opened.stored.snapshot, opened.stored.entries)
            print_measurement(
                f"restart_{changes}_changes_{name}", (time.perf_counter() - began) * MS_PER_S, "ms"
            )
            opened.storage.close()


def _write_changes(folder: Path, changes: int, snapshot_every: int) -> None:
    storage = open_storage(folder).ok.storage
    machine = KeyMachine()
    for index in range(1, changes + 1):
        storage.append((LogEntry(index, 1, EntryKind.COMMAND, COMMAND),))
        storage.sync()
        machine.apply(index, COMMAND)
        if index % snapshot_every == 0 and index < changes:
            data = machine.snapshot()
            meta = SnapshotMeta(index, 1, Members(), len(data), 0)
            storage.save_snapshot(Snapshot(meta, data))
    storage.close()


def _replay(
    machine: StateMachine, snapshot: Snapshot | None, entries: tuple[LogEntry, ...]
) -> None:
    if snapshot is not None:
        machine.restore(snapshot.data)
    for entry in entries:
        machine.apply(entry.index, entry.data)


async def measure_idle(folder: Path) -> None:
    """Measure the processor time of idle groups, summed over all members."""
    for size in IDLE_SIZES:
        async with group(folder / f"idle-{size}", size):
            await asyncio.sleep(1)
            began = time.process_time()
            await asyncio.sleep(IDLE_S)
            cpu_ms = (time.process_time() - began) * MS_PER_S
        print_measurement(f"idle_cpu_{size}_members_together", cpu_ms / IDLE_S, "ms/s")


SECTIONS: dict[str, Callable[[Path], Coroutine[Any, Any, None]]] = {
    "disk": measure_disk,
    "commits": measure_commits,
    "restart": measure_restart,
    "idle": measure_idle,
    "transport": measure_transport,
}


def main(names: list[str]) -> None:
    """Run the named sections, or all."""
    configure("error")
    for name in names or list(SECTIONS):
        with tempfile.TemporaryDirectory(dir=Path.cwd()) as folder:
            asyncio.run(SECTIONS[name](Path(folder)))


if __name__ == "__main__":
    main(sys.argv[1:])
