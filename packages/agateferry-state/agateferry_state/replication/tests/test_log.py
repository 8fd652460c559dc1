import zlib

import testtools

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.replication.log import Log
from agateferry_state.replication.messages import EntryKind, LogEntry, Snapshot, SnapshotMeta

MEMBERS = Members((Member(MemberId("a", "1")),))


def entries(*terms, first=1):
    return tuple(LogEntry(i, t, EntryKind.COMMAND, b"x" * 10) for i, t in enumerate(terms, first))


def snapshot(index, term):
    return Snapshot(SnapshotMeta(index, term, MEMBERS, 1, zlib.crc32(b"s")), b"s")


class LogTests(testtools.TestCase):
    def test_a_sync_of_truncated_entries_does_not_count_for_their_replacements(self):
        log = Log(None, entries(1, 1))
        first = log.append(entries(1, 1, first=3))
        log.truncate(3)
        second = log.append(entries(2, 2, first=3))
        log.mark_synced(first.write_id)
        self.assertEqual(2, log.synced_index)
        log.mark_synced(second.write_id)
        self.assertEqual(4, log.synced_index)

    def test_truncation_restores_the_earlier_members(self):
        log = Log(None, entries(1))
        log.append((LogEntry(2, 1, EntryKind.MEMBERS, MEMBERS.encode()),))
        self.assertEqual(MEMBERS, log.members)
        log.truncate(2)
        self.assertEqual(Members(), log.members)

    def test_a_batch_keeps_its_limits_but_is_never_empty(self):
        log = Log(None, entries(1, 1, 1))
        self.assertEqual([2, 1, 1], [len(log.batch(1, *limits)) for limits in BATCH_LIMITS])

    def test_last_index_with_term_reaches_before_the_log(self):
        log = Log(snapshot(5, 3), entries(3, 3, first=6))
        self.assertEqual(7, log.last_index_with_term_up_to(9, 3))
        self.assertEqual(4, log.last_index_with_term_up_to(7, 2))

    def test_compaction_keeps_some_entries_and_the_members(self):
        log = Log(None, (LogEntry(1, 1, EntryKind.MEMBERS, MEMBERS.encode()),))
        log.append(entries(1, 1, 2, 2, first=2))
        log.compact(snapshot(4, 2), trailing_entries=2, trailing_bytes=1000)
        self.assertEqual((2, 1, 5), (log.base_index, log.base_term, log.last_index))
        self.assertEqual(MEMBERS, log.members)

    def test_compaction_keeps_entries_of_a_limited_size(self):
        """The log kept a thousand entries, however large they were, and outgrew the memory."""
        for trailing_bytes, base_index in ((0, 5), (9, 5), (10, 4), (25, 3), (30, 2), (100, 2)):
            log = Log(None, (LogEntry(1, 1, EntryKind.MEMBERS, MEMBERS.encode()),))
            log.append(entries(1, 1, 1, 1, 1, 1, first=2))
            log.compact(snapshot(5, 1), trailing_entries=3, trailing_bytes=trailing_bytes)
            self.assertEqual((base_index, 7), (log.base_index, log.last_index))
            self.assertEqual(20, log.bytes_between(6, 7))

    def test_sizes_follow_truncation_and_compaction(self):
        log = Log(None, entries(1, 1, 1, 1))
        log.truncate(3)
        log.append(entries(2, 2, 2, first=3))
        self.assertEqual(50, log.bytes_between(1, 5))
        log.compact(snapshot(4, 2), trailing_entries=1, trailing_bytes=1000)
        self.assertEqual((20, 10), (log.bytes_between(1, 5), log.bytes_between(5, 5)))
        log.truncate(4)
        log.append(entries(3, first=4))
        self.assertEqual(10, log.bytes_between(1, 4))
        self.assertEqual(0, log.bytes_between(5, 4))

    def test_stored_entries_must_follow_the_snapshot(self):
        with testtools.ExpectedException(ValueError):
            Log(snapshot(5, 3), entries(3, first=8))


BATCH_LIMITS = ((2, 1000), (3, 15), (3, 1))
