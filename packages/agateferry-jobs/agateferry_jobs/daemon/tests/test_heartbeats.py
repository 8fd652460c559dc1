import asyncio

from agateferry_jobs.calls import messages
from agateferry_jobs.calls.heartbeat_batches import HeartbeatBatches
from agateferry_jobs.daemon import cell
from agateferry_jobs.daemon.tests.test_cell import CALL_TIMEOUT_MS, IPS, CellCase
from agateferry_jobs.ledger import WorkerState
from agateferry_jobs.support import worker

FEW_WORKERS = 3
MAX_ATTEMPTS = 20


class HeartbeatSpreadTests(CellCase):
    """All workers once reported to the leader.

    With some thousand it answered none in time, so that workers repeated their heartbeats on new
    connections, and operators got no answer either.
    """

    def setUp(self):
        super().setUp()
        self.patch(cell, "MAX_WORKERS_AT_LEADER", FEW_WORKERS)

    async def send(self, numbers, host, **fields):
        """Send heartbeats, again as workers do while one is not acknowledged; return how often."""
        heartbeats = [messages.Heartbeat(worker(f"w{each}", **fields), 1) for each in numbers]
        for attempt in range(1, MAX_ATTEMPTS + 1):
            calls = (host.call(each, CALL_TIMEOUT_MS) for each in heartbeats)
            if set(await asyncio.gather(*calls)) == {messages.Done()}:
                return attempt
        raise AssertionError("not acknowledged")

    async def until_all_know(self, count):
        await self.wait_until(
            lambda: all(len(host.ledger.workers) == count for host in self.hosts.values()),
            f"all hosts know {count} workers",
        )

    async def until_heartbeat_hosts_are(self, expected):
        await self.wait_until(
            lambda: [self.hosts[ip].heartbeat_host for ip in IPS] == expected(),
            "each host names the right one",
        )

    def leader(self):
        return self.hosts[IPS[0]].leader_host or "unknown"

    def test_few_workers_report_to_the_leader(self):
        async def scenario():
            await self.send(range(FEW_WORKERS), self.hosts[IPS[0]])
            await self.until_all_know(FEW_WORKERS)
            await self.until_heartbeat_hosts_are(lambda: [self.leader()] * len(IPS))

        self.run_scenario(scenario)

    def test_many_workers_report_to_the_host_that_they_have_chosen(self):
        async def scenario():
            await self.send(range(FEW_WORKERS + 1), self.hosts[IPS[0]])
            await self.until_all_know(FEW_WORKERS + 1)
            await self.until_heartbeat_hosts_are(lambda: [*IPS])

        self.run_scenario(scenario)

    def test_a_follower_forwards_heartbeats_of_many_workers_in_few_calls(self):
        async def scenario():
            follower = next(host for ip, host in self.hosts.items() if ip != self.leader())
            await self.send(range(FEW_WORKERS + 1), follower)
            await self.until_all_know(FEW_WORKERS + 1)
            sent = []
            send_call = follower.client.call

            async def count(call, timeout_ms):
                sent.append(call)
                return await send_call(call, timeout_ms)

            follower._heartbeat_batches = HeartbeatBatches(count)
            attempts = await self.send(range(100), follower, state=WorkerState.DRAINING)
            self.assertIn(len(sent), range(1, attempts + 1))
            await self.until_all_know(100)
            states = {each.state for each in follower.ledger.workers.values()}
            self.assertEqual({WorkerState.DRAINING}, states)

        self.run_scenario(scenario)
