import asyncio

import testtools

from agateferry_core.support import run_async
from agateferry_service.cell.servicer import CellServicer
from agateferry_service.rpc import cell_pb2 as pb


class SlowCell:
    """Take a call in and do something with it when the test lets it."""

    def __init__(self):
        self.may_go_on = asyncio.Event()
        self.arrived = asyncio.Event()
        self.done = asyncio.Event()

    async def submit(self, request):
        self.arrived.set()
        await self.may_go_on.wait()
        self.done.set()
        return pb.RequestReply()


class CellServicerTests(testtools.TestCase):
    def test_a_submission_goes_on_when_its_caller_hangs_up(self):
        async def main():
            cell = SlowCell()
            call = asyncio.create_task(CellServicer(cell).Submit(pb.SubmitRequest(), None))
            await cell.arrived.wait()
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            self.assertTrue(call.cancelled())
            cell.may_go_on.set()
            await cell.done.wait()

        run_async(main(), 5)

    def test_a_reply_is_passed_on(self):
        async def main():
            cell = SlowCell()
            cell.may_go_on.set()
            reply = await CellServicer(cell).Submit(pb.SubmitRequest(), None)
            self.assertEqual(pb.RequestReply(), reply)

        run_async(main(), 5)
