import random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from agateferry_core.clock import SystemClock
from agateferry_state.members import MemberId
from agateferry_state.replica.codec import Envelope, encode_envelope
from agateferry_state.replica.transport import GrpcTransport
from agateferry_state.replication.messages import AppendRequest

GROUP = "cell"
VALID = encode_envelope(
    Envelope(GROUP, MemberId("a", "1"), MemberId("b", "2"), AppendRequest(3, 7, 2, 7, 5, ()))
).SerializeToString()


class MalformedDatagramTests(testtools.TestCase):
    """A malformed datagram is dropped; it raises nothing in the process."""

    def received(self, *datagrams):
        """Return the envelopes that a transport takes from datagrams."""
        envelopes = []
        transport = GrpcTransport({}, random.Random(1), clock=SystemClock())
        transport.register(GROUP, envelopes.append)
        for data in datagrams:
            transport._receive_datagram(data)
        return envelopes

    @given(st.binary())
    def test_any_bytes(self, data):
        self.assertEqual(1, len(self.received(data, VALID)))

    @given(st.data())
    def test_a_datagram_with_one_byte_changed_or_its_end_cut_off(self, data):
        at = data.draw(st.integers(0, len(VALID) - 1))
        changed = bytearray(VALID)
        changed[at] = data.draw(st.integers(0, 255))
        self.assertEqual(VALID, VALID[:at] + VALID[at:])
        self.assertGreaterEqual(len(self.received(bytes(changed), VALID[:at], VALID)), 1)
