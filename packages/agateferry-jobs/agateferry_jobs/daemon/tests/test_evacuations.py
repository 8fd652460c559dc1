import asyncio

from agateferry_jobs.calls import messages
from agateferry_jobs.daemon.tests.test_cell import CALL_TIMEOUT_MS, IPS, CellCase

ZONE = "zone-a"


class EvacuationCase(CellCase):
    async def call(self, call):
        return await self.client.call(call, CALL_TIMEOUT_MS)

    async def zones(self):
        reply = await self.call(messages.ReadEvacuations())
        return [each.zone for each in reply.zones]


class DurabilityTests(EvacuationCase):
    def test_an_acknowledged_evacuation_survives_a_loss_of_power_of_all_hosts(self):
        async def scenario():
            self.assertEqual(messages.Done(), await self.call(messages.EvacuateZone(ZONE, "op")))
            await asyncio.gather(*(self.kill(host) for host in self.hosts.values()))
            await asyncio.gather(*(self.restart(ip) for ip in IPS))
            self.assertEqual([ZONE], await self.zones())

        self.run_scenario(scenario)

    def test_an_acknowledged_readmission_survives_it_too(self):
        async def scenario():
            await self.call(messages.EvacuateZone(ZONE, "op"))
            self.assertEqual(messages.Done(), await self.call(messages.ReadmitZone(ZONE, "op")))
            await asyncio.gather(*(self.kill(host) for host in self.hosts.values()))
            await asyncio.gather(*(self.restart(ip) for ip in IPS))
            self.assertEqual([], await self.zones())

        self.run_scenario(scenario)

    def test_the_next_leader_knows_what_a_killed_one_acknowledged(self):
        async def scenario():
            self.assertEqual(messages.Done(), await self.call(messages.EvacuateZone(ZONE, "op")))
            leader = self.hosts[IPS[0]].leader_host
            await self.kill(self.hosts.pop(leader))
            self.assertEqual([ZONE], await self.zones())

        self.run_scenario(scenario)


class RelayTests(EvacuationCase):
    def test_each_host_relays_calls_to_the_leader(self):
        async def scenario():
            for ip in IPS:
                call = messages.EvacuateZone(ZONE, ip)
                reply = await self.hosts[ip].call(call, CALL_TIMEOUT_MS)
                self.assertEqual(messages.Done(), reply)
            (zone,) = (await self.call(messages.ReadEvacuations())).zones
            self.assertEqual(IPS[0], zone.requested_by)

        self.run_scenario(scenario)

    def test_a_relaying_host_that_fails_leaves_a_call_that_can_be_resent_to_another(self):
        async def scenario():
            leader = self.hosts[IPS[0]].leader_host
            relay, other = (ip for ip in IPS if ip != leader)
            sent = asyncio.create_task(
                self.hosts[relay].call(messages.EvacuateZone(ZONE, "op", 0), CALL_TIMEOUT_MS)
            )
            await asyncio.sleep(0)
            await self.kill(self.hosts.pop(relay))
            sent.cancel()
            await asyncio.gather(sent, return_exceptions=True)
            call = messages.EvacuateZone(ZONE, "op", 0)
            self.assertEqual(messages.Done(), await self.hosts[other].call(call, CALL_TIMEOUT_MS))
            self.assertEqual([ZONE], await self.zones())

        self.run_scenario(scenario)
