import asyncio
from contextlib import AsyncExitStack

from agateferry_core.support import free_port, run_async
from agateferry_state.replica.node import Peer
from agateferry_state.replica.tests.test_node import Host, NodeCase
from agateferry_state.replication import Settings

FORMING_S = 4.0
"""Twice what three empty hosts need to form a cell where they may."""
SOON = {"replaces_hosts": True, "replace_after_ms": 700}


class ReplacingTests(NodeCase):
    def late_comer(self, hosts, name):
        """Return a host that the others were not told of; it knows them."""
        peers = (*hosts[0].peers, Peer(name, f"127.0.0.1:{free_port()}"))
        settings = Settings(may_bootstrap=False, **SOON)
        return Host(peers, name, self.folder / name, 9, settings)

    def voters(self, host):
        return {member.id.host for member in host.replica.members.voters}

    def test_a_host_at_a_new_address_follows_one_that_is_gone(self):
        async def main():
            hosts = self.make_hosts([True] * 3, **SOON)
            async with AsyncExitStack() as stack:
                for host in hosts:
                    await host.start()
                leader = await self.formed_leader(hosts)
                await leader.replica.propose(b"kept")
                gone = next(host for host in hosts if host is not leader)
                await gone.kill()
                others = [host for host in hosts if host is not gone]
                for host in others:
                    stack.push_async_callback(host.stop)
                late = self.late_comer(hosts, "d")
                stack.push_async_callback(late.stop)
                await late.start()
                wanted = {host.name for host in others} | {"d"}
                await self.until(lambda: self.voters(leader) == wanted, "the late comer votes")
                await self.same_state([*others, late], [b"kept"])

        run_async(main())

    def test_empty_hosts_form_no_second_cell(self):
        async def main():
            hosts = self.make_hosts([True] * 3, may_bootstrap=False, **SOON)
            async with AsyncExitStack() as stack:
                for host in hosts:
                    stack.push_async_callback(host.stop)
                    await host.start()
                await asyncio.sleep(FORMING_S)
                self.assertEqual([None] * 3, [host.replica.leader for host in hosts])

        run_async(main())
