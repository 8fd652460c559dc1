"""Workers that were up, answered and reported, and were never given work again.

One report that was held up, or of another writer, made the leader take all later reports of an
idle worker for late or foreign. It acknowledged and dropped them, for as long as it led.
"""

import asyncio
import random

from msgspec.structs import replace

from agateferry_jobs.calls import messages
from agateferry_jobs.cell.tests.test_foreign_reports import (
    HEARTBEAT_S,
    IDS,
    LEASE_MS,
    OWN_BORN,
    ForeignReportCase,
    report_of,
)
from agateferry_jobs.ledger import WorkerState, commands
from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.manifest import Manifest, Service
from agateferry_jobs.support import ModelWorker, manifest
from agateferry_jobs.workers.port import NoAnswer, RunLists

MAX_REPORT_AGE_MS = 3_000
MAX_LEASE_MS = 10_000
"""The longest lease that a worker grants, as on the platform."""
SETTLE_S = 8
"""Longer than a report is recent, so that only later ones can show that the worker is there."""
FAR = 10**9
"""A number that no worker's reports reach."""


class WorkerClock:
    """A worker's clock that reads `offset_ms` now; it is 2 % slow unless another rate is given."""

    def __init__(self, loop, offset_ms=0, rate=0.98):
        self._loop = loop
        self._began_ms = loop.now_ms()
        self._offset_ms = offset_ms
        self._rate = rate

    def now_ms(self):
        return self._offset_ms + round((self._loop.now_ms() - self._began_ms) * self._rate)


class UnusedWorkerCase(ForeignReportCase):
    max_report_age_ms = MAX_REPORT_AGE_MS

    def own(self, **fields):
        """Return what `w1` says of itself, with some fields of another writer."""
        return replace(self.incarnations["w1"], **fields)

    async def check_idle_worker_is_used(self):
        """Check that a job starts on `w1`, which has been reporting for a while."""
        await asyncio.sleep(SETTLE_S)
        await self.submit(IDS[2])
        await asyncio.sleep(1)
        self.assertEqual(["w1:80"], self.running(IDS[2]))

    def check_after(self, disturb, **kwargs):
        async def scenario():
            await asyncio.sleep(5)
            await disturb()
            await self.check_idle_worker_is_used()

        self.check(scenario, **kwargs)


class HeldUpReportTests(UnusedWorkerCase):
    """A report that was held up on its way set the worker's clock back (review/15)."""

    def check_delay(self, delay_s, state=WorkerState.READY):
        async def hold_up():
            own = self.incarnations.pop("w1")
            written_ms = self.loop.now_ms()
            await asyncio.sleep(delay_s)
            await self.send(messages.Heartbeat(own, written_ms, written_ms))
            self.incarnations["w1"] = own

        self.check_after(hold_up)

    def test_reports_that_were_held_up_for_a_while(self):
        for delay_s in (0.6, 1.2, 1.6, 2.6, 5.5, 9.0, 30.0, 300.0):
            self.check_delay(delay_s)

    def test_several_reports_that_arrive_together_in_any_order(self):
        async def hold_up():
            own = self.incarnations.pop("w1")
            written_ms = [self.loop.now_ms() + 1_000 * number for number in range(5)]
            await asyncio.sleep(5.5)
            for at_ms in random.Random(1).sample(written_ms, len(written_ms)):
                await self.send(messages.Heartbeat(own, at_ms, at_ms))
            self.incarnations["w1"] = own

        self.check_after(hold_up)

    def test_a_held_up_report_of_a_worker_that_does_not_answer_for_a_while(self):
        async def hold_up():
            own = self.incarnations.pop("w1")
            port = self.at["w1:80"][1]
            port.is_unreachable = True
            written_ms = self.loop.now_ms()
            await asyncio.sleep(5.5)
            await self.send(messages.Heartbeat(own, written_ms, written_ms))
            self.incarnations["w1"] = own
            await asyncio.sleep(2)
            port.is_unreachable = False

        self.check_after(hold_up)


