import asyncio
import random
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

import testtools

from agateferry_core.clock import SystemClock
from agateferry_core.support import free_port, run_async
from agateferry_jobs.calls import LeaderClient, messages
from agateferry_jobs.daemon.cell import CellHost
from agateferry_jobs.ledger import JobState
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.settings import HostSettings
from agateferry_jobs.support import ModelWorker, manifest
from agateferry_jobs.support.builders import SUBTASK_RESOURCES
from agateferry_state.journal import JournalError, JournalErrorKind

IPS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
LATE_IP = "127.0.0.4"
JOB = JobSpec("payload", (StepSpec(1, SUBTASK_RESOURCES),))
ASK_MS = 10_000
SEEDS = 6


def submit(id):
    return messages.Submit(messages.CallTarget("host", f"/jobs/{id}", "key"), JOB)


def look(id):
    return messages.GetStatus(messages.CallTarget("host", f"/jobs/{id}", "key"))


class CellCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.port = free_port()
        self.clock = SystemClock()

    def make(self, ip, may_bootstrap=True):
        cfg = HostSettings(
            node=ip,
            zone="z",
            ip=ip,
            internal_port=self.port,
            seeds=IPS,
            may_bootstrap=may_bootstrap,
            folder=self.folder / ip,
            front=None,
            readiness=None,
            control=None,
            metrics_port=0,
        )
        return CellHost(
            cfg, self.clock, lambda incarnation: ModelWorker(self.clock, incarnation.born)
        )

    async def kill(self, host):
        """End a host as a killed process ends: nothing is synced, told or handed on."""
        driver = host._replica._driver
        driver._is_closed = True
        driver._storage.close()
        if driver._timer is not None:
            driver._timer.cancel()
        await host._leader.close()
        await host._transport.close()
        await host._server.stop(None)
        await host.client.close()

    def check(self, scenario):
        async def main():
            async with AsyncExitStack() as stack:
                self.client = LeaderClient(self.clock, self.port)
                self.client.add_hosts(IPS)
                stack.push_async_callback(self.client.close)
                self.hosts = {ip: self.make(ip) for ip in IPS}
                await asyncio.gather(*(host.start() for host in self.hosts.values()))
                self.assertEqual(
                    messages.Done(),
                    await self.client.call(messages.InstallManifest(manifest()), ASK_MS),
                )
                await self.until(lambda: self.all_vote(set(IPS)), "all three vote")
                try:
                    await scenario()
                finally:
                    await asyncio.gather(*(host.stop() for host in self.hosts.values()))

        run_async(main(), timeout_s=120)

    def all_vote(self, ips):
        """Tell whether every host knows just these as voters."""
        known = [{v.id.host for v in h._replica.members.voters} for h in self.hosts.values()]
        return all(voters == ips for voters in known)

    async def restart(self, ip):
        self.hosts[ip] = self.make(ip, may_bootstrap=False)
        await self.hosts[ip].start()

    async def until(self, condition, what):
        for _ in range(1500):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"in vain: {what}")


class KillTests(CellCase):
    def test_callers_are_served_again_soon_after_the_leader_is_killed(self):
        async def scenario():
            self.assertEqual(messages.Done(), await self.client.call(submit("a"), ASK_MS))
            leader = self.hosts["127.0.0.1"].leader_host
            await self.kill(self.hosts.pop(leader))
            reply = await self.client.call(look("a"), ASK_MS)
            self.assertEqual(messages.JobStatus(JobState.QUEUED), reply)

        self.check(scenario)

    def test_what_was_accepted_outlives_a_kill_of_all_at_any_step(self):
        async def scenario():
            rng = random.Random(7)
            accepted = []
            for seed in range(SEEDS):
                asked = asyncio.create_task(self.client.call(submit(f"job-{seed}"), 300))
                await asyncio.sleep(rng.random() * 0.03)
                await asyncio.gather(*(self.kill(host) for host in self.hosts.values()))
                if isinstance(await asked, messages.Done):
                    accepted.append(f"job-{seed}")
                await asyncio.gather(*(self.restart(ip) for ip in IPS))
                for id in accepted:
                    reply = await self.client.call(look(id), ASK_MS)
                    self.assertEqual(messages.JobStatus(JobState.QUEUED), reply, id)

        self.check(scenario)


class FullDiskTests(CellCase):
    def fill(self, host):
        """Have the disk of a host refuse what comes next."""
        host._replica._driver._fail(JournalError(JournalErrorKind.DISK_FULL, "injected"))

    def test_hosts_take_part_again_once_their_disks_have_room(self):
        """Seen on a day with two full disks: both hosts took no part for the rest of the day, the
        cell had no majority, and jobs were lost."""

        async def scenario():
            self.assertEqual(messages.Done(), await self.client.call(submit("a"), ASK_MS))
            for ip in IPS[:2]:
                self.fill(self.hosts[ip])
            self.assertEqual(messages.Done(), await self.client.call(submit("b"), ASK_MS))
            for host in self.hosts.values():
                await self.until(lambda host=host: {"a", "b"} <= {*host.ledger.jobs}, "both jobs")
                self.assertIsNone(host._replica.failure)

        self.check(scenario)


class ReplaceTests(CellCase):
    def test_an_empty_host_at_a_new_address_takes_the_place_of_one_that_is_gone(self):
        async def scenario():
            self.assertEqual(messages.Done(), await self.client.call(submit("a"), ASK_MS))
            leader = self.hosts["127.0.0.1"].leader_host
            gone = next(ip for ip in IPS if ip != leader)
            await self.kill(self.hosts.pop(gone))
            await self.restart(LATE_IP)
            late = self.hosts[LATE_IP]
            await self.until(lambda: self.all_vote({*self.hosts}), "it votes")
            await self.until(lambda: "a" in late.ledger.jobs, "it holds the job")

        self.check(scenario)
