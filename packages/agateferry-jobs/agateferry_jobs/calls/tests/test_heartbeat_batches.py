import asyncio

import testtools

from agateferry_core.clock import MS_PER_S
from agateferry_core.support import run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.calls.heartbeat_batches import (
    BATCH_DELAY_MS,
    BATCH_TIMEOUT_MS,
    CHANGE_DELAY_MS,
    MAX_CALLS_IN_FLIGHT,
    HeartbeatBatches,
)
from agateferry_jobs.support import worker

WORKERS = 500


def heartbeat(number):
    return messages.Heartbeat(worker(f"w{number}"), 1)


class HeartbeatBatchTests(testtools.TestCase):
    """Each heartbeat was once a call of its own; 3,000 workers took more time than a leader has."""

    def check(self, scenario):
        async def main(loop):
            self.loop = loop
            self.calls = []
            self.batches = HeartbeatBatches(self.send_call)
            return await scenario()

        return run_virtual(main)

    async def send_call(self, call, timeout_ms):
        self.calls.append((self.now_ms(), call, timeout_ms))
        return messages.HeartbeatReplies(tuple(messages.Done() for _ in call.heartbeats))

    def now_ms(self):
        return round(self.loop.time() * MS_PER_S)

    def send(self, number, is_change=False):
        return asyncio.create_task(self.batches.send(heartbeat(number), is_change))

    def test_heartbeats_of_many_workers_share_a_call(self):
        async def scenario():
            replies = await asyncio.gather(*(self.send(number) for number in range(WORKERS)))
            self.assertEqual([messages.Done()] * WORKERS, replies)
            [(at_ms, call, timeout_ms)] = self.calls
            self.assertEqual((BATCH_DELAY_MS, BATCH_TIMEOUT_MS), (at_ms, timeout_ms))
            self.assertEqual(tuple(map(heartbeat, range(WORKERS))), call.heartbeats)

        self.check(scenario)

    def test_a_change_is_sent_soon_and_takes_the_others_along(self):
        async def scenario():
            await asyncio.gather(self.send(1), self.send(2, is_change=True))
            self.assertEqual(CHANGE_DELAY_MS, self.now_ms())
            self.assertEqual(2, len(self.calls[0][1].heartbeats))
            await self.send(3)
            self.assertEqual(CHANGE_DELAY_MS + BATCH_DELAY_MS, self.now_ms())

        self.check(scenario)

    def test_each_heartbeat_gets_its_own_reply(self):
        """Otherwise a worker whose change was not stored would be told that it was."""
        lost = messages.OutcomeUnknown("not stored")

        async def one_is_lost(call, timeout_ms):
            return messages.HeartbeatReplies((messages.Done(), lost))

        async def scenario():
            self.batches = HeartbeatBatches(one_is_lost)
            replies = await asyncio.gather(self.send(1), self.send(2))
            self.assertEqual([messages.Done(), lost], replies)

        self.check(scenario)

    def test_without_a_reply_of_the_leader_no_heartbeat_is_acknowledged(self):
        refused = messages.Refused("no leader", 0)
        short = messages.HeartbeatReplies((messages.Done(),))

        async def scenario():
            for reply in (refused, short):

                async def send_call(call, timeout_ms, reply=reply):
                    return reply

                self.batches = HeartbeatBatches(send_call)
                replies = await asyncio.gather(self.send(1), self.send(2))
                self.assertNotEqual(messages.Done(), replies[1])

        self.check(scenario)

    def test_a_failed_call_leaves_no_heartbeat_waiting(self):
        async def fail(call, timeout_ms):
            raise OSError("unexpected")

        async def scenario():
            self.batches = HeartbeatBatches(fail)
            self.assertIsInstance(await self.send(1), messages.OutcomeUnknown)

        self.check(scenario)

    def test_a_batch_without_a_reply_does_not_hold_up_the_next(self):
        async def first_hangs(call, timeout_ms):
            self.calls.append(call)
            if len(self.calls) == 1:
                await asyncio.sleep(timeout_ms / MS_PER_S)
                return messages.OutcomeUnknown("no reply in time")
            return messages.HeartbeatReplies((messages.Done(),))

        async def scenario():
            self.batches = HeartbeatBatches(first_hangs)
            first = self.send(1)
            await asyncio.sleep(2 * BATCH_DELAY_MS / MS_PER_S)
            self.assertEqual(messages.Done(), await self.send(2))
            self.assertFalse(first.done())
            self.assertIsInstance(await first, messages.OutcomeUnknown)

        self.check(scenario)

    def test_a_slow_leader_gets_few_calls_at_a_time_and_the_newest_heartbeat_of_each_worker(self):
        """New workers that repeated their heartbeats kept the leader from registering any."""
        calls = []

        async def reply_late(call, timeout_ms):
            calls.append(call)
            in_flight.append(len(calls) - len(finished))
            await asyncio.sleep(timeout_ms / MS_PER_S)
            finished.append(call)
            return messages.HeartbeatReplies(tuple(messages.Done() for _ in call.heartbeats))

        in_flight, finished = [], []

        async def scenario():
            self.batches = HeartbeatBatches(reply_late)
            sent = []
            for sequence in range(100):
                repeated = messages.Heartbeat(worker("w1"), sequence)
                sent.append(asyncio.create_task(self.batches.send(repeated, is_change=True)))
                await asyncio.sleep(2 * CHANGE_DELAY_MS / MS_PER_S)
            replies = await asyncio.gather(*sent)
            self.assertEqual(MAX_CALLS_IN_FLIGHT, max(in_flight))
            self.assertTrue(all(len(call.heartbeats) == 1 for call in calls))
            self.assertEqual(len(calls), replies.count(messages.Done()))
            self.assertEqual(99, calls[-1].heartbeats[0].sequence)

        self.check(scenario)

    def test_close_gives_up_what_waits_and_what_is_on_its_way(self):
        async def hang(call, timeout_ms):
            await asyncio.sleep(60)

        async def scenario():
            self.batches = HeartbeatBatches(hang)
            sent = self.send(1)
            await asyncio.sleep(2 * BATCH_DELAY_MS / MS_PER_S)
            waiting = self.send(2)
            await asyncio.sleep(0)
            self.batches.close()
            for reply in await asyncio.gather(sent, waiting):
                self.assertIsInstance(reply, messages.OutcomeUnknown)

        self.check(scenario)