class UnansweredWorkerTests(UnusedWorkerCase):
    """Reports in doubt of a worker that doesn't answer held up those of others in their batch."""

    def test_a_worker_that_is_known_not_to_answer_is_not_waited_for(self):
        async def scenario():
            await self.start()
            own = self.incarnations.pop("w1")
            self.at["w1:80"][1].is_unreachable = True
            await asyncio.sleep(3)
            late_ms = self.loop.now_ms() - 3_000
            began_ms = self.loop.now_ms()
            await self.send(messages.Heartbeat(own, late_ms, late_ms))
            self.assertLess(self.loop.now_ms() - began_ms, 50)

        self.check(scenario)


class ForeignNumberTests(UnusedWorkerCase):
    """A report of another writer with a number far ahead kept all later ones out."""

    def check_report(self, sequence=FAR, ahead_ms=0, clock_ms=None, times=1, **fields):
        async def report():
            for _ in range(times):
                now_ms = self.loop.now_ms()
                written_ms = now_ms + ahead_ms if clock_ms is None else clock_ms
                own = self.own(**fields)
                await self.send(messages.Heartbeat(own, sequence, written_ms))
                await asyncio.sleep(0.1)

        self.check_after(report)

    def test_without_a_clock(self):
        self.check_report(clock_ms=0)

    def test_with_a_clock_that_fits(self):
        self.check_report()

    def test_with_a_clock_that_is_ahead_or_behind(self):
        for ahead_ms in (120, 140, 800, 1_100, -900, -1_600, -60_000, FAR * 1_000):
            self.check_report(ahead_ms=ahead_ms)

    def test_many_that_advance_the_clock(self):
        for ahead_ms in (140, 900):
            self.check_report(ahead_ms=ahead_ms, times=40)

    def test_with_an_odd_capacity_labels_or_slots(self):
        self.check_report(capacity=Resources(0, 0, 0))
        self.check_report(labels=("kind", "r9"), slots=0)

    def test_a_worker_that_is_said_to_stay_cold(self):
        async def report():
            now_ms = self.loop.now_ms()
            await self.send(messages.Heartbeat(self.own(), FAR, now_ms, None, FAR))

        self.check_after(report)

    def test_one_that_comes_before_the_worker_has_answered(self):
        async def report():
            self.boot("w1", OWN_BORN + 1)
            now_ms = self.loop.now_ms()
            await self.send(messages.Heartbeat(self.incarnations["w1"], 1, now_ms))
            await self.send(messages.Heartbeat(self.own(), FAR, FAR))

        self.check_after(report)

    def test_one_before_the_first_report_of_its_worker(self):
        async def report():
            self.boot("w1", OWN_BORN + 1)
            await self.send(messages.Heartbeat(self.own(), FAR, FAR))

        self.check_after(report)

    def test_one_that_a_new_leader_finds_recorded(self):
        async def report():
            now_ms = self.loop.now_ms()
            await self.send(messages.Heartbeat(self.own(slots=1), FAR, now_ms))
            self.replica.lead(False)
            await asyncio.sleep(0.3)
            self.replica.lead()

        self.check_after(report)

    def test_the_clock_of_a_worker_that_is_slow_and_was_idle_for_long(self):
        """The clock of the report fits what is known of the worker's, but is 20 s ahead."""

        async def report():
            slow = WorkerClock(self.loop, self.loop.now_ms())
            self.at["w1:80"] = ("w1", ModelWorker(slow, OWN_BORN + 1))
            own = report_of("w1", born=OWN_BORN + 1)
            self.incarnations.pop("w1")
            reporting = asyncio.create_task(self.report_by(own, slow))
            await asyncio.sleep(1_000)
            ahead_ms = self.loop.now_ms() - slow.now_ms()
            foreign = messages.Heartbeat(own, FAR, slow.now_ms() + ahead_ms - 500)
            await self.send(foreign)
            await self.check_idle_worker_is_used()
            reporting.cancel()

        self.check(report)

    async def report_by(self, incarnation, clock):
        while True:
            now_ms = clock.now_ms()
            await self.send(messages.Heartbeat(incarnation, now_ms, now_ms))
            await asyncio.sleep(HEARTBEAT_S)


