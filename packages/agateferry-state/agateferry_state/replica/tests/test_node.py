import asyncio
import errno
import random
import tempfile
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import testtools

from agateferry_core.clock import SystemClock
from agateferry_core.support import free_port, run_async
from agateferry_state.members import Member, MemberId
from agateferry_state.replica import ProposeErrorKind
from agateferry_state.replica.driver import SYNC_PAUSE_FACTOR
from agateferry_state.replica.node import NodeConfig, NodeReplica, Peer
from agateferry_state.replica.tests.support import CountingFiles, ListMachine
from agateferry_state.replica.transport import GrpcTransport, start_server
from agateferry_state.replication import Role, Settings
from agateferry_state.replication.messages import MemberAction, RejectReason

POLL_S = 0.01


class Host:
    """One host in this process: a server, a transport and a replica."""

    def __init__(self, peers, name, folder, seed, settings):
        self.peers, self.name, self.folder = peers, name, folder
        self.seed, self.settings = seed, settings
        self.files = CountingFiles()
        self.leads = []

    async def start(self):
        self.machine = ListMachine()
        rng = random.Random(self.seed)
        self.transport = GrpcTransport({}, rng)
        address = next(peer.address for peer in self.peers if peer.name == self.name)
        self.server = (await start_server(address, self.transport)).ok
        cfg = NodeConfig("cell", self.name, self.peers, self.folder, self.settings)
        self.replica = NodeReplica(
            cfg, self.machine, self.transport, SystemClock(), rng, self.files
        )
        self.replica.on_leadership(lambda leads, term: self.leads.append(leads))
        await self.replica.start()

    async def stop(self):
        await self.replica.stop()
        await self.stop_network()

    async def kill(self):
        """Stop like a killed process: without a sync, replies or a transfer of leadership."""
        driver = self.replica._driver
        driver._is_closed = True
        driver._storage.close()
        if driver._timer is not None:
            driver._timer.cancel()
        await self.stop_network()

    async def stop_network(self):
        await self.transport.close()
        await self.server.stop(None)


class NodeCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def make_hosts(self, disks, **settings):
        names = "abc"[: len(disks)]
        peers = tuple(
            Peer(name, f"127.0.0.1:{free_port()}", "z", has_disk)
            for name, has_disk in zip(names, disks, strict=True)
        )
        return [
            Host(
                peers,
                peer.name,
                self.folder / peer.name if peer.has_disk else None,
                seed,
                Settings(**settings),
            )
            for seed, peer in enumerate(peers)
        ]

    async def until(self, condition, what):
        for _ in range(2000):
            if condition():
                return
            await asyncio.sleep(POLL_S)
        raise AssertionError(f"timed out waiting for: {what}")

    async def wait_for_leader(self, hosts):
        await self.until(lambda: any(h.replica.is_leader for h in hosts), "a leader")
        return next(h for h in hosts if h.replica.is_leader)

    @asynccontextmanager
    async def running_group(self, hosts):
        """Start hosts, wait until all are voters, yield the leader, and stop the hosts at exit."""
        async with AsyncExitStack() as stack:
            for host in hosts:
                stack.push_async_callback(host.stop)
                await host.start()
            yield await self.wait_for_voters(hosts)

    async def wait_for_voters(self, hosts):
        await self.until(lambda: any(self.is_settled(h, len(hosts)) for h in hosts), "all vote")
        return await self.wait_for_leader(hosts)

    def is_settled(self, host, size):
        """Return whether a host leads `size` voters that all have the whole log."""
        status = host.replica.status()
        matched = [m.match_index for m in status.members if m.is_voter]
        return host.replica.is_leader and matched == [status.last_index] * size

    async def wait_for_same_state(self, hosts, commands):
        await self.until(lambda: all(h.machine.commands == commands for h in hosts), "same state")


