import asyncio
import random
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

import testtools

from agateferry_core.clock import SystemClock
from agateferry_core.support import free_port, run_async
from agateferry_jobs.calls import LeaderClient, messages
from agateferry_jobs.daemon.cell import DISCOVERY_TIMEOUT_MS, CellHost
from agateferry_jobs.ledger import JobState
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.settings import HostSettings
from agateferry_jobs.support import ModelWorker, manifest
from agateferry_jobs.support.builders import SUBTASK_RESOURCES
from agateferry_state.journal import JournalError, JournalErrorKind

IPS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
REPLACEMENT_IP = "127.0.0.4"
JOB = JobSpec("payload", (StepSpec(1, SUBTASK_RESOURCES),))
CALL_TIMEOUT_MS = 10_000
KILLS = 6


def submit(id):
    return messages.Submit(messages.CallTarget("host", f"/jobs/{id}", "key"), JOB)


def get_status(id):
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
            data_folder=self.folder / ip,
            front=None,
            readiness=None,
            control=None,
            metrics_port=0,
        )
        return CellHost(
            cfg, self.clock, lambda incarnation: ModelWorker(self.clock, incarnation.born)
        )

    async def kill(self, host):
        """End a host as a kill does: it syncs and sends nothing and keeps its leadership."""
        driver = host._replica._driver
        driver._is_closed = True
        driver._storage.close()
        if driver._timer is not None:
            driver._timer.cancel()
        await host._leader.close()
        host._ping_responder.close()
        await host._transport.close()
        await host._server.stop(None)
        await host.client.close()

    def run_scenario(self, scenario):
        async def main():
            async with AsyncExitStack() as stack:
                self.client = LeaderClient(self.clock, self.port)
                self.client.add_hosts(IPS)
                stack.push_async_callback(self.client.close)
                self.hosts = {ip: self.make(ip) for ip in IPS}
                await asyncio.gather(*(host.start() for host in self.hosts.values()))
                self.assertEqual(
                    messages.Done(),
                    await self.client.call(messages.InstallManifest(manifest()), CALL_TIMEOUT_MS),
                )
                await self.wait_until(lambda: self.all_vote(set(IPS)), "all three vote")
                try:
                    await scenario()
                finally:
                    await asyncio.gather(*(host.stop() for host in self.hosts.values()))

        run_async(main(), timeout_s=120)

    def all_vote(self, ips):
        """Return whether every host knows exactly these voters."""
        voter_sets = [{v.id.host for v in h._replica.members.voters} for h in self.hosts.values()]
        return all(voters == ips for voters in voter_sets)

    async def restart(self, ip):
        self.hosts[ip] = self.make(ip, may_bootstrap=False)
        await self.hosts[ip].start()

    async def wait_until(self, condition, what):
        for _ in range(1500):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"did not happen in time: {what}")


class KillTests(CellCase):
    def test_calls_succeed_again_after_the_leader_is_killed(self):
        async def scenario():
            self.assertEqual(messages.Done(), await self.client.call(submit("a"), CALL_TIMEOUT_MS))
            leader = self.hosts["127.0.0.1"].leader_host
            await self.kill(self.hosts.pop(leader))
            reply = await self.client.call(get_status("a"), CALL_TIMEOUT_MS)
            self.assertEqual(messages.JobStatus(JobState.QUEUED), reply)

        self.run_scenario(scenario)

    def test_accepted_jobs_survive_a_kill_of_all_hosts_at_any_moment(self):
        async def scenario():
            rng = random.Random(7)
            accepted = []
            for number in range(KILLS):
                submission = asyncio.create_task(self.client.call(submit(f"job-{number}"), 300))
                await asyncio.sleep(rng.random() * 0.03)
                await asyncio.gather(*(self.kill(host) for host in self.hosts.values()))
                if isinstance(await submission, messages.Done):
                    accepted.append(f"job-{number}")
                await asyncio.gather(*(self.restart(ip) for ip in IPS))
                for id in accepted:
                    reply = await self.client.call(get_status(id), CALL_TIMEOUT_MS)
                    self.assertEqual(messages.JobStatus(JobState.QUEUED), reply, id)

        self.run_scenario(scenario)