class RecordedNumberTests(UnusedWorkerCase):
    """A ledger with a number far ahead kept out what a worker said, under each later leader."""

    def test_what_a_worker_says_after_a_number_that_is_far_ahead(self):
        def prepare(ledger):
            wrong = report_of("w1", born=OWN_BORN)
            wrong.slots, wrong.capacity = 0, Resources(0, 0, 0)
            note = commands.NoteWorker(wrong, 0, None, FAR)
            ledger.apply(1, commands.encode(note))

        async def nothing():
            pass

        self.check_after(nothing, prepare=prepare)


class ClockInAnswerTests(UnusedWorkerCase):
    """An answer with a clock that is far ahead made all later answers look late."""

    def check_answer(self, clock_ms):
        class OddPort(ModelWorker):
            odd_answers = 1

            async def poll(self, order, timeout_ms):
                answer = await super().poll(order, timeout_ms)
                if not isinstance(answer, RunLists) or not self.odd_answers:
                    return answer
                self.odd_answers -= 1
                return RunLists(clock_ms, answer.born, answer.running, answer.finished)

        async def answer():
            self.boot("w1", OWN_BORN + 1)
            self.at["w1:80"] = ("w1", OddPort(self.loop, OWN_BORN + 1))

        self.check_after(answer)

    def test_a_clock_that_is_far_ahead_or_missing(self):
        for clock_ms in (10**12, 0, 1):
            self.check_answer(clock_ms)

    def test_a_run_of_a_worker_that_falls_silent_after_it_is_lost_in_time(self):
        """The lease that was granted on that clock would never have ended."""

        async def scenario():
            port = self.at["w1:80"][1]
            port.max_lease_ms = LEASE_MS
            poll = port.poll

            async def odd_poll(order, timeout_ms):
                answer = await poll(order, timeout_ms)
                port.poll = poll
                if isinstance(answer, NoAnswer):
                    return answer
                return RunLists(10**12, answer.born, answer.running, answer.finished)

            await self.start()
            port.poll = odd_poll
            await asyncio.sleep(5)
            port.is_unreachable = True
            await asyncio.sleep(25)
            self.assertEqual(["w9:80"], self.running())

        self.check(scenario)


class WrongRecordTests(UnusedWorkerCase):
    """A record that only a report of another writer can explain kept its worker out for good."""

    def check_prepared(self, sequence=1, **fields):
        def prepare(ledger):
            wrong = replace(report_of("w1", born=OWN_BORN), **fields)
            ledger.apply(1, commands.encode(commands.NoteWorker(wrong, 0, None, sequence)))

        async def nothing():
            pass

        self.check_after(nothing, prepare=prepare)

    def test_another_service_zone_or_machine(self):
        self.check_prepared(service="unnamed")
        self.check_prepared(zone="zone-z")
        self.check_prepared(machine="m-other", sequence=FAR)

    def test_a_worker_that_is_recorded_as_draining(self):
        self.check_prepared(state=WorkerState.DRAINING)
        self.check_prepared(state=WorkerState.DRAINING, sequence=FAR)

    def test_a_report_that_it_drains(self):
        async def report():
            now_ms = self.loop.now_ms()
            draining = self.own(state=WorkerState.DRAINING)
            await self.send(messages.Heartbeat(draining, FAR, now_ms))
            self.assertEqual(WorkerState.DRAINING, self.ledger.workers["w1"].state)

        self.check_after(report)

    def test_its_runs_go_on_when_it_is_ready_again(self):
        async def scenario():
            await self.start()
            now_ms = self.loop.now_ms()
            draining = self.own(state=WorkerState.DRAINING)
            await self.send(messages.Heartbeat(draining, FAR, now_ms))
            await asyncio.sleep(5)
            self.assertEqual(WorkerState.READY, self.ledger.workers["w1"].state)
            await self.check_sound()

        self.check(scenario)

    def test_one_report_of_another_service_changes_nothing(self):
        async def report():
            now_ms = self.loop.now_ms()
            for service in ("pool-b", "pool-c"):
                known = manifest()
                services = (*known.services, Service("pool-b"), Service("pool-c"))
                more = Manifest(2, known.queues, services, known.teams, known.source)
                await self.leader.handle(messages.InstallManifest(more))
                await self.send(messages.Heartbeat(self.own(service=service), FAR, now_ms))
                self.assertEqual("pool", self.ledger.workers["w1"].service)

        self.check_after(report)


