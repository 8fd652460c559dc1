import asyncio
import random

import testtools
from expression import Error, Ok

from agateferry_core.clock import SystemClock
from agateferry_core.support import run_async
from agateferry_service.dispatch.attempt import Attempt, AttemptTimes, Member
from agateferry_service.dispatch.client import StartOrder
from agateferry_service.dispatch.messages import (
    AttemptOutcome,
    LeaseState,
    LeaseView,
    WorkerError,
    WorkerErrorKind,
)
from agateferry_service.requests.state import RunCertainty

TIMES = AttemptTimes(
    start_wait_ms=20,
    resolve_timeout_ms=60,
    backoff_ms=5,
    poll_interval_ms=20,
    hold_poll_interval_ms=5,
)


class FakeWorkers:
    """Reply from scripts; a script is a list of replies of which the last is repeated."""

    def __init__(self, **scripts):
        self.scripts = scripts
        self.calls = []

    async def reserve(self, address, order, ttl_ms):
        return self._next(order.lease, "reserve", LeaseState.RESERVED)

    async def start(self, address, order, wait_ms):
        return self._next(order.lease, "start", LeaseState.FINISHED)

    async def get_lease(self, address, lease):
        await asyncio.sleep(0)
        return self._next(lease, "get", LeaseState.RUNNING)

    async def control(self, address, lease, action, reason=""):
        return self._next(lease, action, LeaseState.STOPPED)

    def _next(self, lease, action, otherwise):
        self.calls.append((lease, action))
        script = self.scripts.get(f"{lease}_{action}", [otherwise])
        reply = script.pop(0) if len(script) > 1 else script[0]
        if isinstance(reply, WorkerErrorKind):
            return Error(WorkerError(reply, "no-capacity" if reply == "refused" else ""))
        return Ok(LeaseView(lease, reply, answer=lease, checkpoint_step=2))


def members(count):
    return [
        Member(
            StartOrder(f"m{i}", "z.1", 1, i, count, 0, 1, 1, "i", "j", "t", "p", -1, None),
            f"w{i}",
            "a",
        )
        for i in range(count)
    ]


def attempt(fake, count=1, is_leader=lambda: True, **options):
    return Attempt(
        members(count), fake, SystemClock(), is_leader, random.Random(1), TIMES, **options
    )


