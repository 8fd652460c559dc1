import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st

from agateferry_core.support import run_async
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.servicer import LeaderServicer
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.rpc import leader_pb2 as pb
from agateferry_jobs.support import manifest, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES

JOB = JobSpec("payload", (StepSpec(1, SUBTASK_RESOURCES),))
TARGET = messages.CallTarget("host", "/jobs/1", "key")
CALLS = (
    messages.Submit(TARGET, JOB),
    messages.Cancel(TARGET),
    messages.Heartbeat(worker("w1"), 1),
    messages.InstallManifest(manifest()),
)
NESTED = b"\x91" * 100_000
"""An array in an array, many times."""
LEAVES = st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text()
VALUES = st.recursive(LEAVES, lambda each: st.lists(each) | st.dictionaries(st.text(), each))


class Context:
    """The context of a gRPC call, which records how the call ended."""

    code = None

    async def abort(self, code, detail):
        self.code = code
        raise ConnectionAbortedError(detail)


class MalformedCallTests(testtools.TestCase):
    """A malformed call of another host is an error for its sender; no other error comes of it."""

    def check_decoded_or_rejected(self, data):
        for decode in (messages.decode_call, messages.decode_reply):
            try:
                decode(data)
            except msgspec.DecodeError:
                continue

    @given(st.binary())
    def test_any_bytes(self, data):
        self.check_decoded_or_rejected(data)

    @given(VALUES)
    def test_any_value(self, value):
        self.check_decoded_or_rejected(msgspec.msgpack.encode(value))

    @given(st.sampled_from(CALLS), st.data())
    def test_a_call_with_one_byte_changed_or_its_end_cut_off(self, call, data):
        encoded = bytearray(messages.encode(call))
        at = data.draw(st.integers(0, len(encoded) - 1))
        encoded[at] = data.draw(st.integers(0, 255))
        self.check_decoded_or_rejected(bytes(encoded))
        self.check_decoded_or_rejected(bytes(encoded[:at]))

    def test_a_call_that_is_nested_too_deeply_is_rejected_and_the_next_one_served(self):
        async def main():
            async def handle(call):
                return messages.ReplyEnvelope(messages.Done())

            servicer = LeaderServicer(handle)
            for data in (NESTED, b"", b"\xc1"):
                context = Context()
                with testtools.ExpectedException(ConnectionAbortedError):
                    await servicer.Ask(pb.LeaderAsk(ask=data), context)
                self.assertEqual("INVALID_ARGUMENT", context.code.name)
            ask = pb.LeaderAsk(ask=messages.encode(messages.Ping()))
            answer = await servicer.Ask(ask, Context())
            self.assertEqual(messages.Done(), messages.decode_reply(answer.answer).reply)

        run_async(main())