class DrainingWorkerTests(UnusedWorkerCase):
    """A worker that drains must not get work by what it said before, however late that comes."""

    def check_stays_draining(self, report):
        async def scenario():
            await asyncio.sleep(5)
            ready = self.own()
            early_ms = self.loop.now_ms()
            await asyncio.sleep(0.1)
            self.incarnations["w1"] = self.own(state=WorkerState.DRAINING)
            await asyncio.sleep(HEARTBEAT_S)
            await report(ready, early_ms)
            await asyncio.sleep(SETTLE_S)
            self.assertEqual(WorkerState.DRAINING, self.ledger.workers["w1"].state)
            await self.submit(IDS[2])
            await asyncio.sleep(1)
            self.assertEqual([], self.running(IDS[2]))

        self.check(scenario)

    def test_reports_that_were_held_up(self):
        async def report(ready, early_ms):
            for written_ms in (early_ms, early_ms + 1, early_ms + 2):
                await self.send(messages.Heartbeat(ready, written_ms, written_ms))

        self.check_stays_draining(report)

    def test_reports_that_were_held_up_come_while_it_no_longer_reports(self):
        async def report(ready, early_ms):
            self.incarnations.pop("w1")
            for written_ms in (early_ms, early_ms + 1, early_ms + 400):
                await self.send(messages.Heartbeat(ready, written_ms, written_ms))
                await asyncio.sleep(1)

        self.check_stays_draining(report)

    def test_reports_that_were_held_up_come_to_a_new_leader(self):
        async def report(ready, early_ms):
            self.incarnations.pop("w1")
            self.replica.lead(False)
            await asyncio.sleep(0.3)
            self.replica.lead()
            for written_ms in (early_ms, early_ms + 1, early_ms + 400):
                await self.send(messages.Heartbeat(ready, written_ms, written_ms))
                await asyncio.sleep(0.2)

        self.check_stays_draining(report)

    def test_one_report_of_another_writer(self):
        async def report(ready, early_ms):
            for _ in range(3):
                now_ms = self.loop.now_ms()
                await self.send(messages.Heartbeat(ready, FAR, now_ms))
                await asyncio.sleep(2 * HEARTBEAT_S)

        self.check_stays_draining(report)

    def test_a_report_that_it_drains_is_acknowledged_only_if_it_is_used(self):
        async def scenario():
            await asyncio.sleep(5)
            draining = self.own(state=WorkerState.DRAINING)
            now_ms = self.loop.now_ms()
            late = messages.Heartbeat(draining, now_ms - 9_000, now_ms - 9_000)
            self.assertNotEqual(messages.Done(), await self.send(late))
            self.assertEqual(WorkerState.READY, self.ledger.workers["w1"].state)
            own = messages.Heartbeat(draining, now_ms, now_ms)
            self.assertEqual(messages.Done(), await self.send(own))
            self.assertEqual(WorkerState.DRAINING, self.ledger.workers["w1"].state)

        self.check(scenario)
