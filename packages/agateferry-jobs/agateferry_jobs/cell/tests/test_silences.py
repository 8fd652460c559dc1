"""The lease of a silent worker over a change of leader."""

import asyncio

import testtools

from agateferry_core.clock import MS_PER_S
from agateferry_core.support import eventually, run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.tests.test_registration import SlowReplica
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.support import ModelWorker, manifest, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES
from agateferry_jobs.workers.clock_bounds import max_local_ms
from agateferry_state.replica.protocols import ProposeErrorKind

LASTING = JobSpec("payload", (StepSpec(1, SUBTASK_RESOURCES, is_long_running=True),))
ID = "5c0e7a21d94b36f8"
KEY = (ID, "0.0.0")
LEASE_MS = 8_000
HEARTBEAT_S = 1.5
KILLED_AFTER_S = 1.0
"""How long after its worker fell silent the leader is killed."""
TAKEOVER_S = 0.6
NEXT_LEASE_MS = 60
"""For a commit, and a poll that was under way meanwhile."""
MAX_IDLE_MS = 9_000
"""How long a subtask that lasts may have no run: 6 s after its last one, and 3 s more."""


class SilenceTests(testtools.TestCase):
    """A subtask that lasts had no run for 10 s where its worker and then the leader were lost."""

    def check(self, scenario):
        async def main(loop):
            self.loop = loop
            self.ports = {}
            self.ledger = Ledger()
            self.replica = SlowReplica(self.ledger)
            self.leader = Leader(self.replica, self.ledger, loop, self.port_to, LEASE_MS)
            self.replica.lead()
            await self.leader.handle(messages.InstallManifest(manifest()))
            reporting = asyncio.create_task(self.report())
            await asyncio.sleep(0.2)
            target = messages.CallTarget("host", f"/jobs/{ID}", "key")
            await self.leader.handle(messages.Submit(target, LASTING))
            await eventually(lambda: self.running(), "start")
            await asyncio.sleep(3)
            try:
                await scenario()
            finally:
                reporting.cancel()
                await self.leader.close()

        run_virtual(main)

    def port_to(self, incarnation):
        return self.ports.setdefault(incarnation.id, ModelWorker(self.loop))

    async def report(self):
        while True:
            for id in ("w1", "w2"):
                port = self.ports.get(id)
                if self.replica.is_leader and (port is None or not port.is_unreachable):
                    call = messages.Heartbeat(worker(id), self.loop.now_ms(), self.loop.now_ms())
                    await self.leader.handle(call)
            await asyncio.sleep(HEARTBEAT_S)

    def running(self):
        """Return the workers where the subtask runs; a silent one ends it with its lease."""
        for port in self.ports.values():
            port.expire_lease()
        return [id for id, port in self.ports.items() if KEY in port.running]

    def refuse_silences(self):
        self.replica.error_for = lambda command: (
            ProposeErrorKind.NOT_LEADER if b"silences" in command else None
        )

    async def silence(self):
        """Cut the running worker off until that is stored; return its id and port."""
        (id,) = self.running()
        port = self.ports[id]
        port.is_unreachable = True
        await eventually(lambda: self.ledger.is_silent(worker(id)), "silence stored")
        return id, port

    async def change_leader(self):
        self.replica.lead(False)
        await asyncio.sleep(TAKEOVER_S)
        self.replica.lead()

    async def idle_ms_after_loss(self):
        """Wait until the subtask runs on the other worker; it never runs on both at once."""
        (lost,) = self.running()
        self.ports[lost].is_unreachable = True
        began_ms = self.loop.now_ms()
        await asyncio.sleep(KILLED_AFTER_S)
        await self.change_leader()

        def is_elsewhere():
            running = self.running()
            self.assertLess(len(running), 2)
            return running and running != [lost]

        await eventually(is_elsewhere, "a run elsewhere")
        return self.loop.now_ms() - began_ms

    def test_the_next_leader_counts_the_lease_from_the_silence(self):
        async def scenario():
            self.assertLess(await self.idle_ms_after_loss(), MAX_IDLE_MS)

        self.check(scenario)

    def test_a_silence_that_is_not_stored_leaves_the_whole_lease_to_wait_for(self):
        async def scenario():
            self.refuse_silences()
            idle_ms = await self.idle_ms_after_loss()
            waited_ms = (KILLED_AFTER_S + TAKEOVER_S) * MS_PER_S + max_local_ms(LEASE_MS)
            self.assertGreaterEqual(idle_ms, waited_ms)

        self.check(scenario)

    def test_a_snapshot_leaves_the_whole_lease_to_wait_for(self):
        async def scenario():
            lead = self.replica.lead

            def lead_after_snapshot(leads=True):
                self.ledger.restore(self.ledger.snapshot())
                lead(leads)

            self.replica.lead = lead_after_snapshot
            self.assertGreater(await self.idle_ms_after_loss(), max_local_ms(LEASE_MS) + 1_500)

        self.check(scenario)

    def test_a_worker_that_answers_again_gets_its_next_lease_at_once(self):
        """Runs lapsed at the end of a partition that lasted for almost as long as a lease."""

        async def scenario():
            id, port = await self.silence()
            await asyncio.sleep(2)
            granted_ms = []
            poll = port.poll

            async def observed_poll(order, timeout_ms):
                if order.deadline_ms is not None:
                    granted_ms.append(self.loop.now_ms())
                return await poll(order, timeout_ms)

            port.poll = observed_poll
            port.is_unreachable = False
            await eventually(lambda: self.leader._sessions.by_id[id].answers, "answers")
            answered_ms = self.loop.now_ms()
            await eventually(lambda: granted_ms, "the next lease")
            self.assertLess(granted_ms[0] - answered_ms, NEXT_LEASE_MS)

        self.check(scenario)

    def test_no_lease_is_granted_until_it_is_stored_that_the_worker_answers(self):
        async def scenario():
            id, port = await self.silence()
            self.replica.error_for = lambda _: ProposeErrorKind.NOT_LEADER
            port.is_unreachable = False
            deadline_ms = port.deadline_ms
            await asyncio.sleep(1)
            self.assertEqual(deadline_ms, port.deadline_ms)
            self.replica.error_for = lambda _: None
            await eventually(lambda: port.deadline_ms > deadline_ms, "the next lease")
            self.assertFalse(self.ledger.is_silent(worker(id)))
            self.assertEqual([id], self.running())

        self.check(scenario)

    def test_a_leader_that_finds_a_silence_grants_nothing_before_it_is_taken_back(self):
        async def scenario():
            _, port = await self.silence()
            await self.change_leader()
            self.refuse_silences()
            port.is_unreachable = False
            deadline_ms = port.deadline_ms
            await asyncio.sleep(1)
            self.assertEqual(deadline_ms, port.deadline_ms)
            self.replica.error_for = lambda _: None
            await eventually(lambda: port.deadline_ms > deadline_ms, "the next lease")

        self.check(scenario)
