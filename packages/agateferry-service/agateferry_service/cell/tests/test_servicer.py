import asyncio

import testtools

from agateferry_core.support import run_async
from agateferry_service.cell.servicer import CellServicer
from agateferry_service.rpc import cell_pb2 as pb


class SlowCell:
    """Receive a call and complete it when the test allows it."""

    def __init__(self):
        self.may_complete = asyncio.Event()
        self.received = asyncio.Event()
        self.done = asyncio.Event()

    async def submit(self, request):
        self.received.set()
        await self.may_complete.wait()
        self.done.set()
        return pb.RequestReply()


class CellServicerTests(testtools.TestCase):
    def test_a_submission_completes_after_its_caller_disconnects(self):
        async def main():
            cell = SlowCell()
            call = asyncio.create_task(CellServicer(cell).Submit(pb.SubmitRequest(), None))
            await cell.received.wait()
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            self.assertTrue(call.cancelled())
            cell.may_complete.set()
            await cell.done.wait()

        run_async(main(), 5)

    def test_a_reply_is_returned_to_the_caller(self):
        async def main():
            cell = SlowCell()
            cell.may_complete.set()
            reply = await CellServicer(cell).Submit(pb.SubmitRequest(), None)
            self.assertEqual(pb.RequestReply(), reply)

        run_async(main(), 5)
