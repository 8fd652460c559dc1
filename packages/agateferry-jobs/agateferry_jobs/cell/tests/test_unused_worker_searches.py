"""Random searches for workers that are never used again, and for leases that end too early."""

import asyncio
import contextlib
import random
from dataclasses import replace as replace_fields
from unittest import mock

import testtools
from msgspec.structs import replace

from agateferry_jobs.calls import messages
from agateferry_jobs.cell.report_checks import ReportChecks
from agateferry_jobs.cell.tests.test_foreign_reports import HEARTBEAT_S, IDS, OWN_BORN
from agateferry_jobs.cell.tests.test_unused_workers import (
    FAR,
    MAX_LEASE_MS,
    SETTLE_S,
    UnusedWorkerCase,
    WorkerClock,
)
from agateferry_jobs.ledger import WorkerState
from agateferry_jobs.support import ModelWorker
from agateferry_jobs.workers.clock_bounds import ClockBounds
from agateferry_jobs.workers.report_verdict import ReportVerdict
from agateferry_jobs.workers.session import WorkerSession


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
