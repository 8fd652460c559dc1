import asyncio

import testtools

from agateferry_core.support import run_async
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.servicer import LARGE_CALL_BYTES, MAX_LARGE_BYTES, LeaderServicer
from agateferry_jobs.ledger.specs import JobSpec
from agateferry_jobs.rpc import leader_pb2 as pb

DONE = messages.ReplyEnvelope(messages.Done())


def request(size):
    target = messages.CallTarget("host", "/q/1")
    call = messages.Submit(target, JobSpec("x" * size, ()))
    return pb.LeaderAsk(ask=messages.encode(call))


class LargeCallTests(testtools.TestCase):
    """Large calls of many entries at once cannot fill a host's memory, and small ones pass."""

    def test_large_calls_over_the_limit_are_refused_and_have_no_effect(self):
        async def main():
            handled = []
            may_answer = asyncio.Event()

            async def handle(call):
                handled.append(len(call.job.payload))
                await may_answer.wait()
                return DONE

            async def ask(size):
                answer = await servicer.Ask(request(size), None)
                return messages.decode_reply(answer.answer).reply

            servicer = LeaderServicer(handle)
            large = MAX_LARGE_BYTES // 4
            calls = [asyncio.create_task(ask(large)) for _ in range(6)]
            small = asyncio.create_task(ask(LARGE_CALL_BYTES // 2))
            await asyncio.sleep(0.1)
            refused = [call.result() for call in calls if call.done()]
            self.assertEqual(3, len(refused))
            self.assertTrue(all(isinstance(each, messages.Refused) for each in refused))
            self.assertEqual([large] * 3 + [LARGE_CALL_BYTES // 2], handled)
            may_answer.set()
            self.assertEqual(messages.Done(), await small)
            await asyncio.gather(*calls)
            self.assertEqual(messages.Done(), await ask(MAX_LARGE_BYTES - 1_000))

        run_async(main())
