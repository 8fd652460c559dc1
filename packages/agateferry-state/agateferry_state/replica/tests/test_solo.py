import asyncio
import errno
import tempfile
from pathlib import Path

import testtools

from agateferry_core.clock import ManualClock
from agateferry_core.support import run_async
from agateferry_state.journal import Journal, OsFiles
from agateferry_state.replica import ProposeErrorKind
from agateferry_state.replica.solo import SoloReplica


class ListMachine:
    """Remember every command in order."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self):
        return b"\n".join(self.commands)

    def restore(self, data):
        self.commands = data.split(b"\n") if data else []


class CountingFiles(OsFiles):
    """Count syncs, and fail them on demand."""

    def __init__(self):
        self.syncs = 0
        self.broken = False

    def sync(self, fd):
        self.syncs += 1
        if self.broken:
            raise OSError(errno.EIO, "injected")
        super().sync(fd)


class SoloReplicaTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "cell"
        self.files = CountingFiles()
        self.machine = ListMachine()

    def replica(self, snapshot_every=1000):
        self.machine = ListMachine()
        return SoloReplica(
            lambda: Journal.open(self.folder, self.files),
            self.machine,
            "host-1",
            ManualClock(),
            snapshot_every,
        )

    async def proposed(self, replica, *commands):
        return await asyncio.gather(*[replica.propose(command) for command in commands])

    def test_applies_in_order_and_survives_a_restart(self):
        async def main():
            replica = self.replica(snapshot_every=4)
            await replica.start()
            commands = [b"%d" % n for n in range(10)]
            results = [await replica.propose(command) for command in commands]
            self.assertEqual(list(range(1, 11)), [result.ok.index for result in results])
            replica._journal.close()
            again = self.replica()
            await again.start()
            self.assertEqual(commands, self.machine.commands)
            self.assertGreater(again.term, replica.term)
            self.assertEqual(10, (await again.read_barrier()).ok)
            await again.stop()

        run_async(main())

    def test_proposals_of_one_turn_share_a_sync(self):
        async def main():
            replica = self.replica()
            await replica.start()
            before = self.files.syncs
            results = await self.proposed(replica, *[b"x"] * 50)
            self.assertEqual(50, results[-1].ok.index)
            self.assertEqual(1, self.files.syncs - before)
            await replica.stop()

        run_async(main())

    def test_after_a_failed_sync_nothing_is_taken(self):
        async def main():
            replica = self.replica()
            await replica.start()
            self.files.broken = True
            results = await self.proposed(replica, b"a", b"b")
            kinds = {result.error.kind for result in results}
            self.assertEqual({ProposeErrorKind.STORAGE_FAILED}, kinds)
            self.assertEqual([], self.machine.commands)
            self.assertFalse(replica.is_leader)
            self.files.broken = False
            self.assertTrue((await replica.propose(b"c")).is_error())
            await replica.stop()

        run_async(main())

    def test_a_stopped_replica_refuses(self):
        async def main():
            replica = self.replica()
            self.assertEqual(ProposeErrorKind.STOPPED, (await replica.propose(b"a")).error.kind)
            await replica.start()
            await replica.stop()
            self.assertEqual(ProposeErrorKind.STOPPED, (await replica.propose(b"a")).error.kind)

        run_async(main())

    def test_a_locked_folder_leaves_it_out_of_service(self):
        async def main():
            first, second = self.replica(), self.replica()
            await first.start()
            await second.start()
            self.assertEqual(ProposeErrorKind.STORAGE_FAILED, second.failure.kind)
            await first.stop()
            await second.stop()

        run_async(main())
