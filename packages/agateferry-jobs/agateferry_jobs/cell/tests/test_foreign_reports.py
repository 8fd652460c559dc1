"""Reports of other writers, which name a sound worker's id or address.

A worker's runs were taken for lost, and started again beside the first ones, on the word of a
report alone; it was not used again, since its own reports came after a later `born`.
"""

import asyncio

import testtools

from agateferry_core.support import eventually, run_virtual
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.leader import Leader
from agateferry_jobs.cell.worker_registry import MAX_UNANSWERED
from agateferry_jobs.ledger import Ledger, WorkerState, commands
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.manifest import Manifest, Service
from agateferry_jobs.support import MemoryReplica, ModelWorker, manifest, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES
from agateferry_jobs.workers.port import IncarnationMismatch, NoAnswer

JOB = JobSpec("payload", (StepSpec(1, SUBTASK_RESOURCES),))
IDS = [f"5c0e7a21d94b36f{number}" for number in range(4)]
SUBTASK = "0.0.0"
LEASE_MS = 8_000
HEARTBEAT_S = 0.5
LATER_BORN = 1_000_000
"""The `born` that reports of other writers give, later than that of each worker here."""
OWN_BORN = 10


class AddressPort:
    """Orders to an address: whichever worker is there answers those that name its id."""

    def __init__(self, at, incarnation):
        self._at = at
        self._incarnation = incarnation

    def _find(self):
        id, port = self._at.get(self._incarnation.address, ("", None))
        if port is None:
            return NoAnswer("nothing there")
        return port if id == self._incarnation.id else IncarnationMismatch()

    async def _send(self, name, order, timeout_ms):
        found = self._find()
        if isinstance(found, ModelWorker):
            return await getattr(found, name)(order, timeout_ms)
        await asyncio.sleep(0.001)
        return found

    async def start(self, order, timeout_ms):
        return await self._send("start", order, timeout_ms)

    async def stop(self, order, timeout_ms):
        return await self._send("stop", order, timeout_ms)

    async def poll(self, order, timeout_ms):
        return await self._send("poll", order, timeout_ms)

    async def release(self):
        pass

    async def close(self):
        pass


def report_of(id, address="w1:80", born=LATER_BORN, service="pool", **fields):
    """Return an incarnation as a report gives it."""
    incarnation = worker(id, born=born, **fields)
    incarnation.address = address
    incarnation.service = service
    return incarnation


class ForeignReportCase(testtools.TestCase):
    max_report_age_ms: int | None = None
    max_lease_ms: int | None = None

    def check(self, scenario, has_manifest=True, prepare=lambda ledger: None):
        async def main(loop):
            self.loop = loop
            self.at = {}
            self.incarnations = {}
            self.ledger = Ledger()
            prepare(self.ledger)
            self.replica = MemoryReplica(self.ledger)
            self.leader = Leader(
                self.replica,
                self.ledger,
                loop,
                self.port_to,
                LEASE_MS,
                self.max_report_age_ms,
                max_lease_ms=self.max_lease_ms,
            )
            self.replica.lead()
            await asyncio.sleep(60)
            if has_manifest:
                await self.leader.handle(messages.InstallManifest(manifest()))
            self.boot("w1")
            reporting = asyncio.create_task(self.report())
            try:
                await scenario()
            finally:
                reporting.cancel()
                await self.leader.close()

        run_virtual(main)

    def port_to(self, incarnation):
        return AddressPort(self.at, incarnation)

    def boot(self, id, born=OWN_BORN, address=None):
        incarnation = report_of(id, address or f"{id}:80", born)
        self.at[incarnation.address] = (id, ModelWorker(self.loop, born))
        self.incarnations[id] = incarnation

    async def report(self):
        while True:
            for _, port in self.at.values():
                port.progress_percent += 0.1
                port.expire_lease()
            for incarnation in list(self.incarnations.values()):
                now_ms = self.loop.now_ms()
                await self.send(messages.Heartbeat(incarnation, now_ms, now_ms))
            await asyncio.sleep(HEARTBEAT_S)

    async def send(self, *heartbeats):
        if len(heartbeats) > 1:
            return await self.leader.handle(messages.HeartbeatBatch(heartbeats))
        return await self.leader.handle(*heartbeats)

    async def submit(self, id=IDS[0]):
        target = messages.CallTarget("host", f"/jobs/{id}", "key")
        await self.leader.handle(messages.Submit(target, JOB))

    def running(self, id=IDS[0]):
        """Return the addresses at which a job's subtask is at work."""
        return [a for a, (_, port) in self.at.items() if (id, SUBTASK) in port.running]

    async def start(self, id=IDS[0]):
        """Start a job on `w1`, then add a worker on which it could run too."""
        await self.submit(id)
        await eventually(lambda: self.running(id), "started")
        self.boot("w9")
        await asyncio.sleep(2)

    async def check_sound(self, id=IDS[0]):
        """Check that the run went on alone and that `w1` is used for the next job."""
        for _ in range(300):
            self.assertEqual(["w1:80"], self.running(id))
            await asyncio.sleep(0.05)
        self.assertEqual(1, self.ledger.jobs[id].subtasks[SUBTASK].last_run)
        await self.check_used()

    async def check_used(self):
        self.incarnations.pop("w9", None)
        self.at.pop("w9:80", None)
        await asyncio.sleep(10)
        await self.submit(IDS[1])
        await eventually(lambda: self.running(IDS[1]) == ["w1:80"], "w1 gets the next job")


