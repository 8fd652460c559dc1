"""Workers that were up, answered and reported, and were never given work again.

One report that was held up, or of another writer, made the leader take all later reports of an
idle worker for late or foreign. It acknowledged and dropped them, for as long as it led.
"""

import asyncio
import contextlib
import random
from dataclasses import replace as replace_fields
from unittest import mock

import testtools
from msgspec.structs import replace

from agateferry_jobs.calls import messages
from agateferry_jobs.cell.report_checks import ReportChecks
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
from agateferry_jobs.workers.clock_bounds import ClockBounds
from agateferry_jobs.workers.port import NoAnswer, RunLists
from agateferry_jobs.workers.report_verdict import ReportVerdict
from agateferry_jobs.workers.session import WorkerSession

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


class RandomBeliefTests(testtools.TestCase):
    """Whatever came before, a worker that is up, answers and reports is used."""

    SEEDS = range(20)

    def test_no_worker_is_left_unused(self):
        for seed in self.SEEDS:
            RandomBeliefScenario("play").play(seed)


class RandomLeaseTests(testtools.TestCase):
    """No report, whoever wrote it, makes a lease count as over while its run may go on."""

    SEEDS = range(20)

    def test_no_subtask_runs_twice_at_the_same_time(self):
        for seed in self.SEEDS:
            RandomLeaseScenario("play").play(seed)


class PlantedFaultTests(testtools.TestCase):
    """The two searches above find the faults that they are meant for."""

    def assert_found(self, scenario, *patches):
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            for seed in range(20):
                try:
                    scenario("play").play(seed)
                except AssertionError:
                    return
        self.fail("the planted fault was not found")

    def test_a_report_proves_as_much_as_an_answer(self):
        def raised(bounds, clock_ms, now_ms):
            return replace_fields(bounds, least=bounds._later_least(clock_ms, now_ms))

        self.assert_found(
            RandomLeaseScenario,
            mock.patch.object(ClockBounds, "is_ahead", lambda *_: False),
            mock.patch.object(ClockBounds, "with_report", raised),
        )

    def test_a_worker_is_never_asked(self):
        always = property(lambda session: True)
        self.assert_found(
            RandomBeliefScenario, mock.patch.object(WorkerSession, "has_answered_lately", always)
        )

    def test_a_wrong_record_is_never_corrected(self):
        async def stays(checks, session, heartbeat):
            return ReportVerdict.OTHER_RECORD

        self.assert_found(
            RandomBeliefScenario, mock.patch.object(ReportChecks, "_judge_contradiction", stays)
        )