class SingleMemberTests(NodeCase):
    def test_applies_and_survives_a_restart_with_snapshots(self):
        async def main():
            (host,) = self.make_hosts([True], snapshot_every_entries=10, trailing_entries=2)
            async with self.running_group([host]):
                commands = [b"%d" % n for n in range(35)]
                for command in commands:
                    self.assertTrue((await host.replica.propose(command)).is_ok())
                self.assertEqual(1, len(list((self.folder / "a").glob("snapshot-*"))))
                await host.kill()
                await host.start()
                await self.wait_for_leader([host])
                self.assertEqual(commands, host.machine.commands)
                self.assertTrue((await host.replica.read_barrier()).is_ok())
                await host.stop()
                self.assertEqual([True, False], host.leads[-2:])

        run_async(main())

    def test_the_log_keeps_a_limited_size_however_few_its_entries_are(self):
        """Some hundred large manifests filled the memory, and again at each start."""

        async def main():
            limits = {"snapshot_every_bytes": 100_000, "trailing_bytes": 40_000}
            (host,) = self.make_hosts([True], **limits)
            async with self.running_group([host]):
                commands = [b"%d" % n * 10_000 for n in range(60)]
                for command in commands:
                    self.assertTrue((await host.replica.propose(command)).is_ok())
                    log = host.replica._driver.core._state.log
                    kept_bytes = log.bytes_between(1, log.last_index)
                    state_bytes = log.snapshot.meta.size if log.snapshot is not None else 0
                    limit_bytes = max(100_000, state_bytes) + 40_000 + 2 * len(commands[-1])
                    self.assertLess(kept_bytes, limit_bytes)
                self.assertGreater(log.base_index, 30)
                await host.kill()
                await host.start()
                await self.wait_for_leader([host])
                self.assertEqual(commands, host.machine.commands)
                await host.stop()

        run_async(main())

    def test_failing_proposals_of_older_terms_keeps_those_of_the_own_term(self):
        async def main():
            (host,) = self.make_hosts([True])
            async with self.running_group([host]):
                driver = host.replica._driver
                proposal_id, fut = driver.proposals.add_proposal()
                driver.proposals.accept(proposal_id, driver.core.last_index + 1, driver.core.term)
                driver._fail_older_proposals(driver.core.term, None)
                self.assertFalse(fut.done())
                driver._fail_older_proposals(driver.core.term - 1, None)
                self.assertFalse(fut.done())
                fut.cancel()

        run_async(main())

    def test_proposals_of_one_loop_iteration_share_a_sync(self):
        async def main():
            (host,) = self.make_hosts([True])
            async with self.running_group([host]):
                before = host.files.syncs
                results = await asyncio.gather(*[host.replica.propose(b"x") for _ in range(50)])
                self.assertEqual(list(range(1, 51)), [result.ok.result for result in results])
                self.assertEqual(1, host.files.syncs - before)
                await host.stop()

        run_async(main())

    def test_syncs_leave_the_event_loop_time_for_other_work(self):
        """With 176 workers, a sync for each small command blocked the event loop half of the time,
        and calls were answered after their deadlines."""
        sync_s, span_s = 0.01, 0.5
        results = []

        async def main():
            (host,) = self.make_hosts([True])
            async with self.running_group([host]):
                host.files.sync_s = sync_s
                before = host.files.syncs
                tasks = []
                end_s = asyncio.get_running_loop().time() + span_s
                while asyncio.get_running_loop().time() < end_s:
                    tasks.append(asyncio.create_task(host.replica.propose(b"x")))
                    await asyncio.sleep(0.002)
                syncs = host.files.syncs - before
                results.extend(await asyncio.gather(*tasks))
                await host.stop()
            return syncs

        syncs = run_async(main())
        self.assertTrue(all(result.is_ok() for result in results))
        self.assertTrue(3 <= syncs <= span_s / (sync_s * (1 + SYNC_PAUSE_FACTOR)) + 2, syncs)

    def test_a_failed_sync_takes_the_replica_out_of_service(self):
        async def main():
            (host,) = self.make_hosts([True])
            async with self.running_group([host]):
                host.files.broken = True
                result = await host.replica.propose(b"a")
                self.assertEqual(ProposeErrorKind.UNKNOWN, result.error.kind)
                host.files.broken = False
                result = await host.replica.propose(b"b")
                self.assertEqual(ProposeErrorKind.STORAGE_FAILED, result.error.kind)
                self.assertEqual(Role.FAILED, host.replica.status().role)
                self.assertIn("injected", host.replica.status().disk)
                self.assertEqual([], host.machine.commands)
                await host.stop()

        run_async(main())

    def test_a_locked_folder_keeps_the_replica_out_of_service(self):
        async def main():
            (host,) = self.make_hosts([True])
            async with self.running_group([host]):
                (other,) = self.make_hosts([True])
                await other.start()
                self.assertEqual(ProposeErrorKind.STORAGE_FAILED, other.replica.failure.kind)
                self.assertTrue((await other.replica.propose(b"x")).is_error())
                await other.stop()
                await host.stop()

        run_async(main())

    def test_a_broken_invariant_takes_the_replica_out_of_service(self):
        async def main():
            (host,) = self.make_hosts([True])
            async with self.running_group([host]):
                asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
                host.machine.apply = lambda index, command: 1 // 0
                result = await host.replica.propose(b"x")
                self.assertEqual(ProposeErrorKind.UNKNOWN, result.error.kind)
                self.assertIn("ZeroDivisionError", host.replica.failure.detail)
                self.assertFalse(host.replica.is_leader)
                self.assertTrue((await host.replica.propose(b"y")).is_error())
                self.assertFalse(host.leads[-1])

        run_async(main())

    def test_a_stopped_replica_rejects_proposals_and_reads(self):
        async def main():
            (host,) = self.make_hosts([True])
            async with self.running_group([host]):
                await host.stop()
                result = await host.replica.propose(b"x")
                self.assertEqual(ProposeErrorKind.STOPPED, result.error.kind)
                self.assertTrue((await host.replica.read_barrier()).is_error())

        run_async(main())