class ForeignReportTests(ForeignReportCase):
    """Each of these ended the runs of a worker that went on with them."""

    def check_report(self, incarnation, **fields):
        async def scenario():
            await self.start()
            for sequence in range(1, 4):
                await self.send(messages.Heartbeat(incarnation, sequence, **fields))
                await asyncio.sleep(0.2)
            await self.check_sound()

        self.check(scenario)

    def test_another_id_of_a_service_that_the_manifest_does_not_name(self):
        self.check_report(report_of("other", service="unnamed"), clock_ms=1_000)

    def test_another_id_of_a_service_that_the_manifest_names(self):
        self.check_report(report_of("other"), clock_ms=1_000)

    def test_its_own_id_with_a_later_born(self):
        self.check_report(report_of("w1"), clock_ms=1_000)

    def test_its_own_id_with_a_later_born_and_another_service(self):
        self.check_report(report_of("w1", service="unnamed"), clock_ms=1_000)

    def test_its_own_id_without_born(self):
        self.check_report(report_of("w1", born=0), clock_ms=1_000)

    def test_its_own_id_at_an_address_where_nothing_answers(self):
        self.check_report(report_of("w1", address="w7:80"))

    def test_its_own_incarnation_at_an_address_where_nothing_answers(self):
        self.check_report(report_of("w1", address="w7:80", born=OWN_BORN))

    def test_its_own_incarnation_with_another_service(self):
        self.check_report(report_of("w1", born=OWN_BORN, service="other"), clock_ms=70_000)

    def test_its_own_incarnation_with_the_clock_of_another(self):
        for clock_ms in (1_000, 10**9):
            draining = report_of("w1", born=OWN_BORN, state=WorkerState.DRAINING)
            self.check_report(draining, clock_ms=clock_ms)

    def test_a_drain_and_a_removal_under_its_id(self):
        async def scenario():
            await self.start()
            draining = report_of("w1", state=WorkerState.DRAINING)
            reply = await self.send(messages.Heartbeat(draining, 1))
            self.assertNotEqual(messages.Done(), reply)
            self.assertEqual(messages.Done(), await self.leader.handle(messages.Deregister("w1")))
            await self.check_sound()

        self.check(scenario)

    def test_a_second_process_that_answers_under_its_id_elsewhere(self):
        async def scenario():
            await self.start()
            self.at["w7:80"] = ("w1", ModelWorker(self.loop, LATER_BORN))
            for sequence in range(1, 4):
                await self.send(messages.Heartbeat(report_of("w1", "w7:80"), sequence))
                await asyncio.sleep(0.2)
            await self.check_sound()

        self.check(scenario)

    def test_reports_in_a_batch_beside_those_of_workers(self):
        async def scenario():
            await self.start()
            now_ms = self.loop.now_ms()
            own = messages.Heartbeat(self.incarnations["w1"], now_ms, now_ms)
            foreign = [messages.Heartbeat(report_of(id), 1) for id in ("other", "w1")]
            reply = await self.send(own, *foreign)
            self.assertEqual(messages.Done(), reply.replies[0])
            await self.check_sound()

        self.check(scenario)

    def test_a_report_that_comes_before_the_first_manifest_and_the_worker(self):
        async def scenario():
            del self.incarnations["w1"]
            await self.send(messages.Heartbeat(report_of("other", service="unnamed"), 1))
            await asyncio.sleep(1)
            await self.leader.handle(messages.InstallManifest(manifest()))
            self.boot("w1")
            await self.start()
            await self.check_sound()
            self.assertNotIn("other", self.ledger.workers)

        self.check(scenario, has_manifest=False)

    def test_a_service_that_a_later_manifest_adds(self):
        async def scenario():
            await self.start()
            foreign = report_of("other", service="added")
            await self.send(messages.Heartbeat(foreign, 1))
            known = manifest(2)
            services = (*known.services, Service("added"))
            added = Manifest(2, known.queues, services, known.teams, known.source)
            await self.leader.handle(messages.InstallManifest(added))
            await self.send(messages.Heartbeat(foreign, 2))
            await self.check_sound()

        self.check(scenario)

    def test_a_new_leader(self):
        async def scenario():
            await self.start()
            await self.send(messages.Heartbeat(report_of("other"), 1))
            self.replica.lead(False)
            await asyncio.sleep(0.3)
            self.replica.lead()
            await self.send(messages.Heartbeat(report_of("w1"), 1))
            await self.check_sound()

        self.check(scenario)


