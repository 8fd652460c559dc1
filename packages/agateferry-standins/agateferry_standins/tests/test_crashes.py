import shutil
import signal

from agateferry_standins.callers import JobKind
from agateferry_standins.deployment.system import wait_for
from agateferry_standins.tests.support import RUN_ONCE, ZONE, SystemTestCase

LONG_RUN = JobKind("load-reconcile", "load-desk", idempotent=False, run_ms=1500)


class KillTests(SystemTestCase):
    def test_kill_of_the_entry_host_that_serves_running_requests(self):
        async def test():
            leader = await self.system.leader(ZONE)
            serving_host = next(host for host in self.plan.hosts if host.name != leader)
            other = next(h for h in self.plan.hosts if h.name not in (leader, serving_host.name))
            load_task = self.send(
                (LONG_RUN,), 6, 100, entries=(serving_host.callers, other.callers)
            )
            await self.wait_for_starts(6)
            await self.system.daemons[serving_host.name].kill()
            await load_task
            self.assert_all_finished()
            self.assert_clean()

        self.run_on_system(test)

    def test_kill_of_an_entry_host_under_load(self):
        async def test():
            leader = await self.system.leader(ZONE)
            victim = next(host for host in self.plan.hosts if host.name != leader)
            load_task = self.send()
            await self.wait_for_accepted(30)
            await self.system.daemons[victim.name].kill()
            await load_task
            self.assert_clean()

        self.run_on_system(test)

    def test_kill_of_the_leader(self):
        async def test():
            leader = await self.system.leader(ZONE)
            load_task = self.send()
            await self.wait_for_accepted(30)
            await self.system.daemons[leader].kill()
            await load_task
            self.assert_clean()

        self.run_on_system(test)

    def test_two_kills_of_the_leader_with_a_restart_between(self):
        async def test():
            load_task = self.send(count=240)
            for accepted in (30, 120):
                await self.wait_for_accepted(accepted)
                leader = await self.system.leader(ZONE)
                await self.system.daemons[leader].kill()
                await self.wait_for_new_leader(leader)
                await self.system.daemons[leader].start()
                await self.system.wait_ready([leader])
            await load_task
            self.assert_clean()

        self.run_on_system(test)

    def test_kill_of_a_worker_under_load_that_is_not_idempotent(self):
        async def test():
            load_task = self.send((RUN_ONCE,), 100)
            await self.wait_for_starts(30)
            await self.busiest_worker().stop()
            await load_task
            self.assert_clean()

        self.run_on_system(test)


class FrozenLeaderTests(SystemTestCase):
    def test_a_resumed_leader_repeats_nothing(self):
        async def test():
            leader = await self.system.leader(ZONE)
            load_task = self.send(count=160)
            await self.wait_for_accepted(30)
            frozen = self.freeze(leader)
            await self.wait_for_new_leader(leader)
            await self.wait_for_accepted(60)
            frozen.signal(signal.SIGCONT)
            await load_task
            self.assert_clean()

        self.run_on_system(test)


class LostDiskTests(SystemTestCase):
    def test_a_host_with_an_empty_data_folder_becomes_a_voter_again(self):
        async def test():
            leader = await self.system.leader(ZONE)
            wiped = next(host for host in self.plan.hosts if host.name != leader)
            before = await self.incarnation(wiped)
            load_task = self.send(count=60)
            await self.wait_for_accepted(20)
            await self.system.daemons[wiped.name].kill()
            shutil.rmtree(wiped.data_folder)
            await self.system.daemons[wiped.name].start()
            await self.system.wait_ready([wiped.name])
            await load_task
            await self.wait_until_voting(wiped, before)
            await self.system.daemons[leader].kill()
            await self.send(count=40, seed=2)
            self.assert_clean()

        self.run_on_system(test)

    async def voter(self, host):
        _, body = await self.system.operator.call("GET", "/v1/cell", address=host.operators)
        members = body.get("members", [])
        return next((m for m in members if m["host"] == host.name and m["voter"]), None)

    async def incarnation(self, host):
        return (await self.voter(host))["incarnation"]

    async def wait_until_voting(self, host, old_incarnation):
        async def is_voting():
            voter = await self.voter(host)
            return voter is not None and voter["incarnation"] != old_incarnation

        await wait_for(is_voting, f"{host.name} to vote again")
