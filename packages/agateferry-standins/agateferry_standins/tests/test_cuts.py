from agateferry_core.support import run_async
from agateferry_standins.deployment import LAGERTELLER, System
from agateferry_standins.relay import Direction, Flow, Relay
from agateferry_standins.tests.support import TIMEOUT_S, ZONE, SystemTestCase


class OneWayCutTests(SystemTestCase):
    """A relay stands before the peers' port of every host."""

    def on_system(self, test):
        async def main():
            self.relays = {host.name: Relay(host.peers) for host in self.plan.hosts}
            for name, relay in self.relays.items():
                await relay.start()
                self.plan = self.plan.with_advertised_peers(name, relay.address)
            async with System(self.plan, LAGERTELLER, self.starts) as self.system:
                await test()
            for relay in self.relays.values():
                await relay.stop()

        run_async(main(), TIMEOUT_S)

    def cut(self, direction, flow):
        async def test():
            leader = await self.system.leader(ZONE)
            sending = self.send(count=120)
            await self.until_accepted(30)
            self.relays[leader].set_flow(direction, flow)
            await self.until_accepted(60)
            self.relays[leader].set_flow(direction, Flow.PASS)
            await sending
            self.assert_clean()

        self.on_system(test)

    def test_a_leader_that_hears_no_calls(self):
        self.cut(Direction.FORWARD, Flow.DROP)

    def test_a_leader_whose_replies_are_held(self):
        self.cut(Direction.BACK, Flow.HOLD)
