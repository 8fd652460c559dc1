import asyncio
import random

import testtools

from agateferry_core.clock import SystemClock
from agateferry_core.metrics import Metrics
from agateferry_core.support import run_async
from agateferry_service.routing import Channels, Router, RpcMethod
from agateferry_service.routing.router import GroupHost
from agateferry_service.rpc import cell_pb2 as pb


def make_router():
    members = [GroupHost("a", "127.0.0.1:1"), GroupHost("b", "127.0.0.1:2")]
    return Router("c", members, Channels(), SystemClock(), Metrics(), random.Random(1))


class ClosedChannelTests(testtools.TestCase):
    def test_a_call_on_a_closed_channel_is_retried(self):
        tries = []

        async def method(request, **options):
            tries.append(request)
            if len(tries) == 1:
                raise asyncio.CancelledError
            return pb.QueryReply(body="answer")

        call = RpcMethod(
            "query", lambda channel: method, lambda refusal: pb.QueryReply(refusal=refusal)
        )

        async def main():
            return await make_router().call(call, pb.QueryRequest(), 5_000)

        self.assertEqual("answer", run_async(main(), 10).body)

    def test_a_cancelled_call_ends_at_once(self):
        async def method(request, **options):
            await asyncio.sleep(60)

        call = RpcMethod(
            "query", lambda channel: method, lambda refusal: pb.QueryReply(refusal=refusal)
        )

        async def main():
            work = asyncio.create_task(make_router().call(call, pb.QueryRequest(), 5_000))
            await asyncio.sleep(0.01)
            work.cancel()
            return await asyncio.gather(work, return_exceptions=True)

        (ended,) = run_async(main(), 10)
        self.assertIsInstance(ended, asyncio.CancelledError)