class DisturbedWorkerCase(UnusedWorkerCase):
    """A worker beside odd reports, cuts, restarts and new leaders, drawn by a seed."""

    max_lease_ms = MAX_LEASE_MS
    target = "w1"
    """The id of the worker that is disturbed."""

    def play(self, seed):
        self.seed = seed
        self.rng = random.Random(seed)
        self.check(self.play_rounds)

    async def disturb(self):
        events = (self.report_odd, self.report_odd, self.hold_up, self.cut, self.change)
        await self.rng.choice(events)()

    async def report(self):
        while True:
            for incarnation in list(self.incarnations.values()):
                written_ms = self.clock_of(incarnation).now_ms()
                await self.send(messages.Heartbeat(incarnation, written_ms, written_ms))
            await asyncio.sleep(HEARTBEAT_S)

    def start_worker(self, id, offset_ms=0):
        """Start a worker, or start it again under its id."""
        born = self.incarnations[id].born + 1 if id in self.incarnations else OWN_BORN
        self.boot(id, born)
        clock = WorkerClock(self.loop, offset_ms, self.rng.choice((0.98, 1.0)))
        port = ModelWorker(clock, born, max_lease_ms=MAX_LEASE_MS)
        self.at[f"{id}:80"] = (id, port)

    def own(self, **fields):
        return replace(self.incarnations[self.target], **fields)

    def clock_of(self, incarnation):
        return self.at[incarnation.address][1].clock

    async def report_odd(self):
        """Report as another writer does, with fields of any kind."""
        rng = self.rng
        now_ms = self.clock_of(self.own()).now_ms()
        odd_fields = {
            "service": "unnamed",
            "zone": "zone-b",
            "born": rng.choice((0, FAR)),
            "address": "w7:80",
            "state": WorkerState.DRAINING,
            "slots": 0,
        }
        fields = {name: value for name, value in odd_fields.items() if rng.random() < 0.2}
        clocks = (0, 1, now_ms, now_ms + 140, now_ms + rng.randint(-9_000, 9_000), FAR * 1_000)
        sequence = rng.choice((0, 1, now_ms, FAR))
        cold_ms = rng.choice((0, FAR))
        own = self.own(**fields)
        await self.send(messages.Heartbeat(own, sequence, rng.choice(clocks), None, cold_ms))

    async def hold_up(self):
        """Let a report arrive late, while the worker's others are lost."""
        own = self.incarnations.pop(self.target)
        written_ms = self.clock_of(own).now_ms()
        await asyncio.sleep(self.rng.choice((0.3, 1.2, 2.6, 5.5, 40)))
        await self.send(messages.Heartbeat(own, written_ms, written_ms))
        self.incarnations[self.target] = own

    async def cut(self):
        """Cut the worker off in one direction or both; another writer may report for it."""
        own = self.own()
        port = self.at[own.address][1]
        port.is_unreachable = self.rng.random() < 0.7
        await asyncio.sleep(0.5)
        if self.rng.random() < 0.5:
            await self.report_odd()
        if self.rng.random() < 0.7:
            self.incarnations.pop(self.target)
        await asyncio.sleep(self.rng.choice((0, 2.6, 5.5, 12)))
        port.is_unreachable = False
        self.incarnations[self.target] = own

    async def change(self):
        """Change the leader, or start the worker again."""
        if self.rng.random() < 0.5:
            self.replica.lead(False)
            await asyncio.sleep(self.rng.choice((0.3, 3)))
            self.replica.lead()
        else:
            self.start_worker(self.target)


class RandomBeliefScenario(DisturbedWorkerCase):
    """The worker is idle, and gets a job after each round of disturbances."""

    ROUNDS = 8

    async def play_rounds(self):
        self.start_worker("w1", offset_ms=60_000)
        for number in range(self.ROUNDS):
            await asyncio.sleep(self.rng.choice((0, 0, 0, 120, 1_000)))
            for _ in range(self.rng.randint(1, 4)):
                await self.disturb()
                await asyncio.sleep(self.rng.choice((0, 0.2, 1.5)))
            await asyncio.sleep(SETTLE_S)
            await self.check_next_job(f"{self.seed:012x}{number:04x}")

    async def check_next_job(self, id):
        await self.submit(id)
        await asyncio.sleep(1)
        self.assertEqual(["w1:80"], self.running(id), f"seed {self.seed}, job {id}")
        _, port = self.at["w1:80"]
        for key in list(port.running):
            port.end(key, "done")
        await asyncio.sleep(2)


class RandomLeaseScenario(DisturbedWorkerCase):
    """A run goes on for long, on either of two workers; that worker is disturbed."""

    EVENTS = 40

    async def play_rounds(self):
        for id in ("w1", "w2"):
            self.start_worker(id, offset_ms=60_000)
        await asyncio.sleep(2)
        await self.submit(IDS[3])
        watching = asyncio.create_task(self.watch(IDS[3]))
        for _ in range(self.EVENTS):
            self.target = next((at[:2] for at in self.running(IDS[3])), self.target)
            await self.disturb()
            await asyncio.sleep(self.rng.choice((0, 0.2, 1.5, 9)))
            if watching.done():
                await watching
        watching.cancel()

    async def watch(self, id):
        while True:
            for _, port in self.at.values():
                port.expire_lease()
            self.assertLessEqual(len(self.running(id)), 1, f"seed {self.seed}")
            await asyncio.sleep(0.005)
