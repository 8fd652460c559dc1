import asyncio
import time

from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.tests.test_leader import ID, JOB, LeaderCase, target
from agateferry_jobs.ledger import commands
from agateferry_jobs.support import MemoryReplica, worker

KEY = (ID, "0.0.0")


class HandOverCase(LeaderCase):
    def on_start_command(self, action):
        """Run an action while the next command that starts runs is being committed."""

        def act(command):
            if isinstance(commands.decode(command), commands.StartRuns):
                self.replica.error_for = lambda _: None
                action()

        self.replica.error_for = act

    def lose_and_regain(self):
        self.replica.lead(False)
        self.replica.lead(True)


class LostLeadershipTests(HandOverCase):
    """A leader that is deposed while it waits must not act on what it decided before."""

    def test_a_start_that_is_committed_as_leadership_ends_sends_no_order(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            self.on_start_command(lambda: self.replica.lead(False))
            await self.call(messages.Submit(target(), JOB))
            await self.until(lambda: not self.replica.is_leader, "deposed")
            await asyncio.sleep(0.3)
            self.assertEqual([], self.ports["w1"].starts)

        self.check(scenario)

    def test_a_start_of_an_earlier_term_is_left_to_the_sessions_of_the_new_one(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            self.on_start_command(self.lose_and_regain)
            await self.call(messages.Submit(target(), JOB))
            await self.until(lambda: self.ports["w1"].starts, "started")
            await asyncio.sleep(0.5)
            self.assertEqual(1, len(self.ports["w1"].running))
            run = self.ledger.jobs[ID].subtasks["0.0.0"].active
            self.assertEqual([(KEY, run.number)], self.ports["w1"].starts)

        self.check(scenario)

    def test_a_leader_that_leads_again_has_one_session_for_each_worker(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            before = self.leader._sessions.by_id["w1"]
            self.lose_and_regain()
            await asyncio.sleep(0.1)
            after = self.leader._sessions.by_id["w1"]
            self.assertIsNot(before, after)
            self.assertEqual(set(), before._tasks)
            self.assertNotEqual(set(), after._tasks)

        self.check(scenario)

    def test_a_planning_task_of_an_earlier_term_waits_for_the_workers_as_a_new_leader_does(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            make_plan, planned = self.leader._make_plan, []

            def slow_plan(limits):
                planned.append(self.leader._sessions.knows_all())
                time.sleep(0.05)
                return make_plan(limits)

            self.leader._make_plan = slow_plan
            self.leader.request_planning()
            await self.until(lambda: planned, "a plan that a pause follows")
            self.replica.lead(False)
            self.ports["w1"].is_unreachable = True
            self.ports["w1"].poll = self.silent_poll
            self.replica.lead(True)
            planned.clear()
            await asyncio.sleep(0.25)
            self.assertEqual([], planned)

        self.check(scenario)

    async def silent_poll(self, order, timeout_ms):
        await asyncio.sleep(5)


class TwoLeadersTests(HandOverCase):
    """The old leader's late order and the new leader's takeover run a subtask once."""

    def test_an_order_that_arrives_after_the_new_leader_has_polled_is_refused(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            self.ports["w1"].orders_to_lose = 2
            await self.call(messages.Submit(target(), JOB))
            await self.until(lambda: self.ports["w1"].delayed_orders, "an order is under way")
            self.replica.lead(False)
            replica = MemoryReplica(self.ledger)
            replica.term = self.replica.term
            successor = Leader(replica, self.ledger, self.clock, self.port_to, 8000)
            replica.lead()
            try:
                await self.until(lambda: self.ports["w1"].token >> 20 == replica.term, "polled")
                for order in self.ports["w1"].delayed_orders:
                    self.ports["w1"].execute(order)
                await self.running_on("w1")
                await asyncio.sleep(0.3)
                self.assertEqual(1, len(self.ports["w1"].starts))
                run = self.ledger.jobs[ID].subtasks["0.0.0"].active
                self.assertEqual((KEY, run.number), self.ports["w1"].starts[0])
            finally:
                await successor.close()

        self.check(scenario)
