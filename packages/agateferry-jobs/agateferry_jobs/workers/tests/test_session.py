import asyncio
from contextlib import nullcontext
from dataclasses import replace

import testtools

from agateferry_core.clock import SystemClock
from agateferry_core.support import run_async
from agateferry_jobs.ledger import Run
from agateferry_jobs.ledger.commands import RunOutcome
from agateferry_jobs.support import ModelWorker, start_of, worker
from agateferry_jobs.workers.lease import Lease
from agateferry_jobs.workers.port import NoAnswer
from agateferry_jobs.workers.report_age import ReportAge
from agateferry_jobs.workers.session import MIN_POLL_WAIT_MS, WorkerSession

KEY = ("j", "0.0.0")


class Listener:
    """Record what a session reports."""

    def __init__(self):
        self.tokens = 0
        self.ends = []
        self.replaced_incarnations = []
        self.restarted_incarnations = []
        self.stores = True
        self.evacuated_zones = set()
        self.obsolete = set()
        self.later_runs = set()
        self.keeps_idle = True
        self.slots_taken = 0
        self.begun = []

    def next_token(self):
        self.tokens += 1
        return self.tokens

    def may_send_orders(self):
        return True

    async def commit_run_ends(self, ends):
        if self.stores:
            self.ends += ends
        return self.stores

    def on_incarnation_replaced(self, incarnation):
        self.replaced_incarnations.append(incarnation)

    def on_worker_restarted(self, incarnation):
        self.restarted_incarnations.append(incarnation)

    def on_run_begun(self, key, is_adopted):
        self.begun.append(key)

    def on_answering_again(self):
        pass

    def request_planning(self):
        pass

    def is_evacuated(self, zone):
        return zone in self.evacuated_zones

    def is_obsolete(self, key):
        return key in self.obsolete

    def may_later_run_begin(self, key, run):
        return key in self.later_runs

    def keeps_idle_connections(self):
        return self.keeps_idle

    def contact_slot(self):
        self.slots_taken += 1
        return nullcontext()

    def poll_wait_ms(self):
        return MIN_POLL_WAIT_MS


URGENT_SLACK_S = 1.5
"""What an urgent job of 2.5 s may lose in all: half of its work, and 0.25 s."""


class SessionCase(testtools.TestCase):
    make_worker = ModelWorker
    start_ms: int | None = None

    async def begin(self, earlier_leases_until_ms=0):
        self.clock = SystemClock()
        self.worker = self.make_worker(self.clock)
        self.listener = Listener()
        lease = Lease(8000, earlier_leases_until_ms, self.start_ms)
        reports = ReportAge(None, None)
        self.session = WorkerSession(
            worker("w1"), self.worker, self.listener, self.clock, lease, reports
        )
        await self.until(lambda: self.session.health(False).answers, "contact")

    async def until(self, condition, what):
        for _ in range(600):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"did not happen in time: {what}")

    def check(self, scenario):
        async def main():
            await self.begin()
            try:
                await scenario()
            finally:
                await self.session.close()

        run_async(main())

    def outcomes(self):
        return [end.outcome for end in self.listener.ends]


class StartTests(SessionCase):
    def test_a_lost_start_order_is_sent_again_and_runs_once(self):
        async def scenario():
            self.worker.orders_to_lose = 1
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: KEY in self.worker.running, "start")
            self.worker.execute(self.worker.delayed_orders[0])
            self.assertEqual([(KEY, 1)], self.worker.starts)

        self.check(scenario)

    def test_an_unanswered_start_ends_as_refused_once_its_order_is_fenced_off(self):
        async def scenario():
            self.worker.orders_to_lose = 2
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: self.outcomes() == [RunOutcome.REFUSED], "refused")
            for order in self.worker.delayed_orders:
                self.worker.execute(order)
            self.assertEqual({}, self.worker.running)

        self.check(scenario)

    def test_a_start_that_was_executed_without_an_answer_is_found(self):
        async def scenario():
            self.worker.orders_to_lose = 2
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: self.worker.delayed_orders, "lost order")
            self.worker.execute(self.worker.delayed_orders[0])
            await asyncio.sleep(0.3)
            self.assertEqual([], self.outcomes())
            self.worker.end(KEY, "done")
            await self.until(lambda: self.outcomes() == [RunOutcome.DONE], "done")

        self.check(scenario)


