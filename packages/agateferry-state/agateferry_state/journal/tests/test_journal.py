import errno
import tempfile
from pathlib import Path

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from agateferry_state.journal import (
    Journal,
    JournalErrorKind,
    JournalSettings,
    OsFiles,
    Record,
    Snapshot,
    Vote,
)


class FailingFiles(OsFiles):
    """Raise OSError from the calls that a test selects in `fail`, by name and errno."""

    def __init__(self):
        self.fail = {}
        self.fail_rename_to = ""

    def write(self, fd, data):
        if "write" in self.fail:
            super().write(fd, data[: len(data) // 2])
            raise OSError(self.fail["write"], "injected")
        super().write(fd, data)

    def sync(self, fd):
        if "sync" in self.fail:
            raise OSError(self.fail["sync"], "injected")
        super().sync(fd)

    def rename(self, source, target):
        if target.name == self.fail_rename_to:
            raise OSError(errno.EIO, "injected")
        super().rename(source, target)


def records(first, last, term=1, size=20):
    return [Record(index, term, b"%d" % index * size) for index in range(first, last + 1)]


class JournalTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data" / "cell"

    def open(self, files=None, segment_bytes=4096):
        result = Journal.open(self.folder, files, JournalSettings(segment_bytes))
        self.assertTrue(result.is_ok(), result)
        self.addCleanup(result.ok[0].close)
        return result.ok

    def reopen(self, journal, **options):
        journal.close()
        return self.open(**options)

    def write(self, journal, *batches):
        for batch in batches:
            journal.append(batch)
            self.assertTrue(journal.sync().is_ok())

    def newest_segment(self):
        return sorted(self.folder.glob("segment-*"))[-1]

    def open_error_kind(self):
        return Journal.open(self.folder).error.kind


class JournalTests(JournalTestCase):
    def test_recovers_what_was_synced(self):
        journal, first = self.open()
        self.write(journal, records(1, 3), records(4, 4, term=2))
        journal.save_vote(Vote(3, "b"))
        _, second = self.reopen(journal)
        self.assertEqual(tuple(records(1, 3) + records(4, 4, term=2)), second.records)
        self.assertEqual(Vote(3, "b"), second.vote)
        self.assertEqual((True, False), (first.is_new, second.is_new))
        self.assertEqual(first.incarnation, second.incarnation)

    def test_does_not_recover_what_was_not_synced(self):
        journal, _ = self.open()
        journal.append(records(1, 2))
        _, recovered = self.reopen(journal)
        self.assertEqual((), recovered.records)

    def test_splits_the_log_into_segments_and_replays_them_in_order(self):
        journal, _ = self.open(segment_bytes=100)
        self.write(journal, *[records(n, n) for n in range(1, 40)])
        self.assertGreater(len(list(self.folder.glob("segment-*"))), 5)
        _, recovered = self.reopen(journal)
        self.assertEqual(tuple(records(1, 39)), recovered.records)

    def test_a_replaced_tail_stays_replaced(self):
        journal, _ = self.open()
        self.write(journal, records(1, 6))
        journal.truncate(4)
        self.write(journal, records(4, 4, term=2))
        journal, recovered = self.reopen(journal)
        self.assertEqual(tuple(records(1, 3) + records(4, 4, term=2)), recovered.records)
        self.write(journal, records(5, 5, term=2))
        _, third = self.reopen(journal)
        self.assertEqual(5, len(third.records))

    def test_a_dropped_tail_stays_dropped(self):
        journal, _ = self.open()
        self.write(journal, records(1, 6))
        journal.append(records(7, 8))
        journal.truncate(4)
        self.assertEqual(3, journal.sync().ok)
        _, recovered = self.reopen(journal)
        self.assertEqual(tuple(records(1, 3)), recovered.records)

    def test_a_tail_that_was_never_synced_is_dropped_in_memory(self):
        journal, _ = self.open()
        self.write(journal, records(1, 2))
        journal.append(records(3, 6))
        journal.truncate(4)
        self.write(journal, records(4, 4, term=2))
        self.assertEqual(1, len(list(self.folder.glob("segment-*"))))
        _, recovered = self.reopen(journal)
        self.assertEqual(tuple(records(1, 3) + records(4, 4, term=2)), recovered.records)

    def test_append_rejects_a_gap(self):
        journal, _ = self.open()
        with testtools.ExpectedException(ValueError):
            journal.append(records(2, 2))

    def test_a_new_folder_has_another_incarnation(self):
        journal, first = self.open()
        journal.close()
        self.folder.rename(self.folder.with_name("old"))
        _, second = self.open()
        self.assertNotEqual(first.incarnation, second.incarnation)

    def test_two_journals_cannot_open_one_folder(self):
        self.open()
        self.assertEqual(JournalErrorKind.LOCKED, self.open_error_kind())

    def test_initialization_resumes_after_a_crash(self):
        journal, _ = self.open()
        journal.close()
        (self.folder / "incarnation").unlink()
        _, recovered = self.open()
        self.assertTrue(recovered.is_new)


class CompactionTests(JournalTestCase):
    def test_a_snapshot_replaces_what_it_covers(self):
        journal, _ = self.open(segment_bytes=200)
        self.write(journal, *[records(n, n) for n in range(1, 30)])
        before = len(list(self.folder.glob("segment-*")))
        journal.save_snapshot(Snapshot(20, 1, b"state"))
        self.assertLess(len(list(self.folder.glob("segment-*"))), before)
        _, recovered = self.reopen(journal)
        self.assertEqual(Snapshot(20, 1, b"state"), recovered.snapshot)
        self.assertEqual(tuple(records(21, 29)), recovered.records)

    def test_a_snapshot_from_a_leader_replaces_the_log(self):
        journal, _ = self.open()
        self.write(journal, records(1, 5))
        journal.install_snapshot(Snapshot(9, 3, b"theirs"))
        self.write(journal, records(10, 11, term=3))
        journal, recovered = self.reopen(journal)
        self.assertEqual(tuple(records(10, 11, term=3)), recovered.records)
        journal.save_snapshot(Snapshot(11, 3, b"ours"))
        self.assertEqual(1, len(list(self.folder.glob("segment-*"))))

    def test_a_crash_while_a_snapshot_is_installed_keeps_the_snapshot_alone(self):
        files = FailingFiles()
        journal, _ = self.open(files)
        self.write(journal, records(1, 5))
        files.fail_rename_to = "segment-000000000002"
        self.assertTrue(journal.install_snapshot(Snapshot(4, 2, b"theirs")).is_error())
        journal, recovered = self.reopen(journal)
        self.assertEqual((Snapshot(4, 2, b"theirs"), ()), (recovered.snapshot, recovered.records))
        self.write(journal, records(5, 5, term=2))
        self.assertEqual(tuple(records(5, 5, term=2)), self.reopen(journal)[1].records)

    def test_a_replaced_tail_survives_compaction(self):
        journal, _ = self.open()
        self.write(journal, records(1, 10))
        journal.truncate(8)
        self.write(journal, records(8, 12, term=2))
        journal.save_snapshot(Snapshot(11, 2, b"state"))
        _, recovered = self.reopen(journal)
        self.assertEqual(tuple(records(12, 12, term=2)), recovered.records)


class TornWriteTests(JournalTestCase):
    def test_a_batch_cut_at_any_byte_is_dropped_whole(self):
        journal, _ = self.open()
        self.write(journal, records(1, 2))
        valid_bytes = self.newest_segment().stat().st_size
        self.write(journal, records(3, 4))
        journal.close()
        content = self.newest_segment().read_bytes()
        for size in range(valid_bytes, len(content)):
            self.newest_segment().write_bytes(content[:size])
            journal, recovered = self.open()
            journal.close()
            self.assertEqual(tuple(records(1, 2)), recovered.records, size)
            self.assertEqual(size - valid_bytes, recovered.cut_bytes)

    def test_unwritten_sectors_at_the_end_are_a_torn_write(self):
        journal, _ = self.open()
        self.write(journal, records(1, 2))
        valid_bytes = self.newest_segment().stat().st_size
        self.write(journal, records(3, 4, size=2000))
        journal.close()
        content = self.newest_segment().read_bytes()
        for start in (valid_bytes, 1024):
            self.newest_segment().write_bytes(
                content[:start] + bytes(1024) + content[start + 1024 :]
            )
            journal, recovered = self.open()
            journal.close()
            self.assertEqual(tuple(records(1, 2)), recovered.records)

    def test_a_partly_written_new_segment_is_ignored(self):
        journal, _ = self.open()
        self.write(journal, records(1, 2))
        (self.folder / "segment-000000000002.tmp").write_bytes(b"half")
        _, recovered = self.reopen(journal)
        self.assertEqual(2, len(recovered.records))


class CorruptionTests(JournalTestCase):
    def test_any_flipped_bit_of_a_synced_batch_is_a_lost_disk(self):
        journal, _ = self.open()
        self.write(journal, records(1, 2), records(3, 3), records(4, 5))
        journal.close()
        content = self.newest_segment().read_bytes()
        for position in range(len(content)):
            corrupt = bytearray(content)
            corrupt[position] ^= 0x10
            self.newest_segment().write_bytes(corrupt)
            self.assertEqual(JournalErrorKind.LOST_DISK, self.open_error_kind(), position)

    def test_a_zeroed_middle_is_a_lost_disk(self):
        journal, _ = self.open()
        self.write(journal, records(1, 2, size=2000), records(3, 4, size=2000))
        journal.close()
        content = self.newest_segment().read_bytes()
        self.newest_segment().write_bytes(content[:512] + bytes(1024) + content[1536:])
        self.assertEqual(JournalErrorKind.LOST_DISK, self.open_error_kind())

    def test_a_corrupt_vote_incarnation_or_snapshot_is_a_lost_disk(self):
        journal, _ = self.open()
        self.write(journal, records(1, 2))
        journal.save_vote(Vote(1, "a"))
        journal.save_snapshot(Snapshot(1, 1, b"state"))
        journal.close()
        for name in ("vote", "incarnation", "snapshot-000000000001"):
            content = (self.folder / name).read_bytes()
            (self.folder / name).write_bytes(content[:-1] + b"?")
            self.assertEqual(JournalErrorKind.LOST_DISK, self.open_error_kind(), name)
            (self.folder / name).write_bytes(content)

    def test_a_copy_of_a_file_left_in_the_folder_is_named_in_the_error(self):
        journal, _ = self.open()
        journal.close()
        (self.folder / "segment-000000000001.bak").write_bytes(b"")
        error = Journal.open(self.folder).error
        self.assertEqual(JournalErrorKind.LOST_DISK, error.kind)
        self.assertIn("segment-000000000001.bak", error.detail)

    def test_a_missing_segment_or_snapshot_is_a_lost_disk(self):
        journal, _ = self.open(segment_bytes=100)
        self.write(journal, *[records(n, n) for n in range(1, 40)])
        journal.save_snapshot(Snapshot(20, 1, b"state"))
        journal.close()
        segments = sorted(self.folder.glob("segment-*"))
        for path in (segments[2], self.folder / "snapshot-000000000020"):
            content = path.read_bytes()
            path.unlink()
            self.assertEqual(JournalErrorKind.LOST_DISK, self.open_error_kind(), path.name)
            path.write_bytes(content)


class FailureTests(JournalTestCase):
    def check_refuses_until_reopened(self, call, error, kind):
        files = FailingFiles()
        journal, _ = self.open(files)
        self.write(journal, records(1, 2))
        files.fail[call] = error
        journal.append(records(3, 4))
        self.assertEqual(kind, journal.sync().error.kind)
        files.fail.clear()
        self.assertEqual(JournalErrorKind.CLOSED, journal.sync().error.kind)
        self.assertEqual(JournalErrorKind.CLOSED, journal.save_vote(Vote(1, "a")).error.kind)
        journal, recovered = self.reopen(journal)
        self.assertEqual(tuple(records(1, 2)), recovered.records[:2])
        self.write(journal, records(len(recovered.records) + 1, len(recovered.records) + 1))

    def test_a_full_disk_is_reported(self):
        self.check_refuses_until_reopened("write", errno.ENOSPC, JournalErrorKind.DISK_FULL)

    def test_a_failed_sync_is_reported(self):
        self.check_refuses_until_reopened("sync", errno.EIO, JournalErrorKind.SYNC_FAILED)

    def test_a_failed_sync_of_the_vote_is_reported(self):
        files = FailingFiles()
        journal, _ = self.open(files)
        files.fail["sync"] = errno.EIO
        self.assertEqual(JournalErrorKind.SYNC_FAILED, journal.save_vote(Vote(1, "a")).error.kind)
        self.assertEqual(Vote(), self.reopen(journal)[1].vote)

    def test_open_syncs_what_it_has_read(self):
        journal, _ = self.open()
        self.write(journal, records(1, 2))
        journal.close()
        files = FailingFiles()
        files.fail["sync"] = errno.EIO
        result = Journal.open(self.folder, files)
        self.assertEqual(JournalErrorKind.SYNC_FAILED, result.error.kind)

    def test_a_folder_that_cannot_be_created_is_reported(self):
        self.folder.parent.parent.mkdir(exist_ok=True)
        self.folder.parent.write_bytes(b"")
        self.assertEqual(JournalErrorKind.IO_FAILED, self.open_error_kind())

    def test_a_failed_open_releases_the_lock(self):
        files = FailingFiles()
        files.fail["sync"] = errno.ENOSPC
        self.assertEqual(JournalErrorKind.DISK_FULL, Journal.open(self.folder, files).error.kind)
        self.open()


class UndoneRemovalFiles(OsFiles):
    """Keep a copy of what is removed, and the copies that the last sync of the folder let go."""

    def __init__(self):
        self.removed = {}
        self.steps = []

    def remove(self, path):
        self.removed[path] = path.read_bytes()
        super().remove(path)
        self.steps.append(dict(self.removed))

    def sync_folder(self, folder):
        super().sync_folder(folder)
        self.removed.clear()


class LostRemovalTests(JournalTestCase):
    """After a loss of power some removed segments were back, and the host took no part any more."""

    def subsets(self, paths):
        for mask in range(2 ** len(paths)):
            yield [path for bit, path in enumerate(paths) if mask >> bit & 1]

    def compact(self):
        """Compact a log of several segments; return the journal's files."""
        files = UndoneRemovalFiles()
        journal, _ = self.open(files, segment_bytes=100)
        self.write(journal, *[records(n, n) for n in range(1, 31)])
        self.assertTrue(journal.save_snapshot(Snapshot(8, 1, b"old")).is_ok())
        files.steps.clear()
        self.assertTrue(journal.save_snapshot(Snapshot(21, 1, b"state")).is_ok())
        journal.close()
        self.assertEqual({}, files.removed)
        return files

    def test_recovers_whichever_removals_are_undone(self):
        files = self.compact()
        final = {path: path.read_bytes() for path in self.folder.iterdir()}
        removed = files.steps[-1]
        self.assertGreater(len(removed), 4)
        for undone in self.subsets(sorted(removed)):
            for path in self.folder.iterdir():
                path.unlink()
            for path, content in final.items():
                path.write_bytes(content)
            for path in undone:
                path.write_bytes(removed[path])
            journal, recovered = self.open()
            self.assertEqual((21, b"state"), (recovered.snapshot.index, recovered.snapshot.data))
            self.assertEqual(tuple(records(22, 30)), recovered.records)
            self.write(journal, records(31, 31))
            journal, recovered = self.reopen(journal)
            self.assertEqual(tuple(records(22, 31)), recovered.records)
            journal.close()
            left = [path for path in self.folder.glob("segment-*") if path in removed]
            self.assertEqual([], left)

    def test_recovers_from_each_step_of_a_compaction(self):
        files = self.compact()
        for step in files.steps:
            restored = [path for path in files.steps[-1] if path not in step]
            for path in restored:
                path.write_bytes(files.steps[-1][path])
            journal, recovered = self.open()
            journal.close()
            self.assertEqual(tuple(records(22, 30)), recovered.records)

    def test_a_gap_among_segments_that_are_needed_is_no_leftover(self):
        self.compact()
        needed = sorted(self.folder.glob("segment-*"))
        self.assertGreater(len(needed), 2)
        needed[1].unlink()
        self.assertEqual(JournalErrorKind.LOST_DISK, self.open_error_kind())

    def test_without_a_snapshot_each_segment_is_needed(self):
        journal, _ = self.open(segment_bytes=100)
        self.write(journal, *[records(n, n) for n in range(1, 20)])
        journal.close()
        sorted(self.folder.glob("segment-*"))[0].unlink()
        self.assertEqual(JournalErrorKind.LOST_DISK, self.open_error_kind())


class DamagedTailTests(JournalTestCase):
    """The newest segment may end in anything after a loss of power."""

    BATCHES = (records(1, 3), records(4, 4, term=2), records(5, 9, term=2))

    @settings(deadline=None)
    @given(st.data())
    def test_a_cut_or_changed_tail_gives_a_prefix_or_a_lost_disk(self, data):
        with tempfile.TemporaryDirectory() as folder:
            self.folder = Path(folder) / "cell"
            journal, _ = self.open()
            self.write(journal, *self.BATCHES)
            journal.close()
            path = self.newest_segment()
            content = bytearray(path.read_bytes())
            at = data.draw(st.integers(0, len(content) - 1))
            if data.draw(st.booleans()):
                content[at] = data.draw(st.integers(0, 255))
            else:
                content[at:] = data.draw(st.binary(max_size=40))
            path.write_bytes(content)
            result = Journal.open(self.folder)
            if result.is_error():
                self.assertEqual(JournalErrorKind.LOST_DISK, result.error.kind)
                return
            reopened, recovered = result.ok
            reopened.close()
            written = tuple(each for batch in self.BATCHES for each in batch)
            self.assertEqual(written[: len(recovered.records)], recovered.records)
