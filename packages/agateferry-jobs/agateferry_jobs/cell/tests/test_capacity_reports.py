"""What a leader believes of a worker's capacity, which may shrink and grow while it runs."""

import asyncio

from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.tests.test_leader import LeaderCase
from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.support import worker
from agateferry_jobs.support.builders import WORKER_CAPACITY

SHRUNK = Resources(cpu=1000, mem_mb=100, gpu=1)
LEASE_MS = 8_000


def sized(capacity):
    """Return a worker of this capacity."""
    incarnation = worker("w1")
    incarnation.capacity = capacity
    return incarnation


class LateReportTests(LeaderCase):
    """A report that arrived late showed an earlier capacity, and starts brought the worker over."""

    def capacity(self):
        return self.ledger.workers["w1"].capacity

    def test_a_late_report_does_not_undo_a_later_one(self):
        async def scenario():
            await self.heartbeat(sized(WORKER_CAPACITY), sequence=1)
            await self.heartbeat(sized(SHRUNK), sequence=3)
            await self.heartbeat(sized(WORKER_CAPACITY), sequence=2)
            self.assertEqual(SHRUNK, self.capacity())

        self.check(scenario)

    def test_a_report_to_an_earlier_leader_that_arrives_late_at_the_next(self):
        async def scenario():
            await self.heartbeat(sized(WORKER_CAPACITY), sequence=1)
            await self.heartbeat(sized(SHRUNK), sequence=3)
            await self.leader.close()
            self.leader = Leader(self.replica, self.ledger, self.clock, self.port_to, LEASE_MS)
            self.replica.lead()
            await self.heartbeat(sized(WORKER_CAPACITY), sequence=2)
            self.assertEqual(SHRUNK, self.capacity())

        self.check(scenario)

    def test_two_reports_that_are_stored_at_the_same_time(self):
        async def scenario():
            await self.heartbeat(sized(WORKER_CAPACITY), sequence=1)
            propose = self.replica.propose

            async def slow_propose(command):
                await asyncio.sleep(0.05)
                return await propose(command)

            self.replica.propose = slow_propose
            grown = Resources(cpu=4000, mem_mb=100, gpu=4)
            later = asyncio.create_task(self.heartbeat(sized(SHRUNK), sequence=3))
            await asyncio.sleep(0.01)
            await self.heartbeat(sized(grown), sequence=2)
            await later
            self.assertEqual(SHRUNK, self.capacity())

        self.check(scenario)

    def test_a_report_that_the_worker_wrote_long_before_its_last_answer(self):
        """Nothing was stored of the reports in between, since they showed nothing new."""

        async def scenario():
            await self.heartbeat(sized(SHRUNK), sequence=1)
            self.replica.lead(False)
            self.replica.lead()
            await self.until(lambda: self.leader.may_plan(), "the worker answered a poll")
            now_ms = self.clock.now_ms()
            late = messages.Heartbeat(sized(WORKER_CAPACITY), 2, clock_ms=now_ms - 3_000)
            await self.call(late)
            self.assertEqual(SHRUNK, self.capacity())
            fresh = messages.Heartbeat(sized(WORKER_CAPACITY), 4, clock_ms=now_ms)
            await self.call(fresh)
            self.assertEqual(WORKER_CAPACITY, self.capacity())

        self.check(scenario)