class EvacuatedZoneTests(SessionCase):
    ZONE = "zone-a"

    def test_a_start_that_was_never_sent_ends_as_refused(self):
        async def scenario():
            self.session.start_run(start_of(*KEY), "payload")
            self.listener.evacuated_zones.add(self.ZONE)
            await self.until(lambda: self.outcomes() == [RunOutcome.REFUSED], "refused")
            self.assertEqual([], self.worker.starts)

        self.check(scenario)

    def test_an_order_without_an_answer_is_not_sent_again_and_left_to_the_next_poll(self):
        async def scenario():
            self.worker.orders_to_lose = 1
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: self.worker.delayed_orders, "an order is under way")
            self.listener.evacuated_zones.add(self.ZONE)
            await self.until(lambda: self.outcomes() == [RunOutcome.REFUSED], "refused")
            self.worker.execute(self.worker.delayed_orders[0])
            self.assertEqual([], self.worker.starts)

        self.check(scenario)

    def test_an_order_that_began_a_run_without_an_answer_keeps_it(self):
        async def scenario():
            self.worker.orders_to_lose = 1
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: self.worker.delayed_orders, "an order is under way")
            self.worker.execute(self.worker.delayed_orders[0])
            self.listener.evacuated_zones.add(self.ZONE)
            await asyncio.sleep(0.5)
            self.assertEqual([], self.outcomes())
            self.assertIn(KEY, self.worker.running)

        self.check(scenario)


class ObsoleteStartTests(SessionCase):
    # A subtask was started again after the late report of an earlier run that had done it.
    def test_an_order_without_an_answer_is_not_sent_again_for_a_subtask_that_is_done(self):
        async def scenario():
            self.worker.orders_to_lose = 1
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: self.worker.delayed_orders, "an order is under way")
            self.listener.obsolete.add(KEY)
            await self.until(lambda: self.outcomes() == [RunOutcome.REFUSED], "refused")
            self.assertEqual([], self.worker.starts)

        self.check(scenario)


class StartDeadlineTests(SessionCase):
    """An order that is held up for long would begin a run in a zone evacuated meanwhile."""

    start_ms = 1_500

    def test_an_order_that_is_held_up_beyond_its_deadline_is_refused(self):
        async def scenario():
            self.worker.orders_to_lose = 2
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: self.worker.delayed_orders, "an order is under way")
            self.worker.is_unreachable = True
            await asyncio.sleep(self.start_ms / 1000)
            self.assertEqual("late", self.worker.execute(self.worker.delayed_orders[0]).reason)
            self.assertEqual([], self.worker.starts)

        self.check(scenario)

    def test_the_next_poll_extends_the_lease_of_a_run_that_was_started(self):
        async def scenario():
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: KEY in self.worker.running, "start")
            await asyncio.sleep(self.start_ms / 1000)
            self.worker.expire_lease()
            self.assertIn(KEY, self.worker.running)

        self.check(scenario)


class AdoptTests(SessionCase):
    def test_an_adopted_run_that_is_not_listed_ends_as_refused(self):
        async def scenario():
            self.session.adopt(KEY, Run(1, "w1", 1))
            await self.until(lambda: self.outcomes() == [RunOutcome.REFUSED], "refused")

        self.check(scenario)

    def test_a_run_that_the_ledger_does_not_place_here_is_stopped(self):
        async def scenario():
            self.worker.running[KEY] = 7
            self.session.adopt(("other", "0.0.0"), Run(1, "w1", 1))
            await self.until(lambda: not self.worker.running, "unexpected run stopped")

        self.check(scenario)


class EndTests(SessionCase):
    def test_an_end_is_acknowledged_only_once_it_is_committed(self):
        async def scenario():
            self.listener.stores = False
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: KEY in self.worker.running, "start")
            self.worker.end(KEY, "done")
            await asyncio.sleep(0.6)
            self.assertEqual(1, len(self.worker.ends))
            self.listener.stores = True
            await self.until(lambda: not self.worker.ends, "acknowledged")
            self.assertEqual([RunOutcome.DONE], self.outcomes())

        self.check(scenario)

    def test_a_worker_that_has_started_again_is_reported(self):
        async def scenario():
            self.worker.born = 2
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: self.listener.restarted_incarnations, "restarted")
            self.assertEqual([], self.listener.replaced_incarnations)

        self.check(scenario)

    def test_another_worker_at_the_address_is_reported(self):
        async def scenario():
            self.worker.is_replaced = True
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: self.listener.replaced_incarnations, "replaced")
            self.assertEqual([], self.listener.restarted_incarnations)

        self.check(scenario)

    def test_ends_are_acknowledged_once_so_that_a_new_incarnation_loses_none(self):
        async def scenario():
            cursors = []
            poll = self.worker.poll

            async def recording_poll(order, timeout_ms):
                cursors.append(order.cursor)
                return await poll(order, timeout_ms)

            self.worker.poll = recording_poll
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: KEY in self.worker.running, "start")
            self.worker.end(KEY, "done")
            await self.until(lambda: not self.worker.ends, "acknowledged")
            self.session.start_run(start_of(*KEY, number=2), "payload")
            await self.until(lambda: KEY in self.worker.running, "second start")
            await asyncio.sleep(0.6)
            self.assertEqual(1, sum(cursor > 0 for cursor in cursors))

        self.check(scenario)

    def test_a_stopped_run_ends_as_stopped(self):
        async def scenario():
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: KEY in self.worker.running, "start")
            self.session.stop_run(KEY)
            await self.until(lambda: self.outcomes() == [RunOutcome.STOPPED], "stopped")

        self.check(scenario)