class SingleTests(testtools.TestCase):
    def test_returns_the_answer_of_a_short_task(self):
        result = run_async(attempt(FakeWorkers()).run())
        self.assertEqual((AttemptOutcome.FINISHED, ("m0",)), (result.outcome, result.answers))

    def test_a_refused_start_did_not_run(self):
        result = run_async(attempt(FakeWorkers(m0_start=[WorkerErrorKind.REFUSED])).run())
        self.assertEqual(
            (RunCertainty.NOT_RUN, False, "no-capacity"),
            (result.run, result.counts_as_failure, result.reason),
        )

    def test_a_lease_in_heartbeats_is_not_polled_before_its_end(self):
        fake = FakeWorkers(m0_start=[LeaseState.RUNNING], m0_get=[LeaseState.FINISHED])

        async def main():
            tried = attempt(fake)
            work = asyncio.create_task(tried.run())
            for _ in range(40):
                tried.on_lease_report("m0", False)
                await asyncio.sleep(0.001)
            polls = fake.calls.count(("m0", "get"))
            tried.on_lease_report("m0", True)
            return polls, (await work).outcome

        self.assertEqual((0, AttemptOutcome.FINISHED), run_async(main(), 5))

    def test_a_refusal_ends_the_attempt_at_once(self):
        fake = FakeWorkers(m0_start=[WorkerErrorKind.REFUSED])
        times = AttemptTimes(poll_interval_ms=60_000)
        tried = Attempt(members(1), fake, SystemClock(), lambda: True, random.Random(1), times)
        self.assertEqual(AttemptOutcome.FAILED, run_async(tried.run(), 5).outcome)

    def test_a_start_that_did_not_reach_its_worker_did_not_run(self):
        fake = FakeWorkers(m0_start=[WorkerErrorKind.UNREACHED])
        result = run_async(attempt(fake).run())
        self.assertEqual((RunCertainty.NOT_RUN, ("w0",)), (result.run, result.failed_workers))

    def test_a_lost_reply_is_resolved_by_a_poll_without_a_second_start(self):
        fake = FakeWorkers(m0_start=[WorkerErrorKind.SILENT], m0_get=[LeaseState.FINISHED])
        result = run_async(attempt(fake).run())
        self.assertEqual(AttemptOutcome.FINISHED, result.outcome)
        self.assertEqual(1, fake.calls.count(("m0", "start")))

    def test_a_start_that_stays_unresolved_may_have_run(self):
        fake = FakeWorkers(m0_start=[WorkerErrorKind.SILENT], m0_get=[WorkerErrorKind.SILENT])
        result = run_async(attempt(fake).run())
        self.assertEqual(
            (AttemptOutcome.FAILED, RunCertainty.MAY_HAVE_RUN), (result.outcome, result.run)
        )

    def test_a_refusal_after_a_lost_start_may_have_run(self):
        fake = FakeWorkers(
            m0_start=[WorkerErrorKind.SILENT, WorkerErrorKind.REFUSED],
            m0_get=[WorkerErrorKind.UNKNOWN_LEASE],
        )
        self.assertEqual(RunCertainty.MAY_HAVE_RUN, run_async(attempt(fake).run()).run)

    def test_a_deposed_leader_starts_nothing(self):
        fake = FakeWorkers()
        run_async(attempt(fake, is_leader=lambda: False).run())
        self.assertNotIn(("m0", "start"), fake.calls)

    def test_a_cancellation_stops_the_attempt(self):
        fake = FakeWorkers(m0_start=[LeaseState.RUNNING])
        tried = attempt(fake)
        tried.stop(AttemptOutcome.CANCELLED)
        result = run_async(tried.run())
        self.assertEqual(AttemptOutcome.CANCELLED, result.outcome)

    def test_a_finish_before_the_stop_takes_precedence(self):
        fake = FakeWorkers(m0_start=[LeaseState.RUNNING], m0_stop=[LeaseState.FINISHED])

        async def main():
            tried = attempt(fake, on_running=lambda: tried.stop(AttemptOutcome.CANCELLED))
            return await tried.run()

        self.assertEqual(AttemptOutcome.FINISHED, run_async(main()).outcome)

    def test_a_preemption_takes_a_checkpoint_first(self):
        fake = FakeWorkers(m0_start=[LeaseState.RUNNING], m0_checkpoint=[LeaseState.RUNNING])

        async def main():
            tried = attempt(
                fake, checkpointable=True, on_running=lambda: tried.stop(AttemptOutcome.PREEMPTED)
            )
            return await tried.run()

        result = run_async(main())
        self.assertEqual((AttemptOutcome.PREEMPTED, 2), (result.outcome, result.checkpoint_step))
        self.assertEqual([("m0", "checkpoint"), ("m0", "stop")], fake.calls[-2:])


class GangTests(testtools.TestCase):
    def test_no_member_starts_unless_all_are_reserved(self):
        fake = FakeWorkers(m1_reserve=[WorkerErrorKind.REFUSED])
        result = run_async(attempt(fake, 3).run())
        self.assertEqual(
            (AttemptOutcome.FAILED, RunCertainty.NOT_RUN), (result.outcome, result.run)
        )
        self.assertEqual([], [call for call in fake.calls if call[1] == "start"])

    def test_answers_are_in_the_order_of_members(self):
        result = run_async(attempt(FakeWorkers(), 3).run())
        self.assertEqual(("m0", "m1", "m2"), result.answers)

    def test_when_one_member_fails_the_others_are_stopped(self):
        fake = FakeWorkers(m0_start=[LeaseState.RUNNING], m1_start=[LeaseState.FAILED])
        result = run_async(attempt(fake, 2).run())
        self.assertEqual(
            (AttemptOutcome.FAILED, RunCertainty.RAN, ("w1",)),
            (result.outcome, result.run, result.failed_workers),
        )
        self.assertIn(("m0", "stop"), fake.calls)

    def test_a_member_left_reserved_by_an_earlier_leader_is_started(self):
        fake = FakeWorkers(m0_get=[LeaseState.FINISHED], m1_get=[LeaseState.RESERVED])
        resumed = attempt(fake, 2)
        for member in resumed.members:
            member.sent = True
        self.assertEqual(AttemptOutcome.FINISHED, run_async(resumed.run(), 5).outcome)
        self.assertEqual([("m1", "start")], [call for call in fake.calls if call[1] == "start"])

    def test_a_leader_deposed_between_starts_abandons_the_gang(self):
        fake = FakeWorkers(m0_start=[LeaseState.RUNNING])
        leads = iter([True] * 4 + [False] * 9)
        result = run_async(attempt(fake, 3, is_leader=lambda: next(leads)).run())
        self.assertEqual(AttemptOutcome.ABANDONED, result.outcome)
        self.assertEqual({"reserve", "start"}, {action for _, action in fake.calls} - {"get"})

    def test_a_lost_worker_fails_the_whole_gang(self):
        fake = FakeWorkers(m0_start=[LeaseState.RUNNING], m1_start=[LeaseState.RUNNING])

        async def main():
            tried = attempt(fake, 2, on_running=lambda: tried.on_worker_lost("w1", "silent"))
            return await tried.run()

        result = run_async(main())
        self.assertEqual(("worker-lost", ("w1",)), (result.reason, result.failed_workers))