class ThreeMemberTests(NodeCase):
    def test_commits_after_the_leader_is_killed_and_readmits_it(self):
        async def main():
            hosts = self.make_hosts([True, True, True])
            async with self.running_group(hosts) as leader:
                self.assertTrue((await leader.replica.propose(b"one")).is_ok())
                others = [host for host in hosts if host is not leader]
                refused = await others[0].replica.propose(b"no")
                self.assertEqual(
                    (ProposeErrorKind.NOT_LEADER, leader.name),
                    (refused.error.kind, refused.error.leader),
                )
                await leader.kill()
                second = await self.wait_for_leader(others)
                self.assertTrue((await second.replica.propose(b"two")).is_ok())
                await leader.start()
                await self.wait_for_same_state(hosts, [b"one", b"two"])

        run_async(main())

    def test_a_planned_stop_transfers_leadership(self):
        async def main():
            hosts = self.make_hosts([True, True, False])
            async with self.running_group(hosts) as leader:
                waiting = [asyncio.create_task(leader.replica.propose(b"x")) for _ in range(20)]
                await asyncio.sleep(0)
                loop = asyncio.get_running_loop()
                began = loop.time()
                await leader.stop()
                others = [host for host in hosts if host is not leader]
                await self.wait_for_leader(others)
                self.assertLess(loop.time() - began, 0.9)
                self.assertTrue(all(answer.is_ok() for answer in await asyncio.gather(*waiting)))
                await self.wait_for_same_state(others, [b"x"] * 20)

        run_async(main())

    def test_a_leader_with_a_full_disk_is_replaced(self):
        async def main():
            hosts = self.make_hosts([True, True, True])
            async with self.running_group(hosts) as leader:
                leader.files.error = errno.ENOSPC
                leader.files.broken = True
                result = await leader.replica.propose(b"one")
                others = [host for host in hosts if host is not leader]
                second = await self.wait_for_leader(others)
                self.assertTrue((await second.replica.propose(b"two")).is_ok())
                if result.is_ok():
                    # Both others had synced it before the leader's own sync failed.
                    self.assertEqual([b"one", b"two"], second.machine.commands)
                else:
                    self.assertEqual(ProposeErrorKind.UNKNOWN, result.error.kind)
                self.assertFalse(leader.replica.is_leader)
                self.assertEqual(b"two", second.machine.commands[-1])

        run_async(main())

    def test_a_host_that_lost_its_disk_rejoins_as_a_new_member(self):
        async def main():
            hosts = self.make_hosts([True, True, True], snapshot_every_entries=10)
            async with self.running_group(hosts) as leader:
                lost = next(host for host in hosts if host is not leader)
                before = lost.replica.status().incarnation
                await lost.kill()
                (self.folder / lost.name).rename(self.folder / "gone")
                for n in range(30):
                    self.assertTrue((await leader.replica.propose(b"%d" % n)).is_ok())
                await lost.start()
                self.assertNotEqual(before, lost.replica.status().incarnation)
                await self.wait_for_same_state(hosts, [b"%d" % n for n in range(30)])
                await self.until(
                    lambda: before not in str(leader.replica.status().members), "removal"
                )

        run_async(main())


