import testtools

from agateferry_state.members import MemberId
from agateferry_state.replica.codec import Envelope
from agateferry_state.replica.outbox import Outbox
from agateferry_state.replication.messages import (
    AppendRequest,
    EntryKind,
    LogEntry,
    TimeoutNow,
)


def envelope(message):
    return Envelope("cell", MemberId("a"), MemberId("b"), message)


HEARTBEAT = envelope(AppendRequest(1, 0, 0, 0, 1))


class OutboxTests(testtools.TestCase):
    def test_a_full_outbox_drops_heartbeats_before_anything_else(self):
        outbox = Outbox(max_envelopes=3)
        others = [envelope(TimeoutNow(term)) for term in range(3)]
        for each in (others[0], HEARTBEAT, others[1], others[2]):
            outbox.put(each)
        self.assertEqual(others, outbox.take(10_000))

    def test_without_heartbeats_the_oldest_message_is_dropped(self):
        outbox = Outbox(max_envelopes=2)
        others = [envelope(TimeoutNow(term)) for term in range(3)]
        for each in others:
            outbox.put(each)
        self.assertEqual(others[1:], outbox.take(10_000))

    def test_the_byte_limit_keeps_at_least_one_message(self):
        entry = LogEntry(1, 1, EntryKind.COMMAND, b"x" * 5000)
        large = envelope(AppendRequest(1, 0, 0, 0, 1, (entry,)))
        outbox = Outbox(max_bytes=1000)
        outbox.put(large)
        outbox.put(large)
        self.assertEqual(1, len(outbox))
        self.assertEqual([large], outbox.take(10))
