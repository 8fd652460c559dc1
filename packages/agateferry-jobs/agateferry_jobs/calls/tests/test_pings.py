import asyncio

import testtools

from agateferry_core.clock import SystemClock
from agateferry_core.support import free_port, run_async
from agateferry_jobs.calls import LeaderClient, messages
from agateferry_jobs.calls.pings import NUMBER_BYTES, Pinger, PingResponder

LEADER, FOLLOWER = "127.0.0.1", "127.0.0.2"
ENTRY = "127.0.0.3"
LEADING = messages.ReplyEnvelope(messages.Done(), (LEADER, FOLLOWER))
FOLLOWING = messages.ReplyEnvelope(messages.NotLeader(LEADER), (LEADER, FOLLOWER))


class PingTests(testtools.TestCase):
    """An entry learns from pings who leads, and from nothing else that arrives at its port."""

    def run_scenario(self, scenario):
        async def main():
            self.port = free_port()
            clock = SystemClock()
            self.client = LeaderClient(clock, self.port)
            self.client.add_hosts((FOLLOWER,))
            self.pinger = Pinger(ENTRY, self.port, clock, self.client.record_pong)
            await self.pinger.open()
            self.leader = PingResponder(lambda: LEADING)
            self.follower = PingResponder(lambda: FOLLOWING)
            await self.leader.open(LEADER, self.port)
            await self.follower.open(FOLLOWER, self.port)
            try:
                await scenario()
            finally:
                for endpoint in (self.pinger, self.leader, self.follower):
                    endpoint.close()

        run_async(main(), 20)

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.005)

    def test_the_leaders_answer_counts_from_when_its_ping_was_sent(self):
        async def scenario():
            before_ms = SystemClock().now_ms()
            self.pinger.send(LEADER)
            await self.until(lambda: self.client.last_reply_ms is not None)
            self.assertEqual(LEADER, self.client.leader)
            self.assertEqual((LEADER, FOLLOWER), tuple(sorted(self.client.hosts)))
            self.assertLessEqual(before_ms, self.client.last_reply_ms)

        self.run_scenario(scenario)

    def test_an_answer_of_another_host_is_no_sign_of_a_leader(self):
        async def scenario():
            self.pinger.send(FOLLOWER)
            await self.until(lambda: LEADER in self.client.hosts)
            self.assertIsNone(self.client.last_reply_ms)

        self.run_scenario(scenario)

    def test_a_host_that_no_longer_leads_names_the_one_that_does(self):
        async def scenario():
            self.client.record_pong(FOLLOWER, LEADING, 1)
            self.pinger.send(FOLLOWER)
            await self.until(lambda: self.client.leader == LEADER)

        self.run_scenario(scenario)

    def test_malformed_late_and_unasked_datagrams_change_nothing(self):
        async def scenario():
            number = (1).to_bytes(NUMBER_BYTES, "big")
            answer = messages.encode(LEADING)
            self.pinger.datagram_received(number + answer, (LEADER, self.port))
            for data in (b"", b"x", number, number + b"\xc1" * 9, number + answer[:-1]):
                self.pinger.send("127.0.0.9")
                self.pinger.datagram_received(data, ("127.0.0.9", self.port))
            self.leader.datagram_received(b"more than a number", (ENTRY, 9))
            self.assertIsNone(self.client.last_reply_ms)
            self.pinger.send(LEADER)
            await self.until(lambda: self.client.last_reply_ms is not None)

        self.run_scenario(scenario)