class RestartOfAllHostsTests(CellCase):
    """All hosts lose power at once, so that none can tell the others who is in the cell."""

    def test_a_host_with_stored_state_starts_without_waiting_for_the_others(self):
        """Each host once waited for 1 s for a reply from hosts that were starting too."""

        async def scenario():
            self.assertEqual(messages.Done(), await self.client.call(submit("a"), CALL_TIMEOUT_MS))
            await asyncio.gather(*(self.kill(host) for host in self.hosts.values()))
            started_ms = self.clock.now_ms()
            await self.restart(IPS[0])
            self.assertLess(self.clock.now_ms() - started_ms, DISCOVERY_TIMEOUT_MS)
            await asyncio.gather(*(self.restart(ip) for ip in IPS[1:]))
            reply = await self.client.call(get_status("a"), CALL_TIMEOUT_MS)
            self.assertEqual(messages.JobStatus(JobState.QUEUED), reply)

        self.run_scenario(scenario)


class FullDiskTests(CellCase):
    def fail_disk(self, host):
        """Fail the replica of a host as a full disk does."""
        host._replica._driver._fail(JournalError(JournalErrorKind.DISK_FULL, "injected"))

    def test_replicas_recover_after_a_full_disk(self):
        """Without recovery, two full disks took two hosts out of the cell permanently.

        The cell then had no majority, and jobs were lost.
        """

        async def scenario():
            self.assertEqual(messages.Done(), await self.client.call(submit("a"), CALL_TIMEOUT_MS))
            for ip in IPS[:2]:
                self.fail_disk(self.hosts[ip])
            self.assertEqual(messages.Done(), await self.client.call(submit("b"), CALL_TIMEOUT_MS))
            for host in self.hosts.values():
                await self.wait_until(
                    lambda host=host: {"a", "b"} <= {*host.ledger.jobs}, "both jobs"
                )
                self.assertIsNone(host._replica.failure)

        self.run_scenario(scenario)


class UnexpectedErrorTests(CellCase):
    """An error that nobody expected in one step must not take a host out of the cell for good."""

    def raise_in_next_step(self, host, raised):
        driver = host._replica._driver
        process = driver._process

        def fail(events):
            driver._process = process
            raised.append(host)
            raise RuntimeError("injected")

        driver._process = fail

    def test_replicas_recover_after_an_unexpected_error(self):
        async def scenario():
            self.assertEqual(messages.Done(), await self.client.call(submit("a"), CALL_TIMEOUT_MS))
            raised = []
            for ip in IPS[:2]:
                self.raise_in_next_step(self.hosts[ip], raised)
            await self.wait_until(lambda: len(raised) == 2, "both failed")
            self.assertEqual(messages.Done(), await self.client.call(submit("b"), CALL_TIMEOUT_MS))
            for host in self.hosts.values():
                await self.wait_until(
                    lambda host=host: {"a", "b"} <= {*host.ledger.jobs}, "both jobs"
                )

        self.run_scenario(scenario)


class ReplaceTests(CellCase):
    def test_an_empty_host_at_a_new_address_replaces_a_lost_host(self):
        async def scenario():
            self.assertEqual(messages.Done(), await self.client.call(submit("a"), CALL_TIMEOUT_MS))
            leader = self.hosts["127.0.0.1"].leader_host
            lost = next(ip for ip in IPS if ip != leader)
            await self.kill(self.hosts.pop(lost))
            await self.restart(REPLACEMENT_IP)
            replacement = self.hosts[REPLACEMENT_IP]
            await self.wait_until(lambda: self.all_vote({*self.hosts}), "the replacement votes")
            await self.wait_until(
                lambda: "a" in replacement.ledger.jobs, "the replacement has the job"
            )

        self.run_scenario(scenario)
