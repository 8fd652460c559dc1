import shutil
import signal

from agateferry_standins.callers import JobKind
from agateferry_standins.deployment.system import wait_for
from agateferry_standins.tests.support import ONCE, ZONE, SystemTestCase

HELD = JobKind("load-reconcile", "load-desk", idempotent=False, run_ms=1500)


class KillTests(SystemTestCase):
    def test_the_entry_host_that_holds_a_request(self):
        async def test():
            leader = await self.system.leader(ZONE)
            holder = next(host for host in self.plan.hosts if host.name != leader)
            other = next(h for h in self.plan.hosts if h.name not in (leader, holder.name))
            sending = self.send((HELD,), 6, 100, entries=(holder.callers, other.callers))
            await self.until_started(6)
            await self.system.daemons[holder.name].kill()
            await sending
            self.assert_all_finished()
            self.assert_clean()

        self.on_system(test)

    def test_an_entry_host_in_a_stream_of_requests(self):
        async def test():
            leader = await self.system.leader(ZONE)
            victim = next(host for host in self.plan.hosts if host.name != leader)
            sending = self.send()
            await self.until_accepted(30)
            await self.system.daemons[victim.name].kill()
            await sending
            self.assert_clean()

        self.on_system(test)

    def test_the_leader(self):
        async def test():
            leader = await self.system.leader(ZONE)
            sending = self.send()
            await self.until_accepted(30)
            await self.system.daemons[leader].kill()
            await sending
            self.assert_clean()

        self.on_system(test)

    def test_the_leader_twice_with_a_restart_between(self):
        async def test():
            sending = self.send(count=240)
            for accepted in (30, 120):
                await self.until_accepted(accepted)
                leader = await self.system.leader(ZONE)
                await self.system.daemons[leader].kill()
                await self.new_leader(leader)
                await self.system.daemons[leader].start()
                await self.system.wait_ready([leader])
            await sending
            self.assert_clean()

        self.on_system(test)

    def test_a_worker_in_a_stream_of_requests_that_run_once(self):
        async def test():
            sending = self.send((ONCE,), 100)
            await self.until_started(30)
            await self.busiest_worker().stop()
            await sending
            self.assert_clean()

        self.on_system(test)


class FrozenTests(SystemTestCase):
    def test_a_leader_that_comes_back_repeats_nothing(self):
        async def test():
            leader = await self.system.leader(ZONE)
            sending = self.send(count=160)
            await self.until_accepted(30)
            frozen = self.freeze(leader)
            await self.new_leader(leader)
            await self.until_accepted(60)
            frozen.signal(signal.SIGCONT)
            await sending
            self.assert_clean()

        self.on_system(test)


class LostDiskTests(SystemTestCase):
    def test_a_host_with_an_emptied_folder_comes_back_and_counts_again(self):
        async def test():
            leader = await self.system.leader(ZONE)
            emptied = next(host for host in self.plan.hosts if host.name != leader)
            before = await self.incarnation(emptied)
            sending = self.send(count=60)
            await self.until_accepted(20)
            await self.system.daemons[emptied.name].kill()
            shutil.rmtree(emptied.data_folder)
            await self.system.daemons[emptied.name].start()
            await self.system.wait_ready([emptied.name])
            await sending
            await self.until_voting(emptied, before)
            await self.system.daemons[leader].kill()
            await self.send(count=40, seed=2)
            self.assert_clean()

        self.on_system(test)

    async def voter(self, host):
        _, body = await self.system.operator.call("GET", "/v1/cell", address=host.operators)
        members = body.get("members", [])
        return next((m for m in members if m["host"] == host.name and m["voter"]), None)

    async def incarnation(self, host):
        return (await self.voter(host))["incarnation"]

    async def until_voting(self, host, old_incarnation):
        async def votes():
            voter = await self.voter(host)
            return voter is not None and voter["incarnation"] != old_incarnation

        await wait_for(votes, f"{host.name} to vote again")