class WrongRecordTests(ForeignReportCase):
    """A ledger that believed such reports once kept the sound worker out for good."""

    def check_prepared(self, *reports):
        def prepare(ledger):
            for index, report in enumerate(reports, start=1):
                ledger.apply(index, commands.encode(commands.NoteWorker(report)))

        async def scenario():
            await asyncio.sleep(2)
            await self.submit()
            await eventually(lambda: self.running() == ["w1:80"], "started on w1")
            await self.check_sound()

        self.check(scenario, prepare=prepare)

    def test_a_worker_that_is_recorded_as_gone_with_a_later_born(self):
        self.check_prepared(report_of("w1", state=WorkerState.GONE))

    def test_a_worker_that_is_recorded_with_a_later_born(self):
        self.check_prepared(report_of("w1"))

    def test_a_worker_that_is_recorded_at_another_address(self):
        self.check_prepared(report_of("w1", address="w7:80", born=OWN_BORN))

    def test_another_id_that_is_recorded_at_its_address(self):
        self.check_prepared(report_of("other"))

    def test_a_run_goes_on_when_its_workers_address_is_corrected(self):
        async def scenario():
            await self.start()
            wrong = report_of("w1", address="w7:80", born=OWN_BORN)
            await self.replica.propose(commands.encode(commands.NoteWorker(wrong, 0, None, 10**9)))
            self.assertEqual("w7:80", self.ledger.workers["w1"].address)
            await self.check_sound()
            self.assertEqual("w1:80", self.ledger.workers["w1"].address)

        self.check(scenario)


class RealSuccessorTests(ForeignReportCase):
    """What really happened to a worker must be noticed as soon as before."""

    async def restarted_after_ms(self):
        began_ms = self.loop.now_ms()
        await eventually(lambda: self.ledger.jobs[IDS[0]].subtasks[SUBTASK].last_run == 2, "again")
        return self.loop.now_ms() - began_ms

    def check_successor(self, id, address):
        async def scenario():
            await self.start()
            del self.at["w1:80"]
            del self.incarnations["w1"]
            self.boot(id, born=LATER_BORN, address=address)
            await self.send(messages.Heartbeat(self.incarnations[id], 1, 1))
            self.assertLess(await self.restarted_after_ms(), 100)
            self.assertEqual(LATER_BORN, self.ledger.workers[id].born)

        self.check(scenario)

    def test_a_restart_under_its_id(self):
        self.check_successor("w1", "w1:80")

    def test_a_restart_under_its_id_at_another_address(self):
        self.check_successor("w1", "w7:80")

    def test_another_id_at_its_address(self):
        self.check_successor("w2", "w1:80")

    def test_a_restart_with_an_earlier_born(self):
        """The wall clock of its machine was set back."""

        async def scenario():
            await self.start()
            self.boot("w1", born=OWN_BORN - 1)
            await self.send(messages.Heartbeat(self.incarnations["w1"], 1, 1))
            self.assertLess(await self.restarted_after_ms(), 500)
            await asyncio.sleep(2)
            self.assertEqual(OWN_BORN - 1, self.ledger.workers["w1"].born)

        self.check(scenario)


class InventedIdTests(ForeignReportCase):
    """Reports of many invented ids must not grow any table for good."""

    def test_tables_stay_bounded(self):
        async def scenario():
            await self.start()
            for number in range(2_000):
                foreign = report_of(f"invented-{number}")
                await self.send(messages.Heartbeat(foreign, 1))
                await self.send(messages.Heartbeat(report_of("w1", born=LATER_BORN + number), 1))
            await self.check_sound()
            self.assertEqual({"w1"}, set(self.ledger.workers) - {"w9"})
            self.assertLess(len(self.ledger.state.gone), 10)

        self.check(scenario)

    def test_workers_that_never_answer_are_forgotten(self):
        async def scenario():
            await asyncio.sleep(1)
            for number in range(MAX_UNANSWERED + 200):
                id = f"invented-{number}"
                await self.send(messages.Heartbeat(report_of(id, f"{id}:80"), 1))
            self.assertEqual(MAX_UNANSWERED, len(self.ledger.workers) - 1)
            await asyncio.sleep(450)
            self.assertEqual({"w1"}, set(self.ledger.workers))

        self.check(scenario)

    def test_a_new_worker_is_used_beside_very_many_that_never_answer(self):
        """It was kept out for 300 s, until some of them were forgotten."""

        async def scenario():
            del self.incarnations["w1"]
            for number in range(MAX_UNANSWERED + 200):
                id = f"invented-{number}"
                await self.send(messages.Heartbeat(report_of(id, f"{id}:80"), 1))
            self.boot("w2")
            self.at.pop("w1:80")
            await asyncio.sleep(2)
            await self.submit()
            await eventually(lambda: self.running() == ["w2:80"], "started on w2")

        self.check(scenario)
