import asyncio

import testtools

from agateferry_core.clock import MS_PER_S
from agateferry_core.support import run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.support import MemoryReplica, ModelWorker, manifest, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES
from agateferry_state.replica.protocols import ProposeErrorKind

JOB = JobSpec("payload", (StepSpec(1, SUBTASK_RESOURCES),))
ID = "5c0e7a21d94b36f8"
LEASE_MS = 8_000
HEARTBEAT_MS = 1_500
CALL_TIMEOUT_MS = 350
"""When another host of the cell abandons its first call to the leader."""
COMMIT_MS = 5


class SlowReplica(MemoryReplica):
    """A replica that applies and acknowledges commands late, as with a slow disk.

    A proposal whose caller has gone is applied all the same.
    """

    commit_ms = COMMIT_MS

    async def propose(self, command):
        return await asyncio.shield(self._propose(command, self.commit_ms))

    async def _propose(self, command, commit_ms):
        await asyncio.sleep(commit_ms / MS_PER_S)
        return await super().propose(command)


class RegistrationTests(testtools.TestCase):
    """A worker in the ledger without a session got no work until another host led.

    Runs were started and lost again, many a second, where an earlier incarnation had one.
    """

    def check(self, scenario):
        async def main(loop):
            self.loop = loop
            self.ports = {}
            self.ledger = Ledger()
            self.replica = SlowReplica(self.ledger)
            self.leader = Leader(self.replica, self.ledger, loop, self.open_port, LEASE_MS)
            self.replica.lead()
            await self.leader.handle(messages.InstallManifest(manifest()))
            try:
                await scenario()
            finally:
                await self.leader.close()

        run_virtual(main)

    def open_port(self, incarnation):
        port = ModelWorker(self.loop, incarnation.born)
        self.ports.setdefault((incarnation.id, incarnation.born), []).append(port)
        return port

    async def forwarded(self, call, timeout_ms=CALL_TIMEOUT_MS):
        """Handle a call as the gRPC server does, which cancels it when its caller gives up."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return await self.leader.handle(call)
        except TimeoutError:
            return None

    async def heartbeats(self, incarnation, count, first_sequence=1):
        """Send some heartbeats; return whether the last one was acknowledged."""
        reply = None
        for sequence in range(first_sequence, first_sequence + count):
            reply = await self.forwarded(messages.Heartbeat(incarnation, sequence))
            await asyncio.sleep(HEARTBEAT_MS / MS_PER_S)
        return reply == messages.Done()

    async def submit(self):
        target = messages.CallTarget("host", f"/jobs/{ID}", "key")
        await self.leader.handle(messages.Submit(target, JOB))

    def assert_runs(self):
        """Check that the job's first run is going on."""
        run = self.ledger.jobs[ID].subtasks["0.0.0"].active
        self.assertIsNotNone(run)
        self.assertEqual(1, run.number)

    async def register_slowly(self, incarnation):
        """Send a first heartbeat whose commit takes longer than the call lasts."""
        self.replica.commit_ms = 2 * CALL_TIMEOUT_MS
        await self.heartbeats(incarnation, 1)
        self.replica.commit_ms = COMMIT_MS
        self.assertEqual(incarnation, self.ledger.workers[incarnation.id])

    def test_nothing_starts_on_an_incarnation_without_a_session(self):
        async def scenario():
            await self.heartbeats(worker("w1"), 2)
            self.replica.error_for = lambda _: ProposeErrorKind.UNKNOWN
            await self.heartbeats(worker("w1", born=2), 1)
            self.replica.error_for = lambda _: None
            self.assertEqual(2, self.ledger.workers["w1"].born)
            await self.submit()
            await asyncio.sleep(1)
            self.assertEqual(0, self.ledger.jobs[ID].subtasks["0.0.0"].last_run)

        self.check(scenario)

    def test_a_worker_whose_first_heartbeat_was_abandoned_gets_work(self):
        async def scenario():
            await self.register_slowly(worker("w1"))
            await self.submit()
            self.assertTrue(await self.heartbeats(worker("w1"), 2, first_sequence=2))
            self.assert_runs()

        self.check(scenario)

    def test_a_worker_whose_registration_had_an_unknown_outcome_gets_work(self):
        async def scenario():
            self.replica.error_for = lambda _: ProposeErrorKind.UNKNOWN
            await self.heartbeats(worker("w1"), 1)
            self.replica.error_for = lambda _: None
            await self.submit()
            self.assertTrue(await self.heartbeats(worker("w1"), 2, first_sequence=2))
            self.assert_runs()

        self.check(scenario)

    def test_a_worker_that_started_again_and_whose_first_heartbeat_was_abandoned_gets_work(self):
        async def scenario():
            await self.heartbeats(worker("w1"), 2)
            await self.register_slowly(worker("w1", born=2))
            await self.submit()
            self.assertTrue(await self.heartbeats(worker("w1", born=2), 2, first_sequence=2))
            self.assert_runs()

        self.check(scenario)

    def test_heartbeats_that_overlap_open_one_session(self):
        async def scenario():
            self.replica.commit_ms = 100
            calls = [self.forwarded(messages.Heartbeat(worker("w1"), n)) for n in (1, 2)]
            await asyncio.gather(*calls)
            await self.submit()
            await asyncio.sleep(1)
            self.assert_runs()
            self.assertEqual(1, len(self.ports["w1", 1]))

        self.check(scenario)

    def test_incarnations_that_register_at_once_leave_a_session_with_the_newest(self):
        async def scenario():
            await self.heartbeats(worker("w1"), 1)
            self.replica.commit_ms = 50
            old = messages.Heartbeat(worker("w1", born=2), 1)
            new = messages.Heartbeat(worker("w1", born=3), 1)
            await asyncio.gather(self.forwarded(old), self.forwarded(new))
            self.replica.commit_ms = COMMIT_MS
            await self.submit()
            await self.heartbeats(worker("w1", born=3), 2, first_sequence=2)
            self.assert_runs()
            self.assertEqual(3, self.ledger.jobs[ID].subtasks["0.0.0"].active.born)

        self.check(scenario)

    def test_a_host_that_stopped_leading_opens_no_session(self):
        """Such a session stayed beside the one of the host's next term, and stopped its runs."""

        async def scenario():
            self.replica.commit_ms = 100
            call = asyncio.ensure_future(self.forwarded(messages.Heartbeat(worker("w1"), 1)))
            await asyncio.sleep(0.05)
            self.replica.lead(False)
            await call
            self.assertEqual({}, self.ports)
            self.replica.commit_ms = COMMIT_MS
            self.replica.lead()
            await self.submit()
            self.assertTrue(await self.heartbeats(worker("w1"), 2, first_sequence=2))
            self.assert_runs()
            self.assertEqual(1, len(self.ports["w1", 1]))

        self.check(scenario)
