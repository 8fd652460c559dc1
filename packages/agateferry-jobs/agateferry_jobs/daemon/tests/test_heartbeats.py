import asyncio

from agateferry_jobs.calls import messages
from agateferry_jobs.daemon import cell
from agateferry_jobs.daemon.tests.test_cell import CALL_TIMEOUT_MS, IPS, CellCase
from agateferry_jobs.ledger import WorkerState
from agateferry_jobs.support import worker

FEW_WORKERS = 3


class HeartbeatSpreadTests(CellCase):
    """All workers once reported to the leader.

    With some thousand it answered none in time, so that workers repeated their heartbeats on new
    connections, and operators got no answer either.
    """

    def setUp(self):
        super().setUp()
        self.patch(cell, "MAX_WORKERS_AT_LEADER", FEW_WORKERS)

    async def send(self, numbers, host, **fields):
        return await asyncio.gather(
            *(
                host.call(messages.Heartbeat(worker(f"w{number}", **fields), 1), CALL_TIMEOUT_MS)
                for number in numbers
            )
        )

    async def until_all_know(self, count):
        await self.wait_until(
            lambda: all(len(host.ledger.workers) == count for host in self.hosts.values()),
            f"all hosts know {count} workers",
        )

    def heartbeat_hosts(self):
        return [self.hosts[ip].heartbeat_host for ip in IPS]

    def test_few_workers_report_to_the_leader(self):
        async def scenario():
            leader = self.hosts[IPS[0]].leader_host
            await self.send(range(FEW_WORKERS), self.hosts[IPS[0]])
            await self.until_all_know(FEW_WORKERS)
            self.assertEqual([leader] * len(IPS), self.heartbeat_hosts())

        self.run_scenario(scenario)

    def test_many_workers_report_to_the_host_that_they_have_chosen(self):
        async def scenario():
            await self.send(range(FEW_WORKERS + 1), self.hosts[IPS[0]])
            await self.until_all_know(FEW_WORKERS + 1)
            self.assertEqual([*IPS], self.heartbeat_hosts())

        self.run_scenario(scenario)

    def test_a_follower_forwards_heartbeats_of_many_workers_in_few_calls(self):
        async def scenario():
            leader = self.hosts[IPS[0]].leader_host
            follower = next(host for ip, host in self.hosts.items() if ip != leader)
            await self.send(range(FEW_WORKERS + 1), follower)
            await self.until_all_know(FEW_WORKERS + 1)
            calls = []
            handle = self.hosts[leader]._leader.handle

            async def count(call):
                calls.append(call)
                return await handle(call)

            self.hosts[leader]._leader.handle = count
            replies = await self.send(range(100), follower, state=WorkerState.DRAINING)
            self.assertEqual([messages.Done()] * 100, replies)
            self.assertLess(len(calls), 10)
            workers = self.hosts[leader].ledger.workers
            self.assertEqual(100, len(workers))
            self.assertEqual({WorkerState.DRAINING}, {each.state for each in workers.values()})

        self.run_scenario(scenario)
