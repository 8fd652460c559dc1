import asyncio
from unittest import mock

import testtools

from agateferry_core.support import VirtualLoop
from agateferry_jobs.calls import messages
from agateferry_jobs.entry.leader_monitor import (
    LEADER_SILENCE_MS,
    PING_INTERVAL_MS,
    PONG_TIMEOUT_MS,
    LeaderMonitor,
)

LEADER = "10.0.0.1"


class FakeClient:
    """Record calls; a test sets whether datagrams and calls get a reply."""

    hosts = (LEADER, "10.0.0.2")

    def __init__(self, clock):
        self.clock = clock
        self.leader = None
        self.last_reply_ms = None
        self.calls = 0
        self.replies = True
        self.error = None

    def record_pong(self, host, envelope, sent_ms):
        self.last_reply_ms = sent_ms

    async def call(self, call, timeout_ms):
        self.calls += 1
        if self.error is not None:
            raise self.error
        if not self.replies:
            await asyncio.sleep(timeout_ms / 1000)
            return messages.OutcomeUnknown("silent")
        self.leader, self.last_reply_ms = LEADER, self.clock.now_ms()
        return messages.Done()


class FakePinger:
    """Answer the pings to the leader at once, as long as datagrams pass."""

    def __init__(self, ip, port, clock, on_pong):
        self.clock = clock
        self.on_pong = on_pong
        self.sent = []
        self.passes = True

    async def open(self):
        pass

    def send(self, host):
        self.sent.append(host)
        if self.passes and host == LEADER:
            self.on_pong(host, None, self.clock.now_ms())

    def close(self):
        pass


class LeaderMonitorTests(testtools.TestCase):
    def run_scenario(self, scenario):
        loop = VirtualLoop()
        self.addCleanup(loop.close)

        async def main():
            self.client = FakeClient(loop)
            with mock.patch("agateferry_jobs.entry.leader_monitor.Pinger", FakePinger):
                self.monitor = LeaderMonitor(self.client, loop, "10.0.0.9", 7000)
            self.pinger = self.monitor._pinger
            task = asyncio.create_task(self.monitor.run())
            try:
                await scenario()
            finally:
                task.cancel()

        loop.run_until_complete(main())

    def test_while_datagrams_pass_only_the_leader_is_pinged_and_no_call_is_made(self):
        async def scenario():
            await asyncio.sleep(10)
            self.assertEqual(1, self.client.calls)
            self.assertEqual({LEADER}, set(self.pinger.sent[len(self.client.hosts) :]))
            self.assertTrue(self.monitor.is_ready)

        self.run_scenario(scenario)

    def test_where_no_datagrams_pass_calls_keep_the_entry_ready(self):
        async def scenario():
            self.pinger.passes = False
            for _ in range(100):
                await asyncio.sleep(0.1)
                self.assertTrue(self.monitor.is_ready)

        self.run_scenario(scenario)

    def test_a_silent_leader_makes_the_entry_ping_all_hosts_and_then_not_ready(self):
        async def scenario():
            await asyncio.sleep(2)
            self.pinger.passes = self.client.replies = False
            self.pinger.sent.clear()
            await asyncio.sleep((PING_INTERVAL_MS + PONG_TIMEOUT_MS) / 1000)
            self.assertEqual(set(self.client.hosts), set(self.pinger.sent))
            await asyncio.sleep((LEADER_SILENCE_MS - PONG_TIMEOUT_MS) / 1000)
            self.assertFalse(self.monitor.is_ready)

        self.run_scenario(scenario)

    def test_an_unexpected_error_does_not_end_the_monitor(self):
        async def scenario():
            self.pinger.passes = False
            self.client.error = RuntimeError("unexpected")
            await asyncio.sleep(2)
            self.assertFalse(self.monitor.is_ready)
            self.client.error = None
            await asyncio.sleep(1)
            self.assertTrue(self.monitor.is_ready)

        self.run_scenario(scenario)