class MembershipChangeTests(NodeCase):
    def test_a_recovery_must_name_every_other_voter_as_lost(self):
        async def main():
            hosts = self.make_hosts([True, True, True])
            async with self.running_group(hosts) as leader:
                self.assertTrue((await leader.replica.propose(b"one")).is_ok())
                await self.wait_for_same_state(hosts, [b"one"])
                survivor, *others = hosts
                for host in others:
                    await host.kill()
                await self.until(lambda: survivor.replica.leader is None, "the loss is noticed")
                voters = {m.host: m for m in survivor.replica.status().members}
                lost = [MemberId(host.name, voters[host.name].incarnation) for host in others]
                before = survivor.replica.status().members
                refused = await survivor.replica.force_recovery(frozenset(lost[:1]))
                self.assertEqual(RejectReason.UNSAFE, refused.error.detail)
                preview = survivor.replica.preview_recovery(frozenset(lost))
                self.assertEqual(["a"], [m.id.host for m in preview.ok.voters])
                self.assertEqual(before, survivor.replica.status().members)
                self.assertTrue((await survivor.replica.force_recovery(frozenset(lost))).is_ok())
                self.assertTrue((await survivor.replica.propose(b"two")).is_ok())
                self.assertEqual([b"one", b"two"], survivor.machine.commands)

        run_async(main())

    def test_a_host_with_an_empty_log_cannot_recover_the_group(self):
        async def main():
            host, *_ = self.make_hosts([True, True, True])
            await host.start()
            refused = await host.replica.force_recovery(frozenset())
            self.assertEqual(RejectReason.UNSAFE, refused.error.detail)
            await host.stop()

        run_async(main())

    def test_a_removed_host_rejoins_only_when_admitted(self):
        async def main():
            hosts = self.make_hosts([True, True, True])
            async with self.running_group(hosts) as leader:
                removed = next(host for host in hosts if host is not leader)
                change, preview = leader.replica.change_member, leader.replica.preview_change
                member = Member(MemberId(removed.name))
                after = preview(MemberAction.REMOVE, removed.name).ok
                self.assertEqual((2, (removed.name,)), (len(after.voters), after.removed))
                self.assertTrue((await change(MemberAction.REMOVE, member)).is_ok())
                again = await change(MemberAction.REMOVE, member)
                self.assertEqual(RejectReason.NOT_NEEDED, again.error.detail)
                await self.until(
                    lambda: preview(MemberAction.ADMIT, removed.name).is_ok(), "greeting"
                )
                self.assertTrue((await change(MemberAction.ADMIT, member)).is_ok())
                await self.wait_for_voters(hosts)

        run_async(main())