class LostAnswerTests(SessionCase):
    """Workers leave some orders without an answer; an urgent job must not be late for one."""

    def elapsed_s(self, began_s):
        return asyncio.get_running_loop().time() - began_s

    def test_an_end_is_known_soon_after_a_poll_without_an_answer(self):
        async def scenario():
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: KEY in self.worker.running, "start")
            self.worker.polls_to_lose = 1
            await self.until(lambda: not self.worker.polls_to_lose, "a poll is lost")
            self.worker.end(KEY, "done")
            began_s = asyncio.get_running_loop().time()
            await self.until(lambda: self.outcomes() == [RunOutcome.DONE], "done")
            self.assertLess(self.elapsed_s(began_s), URGENT_SLACK_S / 2 + 0.25)

        self.check(scenario)

    def test_a_start_without_an_answer_is_repeated_soon(self):
        async def scenario():
            self.worker.orders_to_lose = 1
            began_s = asyncio.get_running_loop().time()
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: KEY in self.worker.running, "start")
            self.assertLess(self.elapsed_s(began_s), URGENT_SLACK_S / 2)

        self.check(scenario)


class FailingPort(ModelWorker):
    """A worker on whose next answers the port raises an error that nobody expected."""

    polls_to_fail = 0
    starts_to_fail = 0

    async def poll(self, order, timeout_ms):
        if self.polls_to_fail:
            self.polls_to_fail -= 1
            raise RuntimeError("poll")
        return await super().poll(order, timeout_ms)

    async def start(self, order, timeout_ms):
        answer = await super().start(order, timeout_ms)
        if self.starts_to_fail:
            self.starts_to_fail -= 1
            raise RuntimeError("start")
        return answer


class UnexpectedErrorTests(SessionCase):
    """An unexpected error must not end the polls of a worker or leave a run without an outcome."""

    make_worker = FailingPort

    def test_polls_go_on_after_an_unexpected_error(self):
        async def scenario():
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: KEY in self.worker.running, "start")
            self.worker.polls_to_fail = 2
            await self.until(lambda: not self.worker.polls_to_fail, "polls fail")
            self.worker.end(KEY, "done")
            await self.until(lambda: self.outcomes() == [RunOutcome.DONE], "done")

        self.check(scenario)

    def test_a_start_that_ran_before_an_unexpected_error_is_found(self):
        async def scenario():
            self.worker.starts_to_fail = 1
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: KEY in self.worker.running, "start")
            self.worker.end(KEY, "done")
            await self.until(lambda: self.outcomes() == [RunOutcome.DONE], "done")
            self.assertEqual([(KEY, 1)], self.worker.starts)

        self.check(scenario)


class IncompleteListsTests(SessionCase):
    """A run whose row cannot be read may go on, so it must not start elsewhere."""

    class HidingWorker(ModelWorker):
        hides = False

        async def poll(self, order, timeout_ms):
            lists = await super().poll(order, timeout_ms)
            return replace(lists, running=(), is_complete=False) if self.hides else lists

    make_worker = HidingWorker

    def test_a_run_that_is_missing_from_incomplete_lists_is_not_lost(self):
        async def scenario():
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: KEY in self.worker.running, "start")
            self.worker.hides = True
            await asyncio.sleep(3 * MIN_POLL_WAIT_MS / 1000)
            self.assertEqual([], self.outcomes())
            self.worker.hides = False
            self.worker.end(KEY, "done")
            await self.until(lambda: self.outcomes() == [RunOutcome.DONE], "done")

        self.check(scenario)


