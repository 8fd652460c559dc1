import asyncio
from contextlib import AsyncExitStack
from dataclasses import replace

from agateferry_core.support import free_port, run_async
from agateferry_state.replica.node import Peer
from agateferry_state.replica.tests.test_node import Host, NodeCase
from agateferry_state.replication import Settings

FORMING_S = 4.0
"""Twice the time in which three empty hosts form a cell if bootstrap is allowed."""
REPLACE_SOON = {"replaces_hosts": True, "replace_after_ms": 700}


class HostReplacementTests(NodeCase):
    def new_host(self, hosts, name):
        """Return a host that is not in the others' configuration, but has them in its own."""
        peers = (*hosts[0].peers, Peer(name, f"127.0.0.1:{free_port()}"))
        settings = Settings(may_bootstrap=False, **REPLACE_SOON)
        return Host(peers, name, self.folder / name, 9, settings)

    def voters(self, host):
        return {member.id.host for member in host.replica.members.voters}

    def test_a_host_at_a_new_address_replaces_a_lost_one(self):
        async def main():
            hosts = self.make_hosts([True] * 3, **REPLACE_SOON)
            async with AsyncExitStack() as stack:
                for host in hosts:
                    await host.start()
                leader = await self.wait_for_voters(hosts)
                await leader.replica.propose(b"kept")
                lost = next(host for host in hosts if host is not leader)
                await lost.kill()
                others = [host for host in hosts if host is not lost]
                for host in others:
                    stack.push_async_callback(host.stop)
                new = self.new_host(hosts, "d")
                stack.push_async_callback(new.stop)
                await new.start()
                wanted = {host.name for host in others} | {"d"}
                await self.until(lambda: self.voters(leader) == wanted, "the new host is a voter")
                await self.wait_for_same_state([*others, new], [b"kept"])

        run_async(main())

    def test_a_voter_that_stops_hands_its_vote_to_a_learner(self):
        """Until it had been silent for long, the loss of another host left no leader for good."""

        async def main():
            hosts = self.make_hosts([True] * 3, replaces_hosts=True, replace_after_ms=600_000)
            async with AsyncExitStack() as stack:
                for host in hosts:
                    await host.start()
                stopped = await self.wait_for_voters(hosts)
                others = [host for host in hosts if host is not stopped]
                peers = (*hosts[0].peers, Peer("d", f"127.0.0.1:{free_port()}"))
                settings = replace(hosts[0].settings, may_bootstrap=False)
                new = Host(peers, "d", self.folder / "d", 9, settings)
                for host in (*others, new):
                    stack.push_async_callback(host.stop)
                await new.start()
                await self.until(lambda: new.replica.members.voters, "the learner has the log")
                await stopped.stop()
                leader = await self.wait_for_leader(others)
                wanted = {host.name for host in others} | {"d"}
                await self.until(lambda: self.voters(leader) == wanted, "the learner votes")

        run_async(main())

    def test_empty_hosts_form_no_second_cell(self):
        async def main():
            hosts = self.make_hosts([True] * 3, may_bootstrap=False, **REPLACE_SOON)
            async with AsyncExitStack() as stack:
                for host in hosts:
                    stack.push_async_callback(host.stop)
                    await host.start()
                await asyncio.sleep(FORMING_S)
                self.assertEqual([None] * 3, [host.replica.leader for host in hosts])

        run_async(main())
