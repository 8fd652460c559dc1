import testtools

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.replica.codec import ENCODERS, Envelope, decode_envelope, encode_envelope
from agateferry_state.replication.messages import (
    AppendRequest,
    AppendResponse,
    EntryKind,
    Greeting,
    GreetingRequest,
    LogEntry,
    SnapshotChunk,
    SnapshotMeta,
    SnapshotResponse,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from agateferry_state.rpc import replication_pb2 as pb

MEMBER = Member(MemberId("a", "1f"), False, "127.0.0.1:1")
META = SnapshotMeta(7, 2, Members(voters=(MEMBER,)), 3, 0xFFFFFFFF)
ENTRIES = tuple(LogEntry(n, 2, kind, b"x") for n, kind in enumerate(EntryKind, 5))
MESSAGES = (
    VoteRequest(3, 9, 2, pre_vote=True, transfer=True),
    VoteResponse(3, 4, True, True),
    AppendRequest(3, 4, 2, 4, 11, ENTRIES),
    AppendResponse(3, 11, False, 4, 2, 1),
    AppendResponse(3, 11, True, 4, is_stopping=True),
    SnapshotChunk(3, META, 1, b"abc", 12),
    SnapshotResponse(3, 12, 7, 3, True),
    TimeoutNow(3),
    Greeting(3, MEMBER, True, 99, True),
    GreetingRequest(3, 99),
)


class CodecTests(testtools.TestCase):
    def test_every_message_round_trips(self):
        self.assertEqual(set(ENCODERS), {type(message) for message in MESSAGES})
        for message in MESSAGES:
            envelope = Envelope("records", MemberId("a", "1"), MemberId("b"), message)
            wire = pb.Envelope.FromString(encode_envelope(envelope).SerializeToString())
            self.assertEqual(envelope, decode_envelope(wire))

    def test_an_unknown_message_is_rejected(self):
        with testtools.ExpectedException(ValueError):
            decode_envelope(pb.Envelope(group="records"))

    def test_only_an_append_without_entries_is_a_heartbeat(self):
        envelopes = [Envelope("g", MemberId("a"), MemberId("b"), m) for m in MESSAGES]
        envelopes.append(Envelope("g", MemberId("a"), MemberId("b"), AppendRequest(1, 0, 0, 0, 1)))
        self.assertEqual(
            [False] * len(MESSAGES) + [True], [envelope.is_heartbeat for envelope in envelopes]
        )
