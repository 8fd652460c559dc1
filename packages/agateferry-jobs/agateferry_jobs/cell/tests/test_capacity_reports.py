"""What a leader believes of a worker's capacity, which may shrink and grow while it runs."""

import asyncio

from structlog.testing import capture_logs

from agateferry_core.support import run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.tests.test_leader import LeaderCase, target
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.support import MemoryReplica, ModelWorker, manifest, worker
from agateferry_jobs.support.builders import WORKER_CAPACITY
from agateferry_state.replica.protocols import ProposeErrorKind
from agateferry_state.replication import LeaderContact

SHRUNK = Resources(cpu=1000, mem_mb=100, gpu=1)
WIDE = JobSpec("payload", (StepSpec(1, Resources(cpu=8000, mem_mb=100, gpu=4)),))
LEASE_MS = 8_000
MAX_REPORT_AGE_MS = 3_000


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

    def test_a_report_that_a_new_leader_does_not_record_is_logged(self):
        async def scenario():
            await self.heartbeat(sized(SHRUNK), sequence=3)
            self.replica.lead(False)
            self.replica.lead()
            with capture_logs() as lines:
                await self.heartbeat(sized(WORKER_CAPACITY), sequence=2)
            unused = [line for line in lines if line["number"] == events.REPORT_UNUSED.number]
            self.assertEqual(["not news"], [line["reason"] for line in unused])

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


class ReportAgeTests(LeaderCase):
    """A worker shrank while there was no leader, and the next one started work by its old size."""

    def play(self, scenario):
        async def main(loop):
            self.clock = loop
            self.ports = {"w1": ModelWorker(loop)}
            self.ledger = Ledger()
            self.replica = MemoryReplica(self.ledger)
            self.leader = Leader(
                self.replica, self.ledger, loop, self.port_to, LEASE_MS, MAX_REPORT_AGE_MS
            )
            self.replica.lead()
            await self.call(messages.InstallManifest(manifest()))
            try:
                await scenario()
            finally:
                await self.leader.close()

        run_virtual(main)

    async def submit(self):
        await self.call(messages.Submit(target(), WIDE))
        await asyncio.sleep(0.5)

    async def take_over(self, after_ms=0, led_ms=60_000, has_heard_leader=True, is_silent=False):
        """Lead `after_ms` after an earlier leader, to which the worker had reported, ended."""
        await self.heartbeat(sized(WORKER_CAPACITY), 1)
        self.replica.lead(False)
        last_ms = self.clock.now_ms()
        await asyncio.sleep(after_ms / 1000)
        self.ports["w1"].is_unreachable = is_silent
        contact = LeaderContact(1, last_ms - led_ms, last_ms)
        self.replica.leader_contact = contact if has_heard_leader else None
        self.replica.lead()

    def started(self):
        return len(self.ports["w1"].starts)

    def test_a_leader_after_a_long_gap_waits_for_a_report(self):
        async def scenario():
            await self.take_over(after_ms=6_000)
            await self.submit()
            self.assertEqual(0, self.started())
            await self.heartbeat(sized(SHRUNK), 5)
            await asyncio.sleep(0.5)
            self.assertEqual(0, self.started())
            await self.heartbeat(sized(WORKER_CAPACITY), 6)
            await asyncio.sleep(0.5)
            self.assertEqual(1, self.started())

        self.play(scenario)

    def test_a_leader_that_has_heard_no_other_since_its_start_waits_for_a_report(self):
        async def scenario():
            await self.take_over(has_heard_leader=False)
            await self.submit()
            self.assertEqual(0, self.started())
            await self.heartbeat(sized(WORKER_CAPACITY), 2)
            await asyncio.sleep(0.5)
            self.assertEqual(1, self.started())

        self.play(scenario)

    def test_a_leader_after_a_short_gap_starts_work_at_once(self):
        async def scenario():
            await self.take_over(after_ms=700)
            await self.submit()
            self.assertEqual(1, self.started())

        self.play(scenario)

    def test_a_leader_after_one_that_led_only_shortly_waits_for_a_report(self):
        """The one before had led for less time than the workers need to report to it."""

        async def scenario():
            await self.take_over(after_ms=100, led_ms=1_000)
            await self.submit()
            self.assertEqual(0, self.started())

        self.play(scenario)

    def test_a_worker_that_was_silent_at_the_take_over_gets_nothing_before_its_report(self):
        """A worker behind a cut had shrunk; it answered the new leader before it reported."""

        async def scenario():
            await self.take_over(after_ms=100, is_silent=True)
            await asyncio.sleep(0.2)
            self.ports["w1"].is_unreachable = False
            await asyncio.sleep(0.5)
            await self.submit()
            self.assertEqual(0, self.started())
            await self.heartbeat(sized(WORKER_CAPACITY), 2)
            await asyncio.sleep(0.5)
            self.assertEqual(1, self.started())

        self.play(scenario)

    def test_a_worker_whose_reports_do_not_arrive_gets_nothing_new(self):
        async def scenario():
            await self.heartbeat(sized(WORKER_CAPACITY), 1)
            await asyncio.sleep(MAX_REPORT_AGE_MS / 1000 + 0.1)
            await self.submit()
            self.assertEqual(0, self.started())

        self.play(scenario)


class HeartbeatBatchTests(LeaderCase):
    def heartbeats(self, *ids):
        return tuple(messages.Heartbeat(worker(id), 1) for id in ids)

    def test_the_workers_of_a_batch_are_registered(self):
        async def scenario():
            reply = await self.call(messages.HeartbeatBatch(self.heartbeats("w1", "w2")))
            self.assertEqual(messages.HeartbeatReplies((messages.Done(),) * 2), reply)
            self.assertEqual({"w1", "w2"}, {*self.ledger.workers})

        self.check(scenario)

    def test_a_heartbeat_that_meets_an_error_keeps_no_other_from_being_acknowledged(self):
        async def scenario():
            registry = self.leader._registry
            on_heartbeat = registry.on_heartbeat

            async def fail_for_one(heartbeat):
                if heartbeat.worker.id == "w1":
                    raise ValueError("unexpected")
                return await on_heartbeat(heartbeat)

            registry.on_heartbeat = fail_for_one
            reply = await self.call(messages.HeartbeatBatch(self.heartbeats("w1", "w2")))
            unknown = messages.OutcomeUnknown("ValueError")
            self.assertEqual(messages.HeartbeatReplies((unknown, messages.Done())), reply)

        self.check(scenario)

    def test_a_heartbeat_whose_change_is_not_stored_is_not_acknowledged(self):
        async def scenario():
            self.replica.error_for = lambda _: ProposeErrorKind.UNKNOWN
            reply = await self.call(messages.HeartbeatBatch(self.heartbeats("w1")))
            self.assertIsInstance(reply.replies[0], messages.OutcomeUnknown)

        self.check(scenario)