class EvacuatedZoneTests(testtools.TestCase):
    """The zone is evacuated while an attempt is under way."""

    def setUp(self):
        super().setUp()
        self.evacuated = True

    def attempt(self, fake, count=1, sent=False):
        tried = attempt(fake, count, may_start=lambda: not self.evacuated)
        for member in tried.members:
            member.sent = sent
        return tried

    def starts(self, fake):
        return [call for call in fake.calls if call[1] in ("start", "reserve")]

    async def run_until_readmitted(self, fake, tried):
        work = asyncio.create_task(tried.run())
        await asyncio.sleep(0.05)
        before = self.starts(fake)
        self.evacuated = False
        return before, await work

    def test_a_start_that_was_never_sent_is_refused_as_not_run(self):
        fake = FakeWorkers()
        result = run_async(self.attempt(fake).run())
        self.assertEqual(
            (RunCertainty.NOT_RUN, False, "zone-evacuated"),
            (result.run, result.counts_as_failure, result.reason),
        )
        self.assertEqual([], self.starts(fake))

    def test_a_start_without_reply_is_not_sent_again_before_the_readmission(self):
        """A resent start would run in the zone after the evacuation was acknowledged."""
        fake = FakeWorkers(m0_get=[WorkerErrorKind.UNKNOWN_LEASE])
        self.evacuated = False
        start = fake.start

        async def evacuate_at_start(address, order, wait_ms):
            fake.start = start
            self.evacuated = True
            fake.calls.append((order.lease, "start"))
            return Error(WorkerError(WorkerErrorKind.SILENT))

        fake.start = evacuate_at_start
        before, result = run_async(self.run_until_readmitted(fake, self.attempt(fake)), 5)
        self.assertEqual([("m0", "start")], before)
        self.assertEqual(AttemptOutcome.FINISHED, result.outcome)
        self.assertEqual([("m0", "start")] * 2, self.starts(fake))

    def test_a_start_that_arrived_after_all_goes_on(self):
        unknown = WorkerErrorKind.UNKNOWN_LEASE
        fake = FakeWorkers(m0_get=[unknown, unknown, LeaseState.FINISHED])
        result = run_async(self.attempt(fake, sent=True).run(), 5)
        self.assertEqual((AttemptOutcome.FINISHED, []), (result.outcome, self.starts(fake)))

    def test_a_placement_that_a_new_leader_resumes_is_held(self):
        fake = FakeWorkers(m0_get=[WorkerErrorKind.UNKNOWN_LEASE])
        tried = self.attempt(fake, sent=True)
        before, result = run_async(self.run_until_readmitted(fake, tried), 5)
        self.assertEqual(([], AttemptOutcome.FINISHED), (before, result.outcome))

    def test_a_held_attempt_can_be_cancelled(self):
        fake = FakeWorkers(m0_get=[WorkerErrorKind.UNKNOWN_LEASE])
        tried = self.attempt(fake, sent=True)

        async def main():
            work = asyncio.create_task(tried.run())
            await asyncio.sleep(0.02)
            tried.stop(AttemptOutcome.CANCELLED)
            return await work

        result = run_async(main(), 5)
        self.assertEqual((AttemptOutcome.CANCELLED, []), (result.outcome, self.starts(fake)))

    def test_a_gang_is_not_reserved(self):
        fake = FakeWorkers()
        result = run_async(self.attempt(fake, 3).run())
        self.assertEqual(
            (RunCertainty.NOT_RUN, "zone-evacuated", []),
            (result.run, result.reason, self.starts(fake)),
        )

    def test_a_gang_that_runs_goes_on_under_a_new_leader(self):
        finished = [LeaseState.RUNNING, LeaseState.FINISHED]
        fake = FakeWorkers(m0_get=finished, m1_get=list(finished))
        result = run_async(self.attempt(fake, 2, sent=True).run(), 5)
        self.assertEqual((AttemptOutcome.FINISHED, []), (result.outcome, self.starts(fake)))

    def test_a_gang_that_started_in_part_is_stopped(self):
        fake = FakeWorkers(m1_get=[LeaseState.RESERVED])
        result = run_async(self.attempt(fake, 2, sent=True).run(), 5)
        self.assertEqual((AttemptOutcome.FAILED, RunCertainty.RAN), (result.outcome, result.run))
        self.assertEqual([], self.starts(fake))
        self.assertIn(("m0", "stop"), fake.calls)
