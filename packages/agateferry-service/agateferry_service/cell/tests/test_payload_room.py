import asyncio
from dataclasses import replace

import testtools

from agateferry_core.support import run_async
from agateferry_service.cell.machine import CellMachine
from agateferry_service.cell.payload_room import SMALL_PAYLOAD_BYTES, PayloadRoom
from agateferry_service.cell.tests.support import TIMES, running_cell, submission
from agateferry_service.requests.codec import spec_to_pb
from agateferry_service.requests.ledger import Ledger
from agateferry_service.requests.tests.test_ledger import make_spec
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_service.rpc import commands_pb2

LARGE = 100_000
ROOM_BYTES = 8 * LARGE


def spec(id, team="t", size=LARGE, key=""):
    return replace(make_spec(id, key), team=team, payload="x" * size)


class PayloadRoomTests(testtools.TestCase):
    """Payloads of legal size cannot fill the hosts' memory, nor the room of other teams."""

    def setUp(self):
        super().setUp()
        self.machine = CellMachine("z")
        self.room = PayloadRoom(self.machine, ROOM_BYTES)

    def fill(self, team="t", has_several_teams=False):
        count = 0
        while self.room.find_shortage(spec(f"z.{team}{count}", team), has_several_teams) is None:
            self.machine.ledger.payload_bytes[team] += LARGE
            count += 1
        return count

    def test_large_payloads_leave_room_for_small_ones(self):
        self.assertEqual(6, self.fill())
        small = spec("z.s", size=SMALL_PAYLOAD_BYTES)
        self.assertIsNone(self.room.find_shortage(small, False))

    def test_one_team_leaves_room_for_the_others(self):
        self.assertEqual(3, self.fill("a", has_several_teams=True))
        self.assertEqual(3, self.fill("b", has_several_teams=True))

    def test_requests_that_are_being_committed_count(self):
        with self.room.committing(spec("z.c")):
            self.assertEqual(5, self.fill())

    def test_another_attempt_of_a_request_that_is_being_committed_finds_room(self):
        self.fill()
        with self.room.committing(spec("z.c", key="k")):
            self.assertIsNone(self.room.find_shortage(spec("z.c"), False))
            self.assertIsNone(self.room.find_shortage(spec("z.d", key="k"), False))
            self.assertIsNotNone(self.room.find_shortage(spec("z.e"), False))


class FullRoomTests(testtools.TestCase):
    def test_a_request_without_room_is_refused_and_not_stored(self):
        async def main():
            times = replace(TIMES, max_payload_bytes=2 * LARGE)
            async with running_cell(times=times) as cell:
                replies = await asyncio.gather(*(cell.submit(large(n)) for n in range(5)))
                return replies, len(cell.ctx.machine.ledger)

        def large(number):
            message = pb.SubmitRequest()
            message.CopyFrom(submission(request_id=f"z.{number}"))
            message.payload, message.wait_ms = "x" * LARGE, 0
            return message

        replies, stored = run_async(main())
        refused = [each.refusal for each in replies if each.HasField("refusal")]
        self.assertEqual(
            {("payloads-full", 2_000)}, {(r.reason, r.retry_after_ms) for r in refused}
        )
        self.assertEqual(5, stored + len(refused))
        self.assertNotEqual(0, stored)


class PayloadBytesTests(testtools.TestCase):
    """The ledger's count is that of its open requests, also after a snapshot."""

    def test_an_open_request_counts_until_its_end(self):
        ledger = Ledger()
        ledger.accept(commands_pb2.Accept(spec=spec_to_pb(spec("z.1"))))
        self.assertEqual({"t": LARGE}, dict(ledger.payload_bytes))
        restored = Ledger()
        restored.load(ledger.store())
        self.assertEqual({"t": LARGE}, dict(restored.payload_bytes))
        ledger.cancel(commands_pb2.RequestCancel(request_id="z.1", wall_ms=5))
        self.assertEqual(0, ledger.payload_bytes["t"])
