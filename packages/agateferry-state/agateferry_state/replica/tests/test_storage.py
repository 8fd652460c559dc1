import tempfile
from pathlib import Path

import testtools

from agateferry_state.journal import JournalErrorKind
from agateferry_state.members import Member, MemberId, Members
from agateferry_state.replica.storage import open_storage
from agateferry_state.replication.messages import EntryKind, LogEntry, Snapshot, SnapshotMeta

MEMBERS = Members(voters=(Member(MemberId("a/b", "1f")),))


def entry(index, kind=EntryKind.COMMAND):
    return LogEntry(index, 2, kind, b"%d" % index)


class DiskStorageTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "cell"

    def open(self):
        opened = open_storage(self.folder).ok
        self.addCleanup(opened.storage.close)
        return opened

    def snapshot(self, index):
        return Snapshot(SnapshotMeta(index, 2, MEMBERS, 5, 77), b"state")

    def test_recovers_the_stored_state(self):
        opened = self.open()
        entries = tuple(entry(n, kind) for n, kind in enumerate(EntryKind, 1))
        opened.storage.append(entries)
        opened.storage.sync()
        opened.storage.save_vote(3, MemberId("a/b", "1f"))
        opened.storage.save_snapshot(self.snapshot(2))
        opened.storage.close()
        again = self.open()
        self.assertEqual(opened.incarnation, again.incarnation)
        self.assertEqual((3, MemberId("a/b", "1f")), (again.stored.term, again.stored.voted_for))
        self.assertEqual(self.snapshot(2), again.stored.snapshot)
        self.assertEqual(entries[2:], again.stored.entries)

    def check_restart(self, changes, snapshot_every):
        storage = self.open().storage
        for index in range(1, changes + 1):
            storage.append((entry(index),))
            if index % 10 == 0:
                storage.sync()
            if snapshot_every and index % snapshot_every == 0:
                storage.save_snapshot(self.snapshot(index))
        storage.sync()
        storage.close()
        stored = self.open().stored
        base = stored.snapshot.meta.index if stored.snapshot else 0
        self.assertEqual(changes // snapshot_every * snapshot_every if snapshot_every else 0, base)
        self.assertEqual(tuple(entry(n) for n in range(base + 1, changes + 1)), stored.entries)

    def test_restarts_after_500_changes(self):
        self.check_restart(500, 0)

    def test_restarts_after_500_changes_with_snapshots(self):
        self.check_restart(500, 300)

    def test_restarts_after_5000_changes(self):
        self.check_restart(5000, 0)

    def test_restarts_after_5000_changes_with_snapshots(self):
        self.check_restart(5000, 999)

    def test_a_leaders_snapshot_replaces_the_log(self):
        storage = self.open().storage
        storage.append(tuple(entry(n) for n in range(1, 9)))
        storage.sync()
        storage.install_snapshot(self.snapshot(4))
        storage.close()
        stored = self.open().stored
        self.assertEqual((self.snapshot(4), ()), (stored.snapshot, stored.entries))

    def test_a_corrupt_folder_is_reported_as_a_lost_disk(self):
        self.open().storage.close()
        path = self.folder / "incarnation"
        path.write_bytes(path.read_bytes()[:-1])
        self.assertEqual(JournalErrorKind.LOST_DISK, open_storage(self.folder).error.kind)


class MemoryStorageTests(testtools.TestCase):
    def test_each_start_has_a_new_incarnation(self):
        first, second = open_storage(None).ok, open_storage(None).ok
        self.assertNotEqual(first.incarnation, second.incarnation)
        self.assertEqual(0, second.stored.term)
        self.assertTrue(
            first.storage.save_snapshot(Snapshot(SnapshotMeta(1, 1, MEMBERS, 0, 0), b"")).is_ok()
        )
