from agateferry_core.support import run_async
from agateferry_standins.deployment import LAGERTELLER, System
from agateferry_standins.relay import Direction, Flow, Relay
from agateferry_standins.tests.support import TEST_TIMEOUT_S, ZONE, SystemTestCase


class OneWayCutTests(SystemTestCase):
    """Cut one direction of a relay in front of a leader's peers' port, under load."""

    def run_on_system(self, test):
        async def main():
            self.relays = {host.name: Relay(host.peers) for host in self.plan.hosts}
            for name, relay in self.relays.items():
                await relay.start()
                self.plan = self.plan.with_advertised_peers(name, relay.address)
            async with System(self.plan, LAGERTELLER, self.start_log) as self.system:
                await test()
            for relay in self.relays.values():
                await relay.stop()

        run_async(main(), TEST_TIMEOUT_S)

    def cut(self, direction, flow):
        async def test():
            leader = await self.system.leader(ZONE)
            load_task = self.send(count=120)
            await self.wait_for_accepted(30)
            self.relays[leader].set_flow(direction, flow)
            await self.wait_for_accepted(60)
            self.relays[leader].set_flow(direction, Flow.PASS)
            await load_task
            self.assert_clean()

        self.run_on_system(test)

    def test_a_leader_that_receives_no_calls(self):
        self.cut(Direction.FORWARD, Flow.DROP)

    def test_a_leader_whose_replies_are_held(self):
        self.cut(Direction.BACK, Flow.HOLD)