class OwnDelayTests(SessionCase):
    """A leader that was held up itself must not take its worker for silent."""

    class HeldUpPort(ModelWorker):
        polls_held_up = 0

        async def poll(self, order, timeout_ms):
            if self.polls_held_up:
                self.polls_held_up -= 1
                return NoAnswer("held up", is_own_delay=True)
            return await super().poll(order, timeout_ms)

    make_worker = HeldUpPort

    def test_a_poll_that_this_process_held_up_leaves_the_worker_answering(self):
        async def scenario():
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: KEY in self.worker.running, "start")
            self.worker.polls_held_up = 3
            while self.worker.polls_held_up:
                self.assertTrue(self.session.health(False).answers)
                await asyncio.sleep(0.001)
            self.worker.end(KEY, "done")
            await self.until(lambda: self.outcomes() == [RunOutcome.DONE], "done")

        self.check(scenario)


class PresenceTests(SessionCase):
    """A worker that is there must not be taken for gone because one answer was lost."""

    def is_present(self, prepare):
        async def scenario():
            prepare()
            self.result = await self.session.is_present()

        self.check(scenario)
        return self.result

    def test_a_worker_that_answers_or_refuses_is_present(self):
        self.assertTrue(self.is_present(lambda: None))
        self.assertTrue(self.is_present(lambda: setattr(self.worker, "polls_to_lose", 2)))
        self.assertTrue(self.is_present(lambda: setattr(self.worker, "token", 10**9)))

    def test_a_silent_worker_and_another_incarnation_are_not(self):
        self.assertFalse(self.is_present(lambda: setattr(self.worker, "polls_to_lose", 9)))
        self.assertFalse(self.is_present(lambda: setattr(self.worker, "is_replaced", True)))


class HeldUpWorker(ModelWorker):
    """A worker the answer of which this process was too busy to read, for its third poll."""

    polls = 0

    async def poll(self, order, timeout_ms):
        self.polls += 1
        if self.polls == 3:
            return NoAnswer("this process was held up", is_own_delay=True)
        return await super().poll(order, timeout_ms)


class HeldUpPollTests(SessionCase):
    """Polls that found this process held up were once repeated at once, those of all workers.

    Sending them took longer than their timeout, so it went on: a new leader of 1,000 workers did
    not know them after 20 s.
    """

    make_worker = HeldUpWorker

    def test_a_poll_that_was_held_up_waits_for_a_slot_before_it_is_repeated(self):
        async def scenario():
            self.assertEqual(1, self.listener.slots_taken)
            self.worker.running[KEY] = 1
            self.session.adopt(KEY, start_of(*KEY).run)
            await self.until(lambda: self.worker.polls >= 5, "held up, then polled again, twice")
            self.assertEqual(2, self.listener.slots_taken)

        self.check(scenario)


class IdleConnectionTests(SessionCase):
    """With a connection kept to each worker, 3,000 of them use up a host's descriptors."""

    def test_connections_of_an_idle_worker_are_released_where_they_are_not_kept(self):
        async def scenario():
            self.listener.keeps_idle = False
            self.session.start_run(start_of(*KEY), "payload")
            await self.until(lambda: KEY in self.worker.running, "start")
            self.assertEqual(0, self.worker.releases)
            self.worker.end(KEY, "done")
            await self.until(lambda: self.worker.releases == 1, "released")
            self.assertEqual([RunOutcome.DONE], self.outcomes())

        self.check(scenario)

    def test_connections_of_an_idle_worker_of_a_small_fleet_are_kept(self):
        async def scenario():
            await asyncio.sleep(0.1)
            self.assertEqual(0, self.worker.releases)

        self.check(scenario)


class CancellationIgnoringWorker(ModelWorker):
    """A worker whose poll ends with its timeout although it is cancelled."""

    async def poll(self, order, timeout_ms):
        try:
            return await super().poll(order, timeout_ms)
        except asyncio.CancelledError:
            return NoAnswer("timeout")


class CloseTests(SessionCase):
    """An HTTP client's timeout that fires together with a cancellation takes its place.

    A session that went on polling held up the close of all others, and fenced off the session of a
    later leadership of the same host.
    """

    make_worker = CancellationIgnoringWorker

    def test_a_session_is_closed_although_a_poll_ignores_its_cancellation(self):
        async def scenario():
            self.worker.running[KEY] = 1
            self.session.adopt(KEY, start_of(*KEY).run)
            await asyncio.sleep(0.1)
            await asyncio.wait_for(self.session.close(), 2)
            self.assertEqual(set(), self.session._tasks)

        self.check(scenario)
