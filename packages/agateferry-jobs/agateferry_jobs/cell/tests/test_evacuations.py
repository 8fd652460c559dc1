import asyncio

from prometheus_client import REGISTRY
from structlog.testing import capture_logs

from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.leader import TICK_MS, Leader
from agateferry_jobs.cell.tests.test_hand_over import HandOverCase
from agateferry_jobs.cell.tests.test_leader import ID, JOB, WHOLE_WORKER, target
from agateferry_jobs.ledger import Ledger, Run, commands
from agateferry_jobs.ledger.specs import JobSpec, StepSpec
from agateferry_jobs.support import MemoryReplica, job_command, worker
from agateferry_state.replica.protocols import ProposeErrorKind

ZONE, OTHER = "zone-a", "zone-b"
KEY = (ID, "0.0.0")
SETTLED_S = 2 * TICK_MS / 1000
"""Long enough for a leader that could start a run to start it."""


class EvacuationCase(HandOverCase):
    async def evacuate(self, zone=ZONE, revision=None, by="op"):
        return await self.call(messages.EvacuateZone(zone, by, revision))

    async def readmit(self, zone=ZONE, revision=None):
        return await self.call(messages.ReadmitZone(zone, "op", revision))

    async def read(self):
        return await self.call(messages.ReadEvacuations())

    async def submit(self, id=ID, spec=JOB):
        self.assertEqual(messages.Done(), await self.call(messages.Submit(target(id), spec)))

    def apply(self, command):
        return self.ledger.apply(1, commands.encode(command))

    def starts(self, *ids):
        return [start for id in ids for start in self.ports[id].starts]

    def successor(self, ledger=None):
        """Return a new leader in a later term, with its own replica of the ledger."""
        ledger = ledger or self.ledger
        replica = MemoryReplica(ledger)
        replica.term = self.replica.term
        leader = Leader(replica, ledger, self.clock, self.port_to, 8000)
        replica.lead()
        return leader


class PlacementTests(EvacuationCase):
    def test_nothing_starts_in_the_zone_until_it_is_readmitted(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            self.assertEqual(messages.Done(), await self.evacuate())
            await self.submit()
            await asyncio.sleep(SETTLED_S)
            self.assertEqual([], self.starts("w1"))
            self.assertEqual(messages.Done(), await self.readmit())
            await self.running_on("w1")

        self.check(scenario)

    def test_runs_in_the_zone_go_on_and_are_counted(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await self.submit()
            await self.running_on("w1")
            await self.evacuate(by="op-1")
            (zone,) = (await self.read()).zones
            self.assertEqual((ZONE, "op-1", 1), (zone.zone, zone.requested_by, zone.runs))
            self.ports["w1"].end(KEY, "done")
            await self.until(lambda: self.ledger.jobs[ID].is_completed, "completed")
            self.assertEqual(0, (await self.read()).zones[0].runs)

        self.check(scenario)

    def test_a_worker_that_registers_later_is_covered(self):
        async def scenario():
            await self.evacuate()
            await self.heartbeat(worker("w1"))
            await self.heartbeat(worker("w2", zone=OTHER))
            spec = JobSpec("payload", (StepSpec(2, WHOLE_WORKER),))
            await self.submit(spec=spec)
            await self.running_on("w2")
            await asyncio.sleep(SETTLED_S)
            self.assertEqual([], self.starts("w1"))

        self.check(scenario)

    def test_all_zones_at_once_start_nothing_and_start_again_when_one_is_readmitted(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await self.heartbeat(worker("w2", zone=OTHER))
            await self.evacuate(ZONE)
            await self.evacuate(OTHER)
            await self.submit()
            await asyncio.sleep(SETTLED_S)
            self.assertEqual([], self.starts("w1", "w2"))
            await self.readmit(OTHER)
            await self.running_on("w2")
            self.assertEqual([], self.starts("w1"))

        self.check(scenario)


class CallTests(EvacuationCase):
    def test_repeated_and_reordered_calls_are_acknowledged(self):
        async def scenario():
            for call in (self.readmit, self.evacuate, self.evacuate, self.readmit, self.readmit):
                self.assertEqual(messages.Done(), await call())
            self.assertEqual((), (await self.read()).zones)

        self.check(scenario)

    def test_an_order_whose_acknowledgement_was_lost_is_acknowledged_when_it_is_resent(self):
        async def scenario():
            self.replica.error_for = lambda _: ProposeErrorKind.UNKNOWN
            self.assertIsInstance(await self.evacuate(revision=0), messages.OutcomeUnknown)
            self.replica.error_for = lambda _: None
            since_ms = self.ledger.state.evacuations[ZONE].since_ms
            self.assertEqual(messages.Done(), await self.evacuate(revision=0))
            self.assertEqual(since_ms, self.ledger.state.evacuations[ZONE].since_ms)

        self.check(scenario)

    def test_a_stale_order_of_a_suspended_host_has_no_effect(self):
        async def scenario():
            revision = (await self.read()).revisions.get(ZONE, 0)
            await self.evacuate(revision=revision)
            await self.readmit()
            self.assertEqual(messages.Outdated(), await self.evacuate(revision=revision))
            self.assertEqual((), (await self.read()).zones)

        self.check(scenario)

    def test_a_readmission_in_flight_does_not_follow_a_repeated_evacuation(self):
        """An evacuation was once to be acknowledged from the state, without a command."""

        async def scenario():
            await self.evacuate()
            revision = (await self.read()).revisions[ZONE]
            self.assertEqual(messages.Done(), await self.evacuate(revision=revision))
            self.assertEqual(messages.Outdated(), await self.readmit(revision=revision))
            self.assertIn(ZONE, self.ledger.state.evacuations)

        self.check(scenario)

    def test_a_partitioned_leader_acknowledges_nothing(self):
        async def scenario():
            self.replica.is_leader = False
            self.assertIsInstance(await self.evacuate(), messages.NotLeader)
            self.assertIsInstance(await self.read(), messages.NotLeader)
            self.replica.is_leader = True
            self.assertEqual({}, self.ledger.state.evacuations)

        self.check(scenario)

    def test_a_leader_whose_lease_ends_before_the_reply_says_that_the_outcome_is_unknown(self):
        async def scenario():
            def lapse(_):
                self.replica.is_leader = False

            self.replica.error_for = lapse
            self.assertIsInstance(await self.evacuate(), messages.OutcomeUnknown)
            self.replica.error_for = lambda _: None
            self.replica.is_leader = True

        self.check(scenario)


class InFlightTests(EvacuationCase):
    """Starts that were decided before the evacuation and would have their effect after it."""

    def test_a_start_whose_command_follows_the_evacuation_is_dropped(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            self.on_start_command(lambda: self.apply(commands.EvacuateZone(ZONE, 1)))
            await self.submit()
            await asyncio.sleep(SETTLED_S)
            self.assertEqual([], self.starts("w1"))
            self.assertIsNone(self.ledger.jobs[ID].subtasks["0.0.0"].active)

        self.check(scenario)

    def test_a_committed_start_that_was_not_sent_yet_is_refused(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            start_run = self.leader._sessions.start_run

            def evacuate_and_start(start, payload):
                self.apply(commands.EvacuateZone(ZONE, 1))
                start_run(start, payload)

            self.leader._sessions.start_run = evacuate_and_start
            await self.submit()
            subtask = self.ledger.jobs[ID].subtasks["0.0.0"]
            await self.until(lambda: subtask.last_run and not subtask.active, "refused")
            await asyncio.sleep(SETTLED_S)
            self.assertEqual([], self.starts("w1"))
            self.assertEqual(0, subtask.failures)

        self.check(scenario)

    def test_an_order_without_an_answer_is_not_sent_again(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            self.ports["w1"].orders_to_lose = 1
            await self.submit()
            await self.until(lambda: self.ports["w1"].delayed_orders, "an order is under way")
            await self.evacuate()
            await self.heartbeat(worker("w2", zone=OTHER))
            await self.running_on("w2")
            self.assertEqual([], self.starts("w1"))
            self.ports["w1"].execute(self.ports["w1"].delayed_orders[0])
            self.assertEqual([], self.starts("w1"))

        self.check(scenario)


class ObsoleteStartTests(EvacuationCase):
    # An order was sent again for a subtask that the late report of an earlier run showed as done.
    def test_a_subtask_that_becomes_done_while_its_order_is_under_way_does_not_start(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            self.ports["w1"].orders_to_lose = 1
            await self.submit()
            await self.until(lambda: self.ports["w1"].delayed_orders, "an order is under way")
            earlier = commands.RunEnded(*KEY, Run(0, "w0", 1), commands.RunOutcome.DONE)
            self.apply(commands.EndRuns((earlier,), 1))
            subtask = self.ledger.jobs[ID].subtasks["0.0.0"]
            await self.until(lambda: subtask.active is None, "found not to run")
            self.assertEqual([], self.starts("w1"))

        self.check(scenario)


class HandOverTests(EvacuationCase):
    def test_a_leader_that_dies_right_after_the_commit_is_followed_by_one_that_knows(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            self.apply(job_command("j"))
            self.apply(commands.EvacuateZone(ZONE, 1))
            self.replica.lead(False)
            restored = Ledger()
            restored.restore(self.ledger.snapshot())
            successor = self.successor(restored)
            try:
                await asyncio.sleep(SETTLED_S)
                self.assertEqual([], self.starts("w1"))
                reply = await successor.handle(messages.ReadEvacuations())
                self.assertEqual([ZONE], [each.zone for each in reply.zones])
            finally:
                await successor.close()

        self.check(scenario)

    def test_a_new_leader_does_not_send_the_order_of_a_start_that_it_finds(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await self.until(lambda: "w1" in self.ports, "a session")
            self.replica.lead(False)
            self.apply(job_command("j"))
            start = commands.RunStart("j", "0.0.0", Run(1, "w1", 1))
            self.assertEqual((start,), self.apply(commands.StartRuns((start,))))
            self.apply(commands.EvacuateZone(ZONE, 1))
            successor = self.successor()
            try:
                subtask = self.ledger.jobs["j"].subtasks["0.0.0"]
                await self.until(lambda: subtask.active is None, "found not to run")
                await asyncio.sleep(SETTLED_S)
                self.assertEqual([], self.starts("w1"))
            finally:
                await successor.close()

        self.check(scenario)

    def test_a_partitioned_leader_that_does_not_know_the_evacuation_sends_no_order(self):
        """Its lease ends as its start is committed, before another host can acknowledge calls."""

        async def scenario():
            await self.heartbeat(worker("w1"))

            def lapse():
                self.replica.is_leader = False

            self.on_start_command(lapse)
            await self.submit()
            await asyncio.sleep(SETTLED_S)
            self.assertEqual([], self.starts("w1"))
            self.replica.is_leader = True

        self.check(scenario)


class GuaranteeTests(EvacuationCase):
    """The manifest guarantees 8 accelerators, and each worker has 8."""

    def lines(self, logs, *kinds):
        numbers = {kind.number for kind in kinds}
        return [line for line in logs if line["number"] in numbers]

    def test_guarantees_that_cannot_be_met_are_logged_on_a_change_only(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await self.heartbeat(worker("w2", zone=OTHER))
            await asyncio.sleep(SETTLED_S)
            with capture_logs() as logs:
                await self.evacuate(ZONE)
                await asyncio.sleep(SETTLED_S)
                self.assertEqual([], self.lines(logs, events.GUARANTEES_UNMET))
                await self.evacuate(OTHER)
                await asyncio.sleep(SETTLED_S)
                (unmet,) = self.lines(logs, events.GUARANTEES_UNMET)
                self.assertEqual("warning", unmet["log_level"])
                self.assertEqual((8, 0), (unmet["guaranteed"], unmet["available"]))
                self.assertEqual(8, missing_gpus())
                await self.readmit(OTHER)
                await asyncio.sleep(SETTLED_S)
                self.assertEqual(1, len(self.lines(logs, events.GUARANTEES_MET)))
                self.assertEqual(0, missing_gpus())

        self.check(scenario)

    def test_a_change_is_logged_with_what_it_leaves(self):
        async def scenario():
            await self.heartbeat(worker("w1"))
            await self.heartbeat(worker("w2", zone=OTHER))
            await self.submit()
            await self.until(lambda: self.starts("w1", "w2"), "started")
            zone = ZONE if self.starts("w1") else OTHER
            with capture_logs() as logs:
                await self.evacuate(zone, by="10.0.0.9")
                await self.evacuate(zone)
                await self.readmit(zone)
            evacuated, readmitted = self.lines(logs, events.ZONE_EVACUATED, events.ZONE_READMITTED)
            self.assertEqual(events.ZONE_EVACUATED.number, evacuated["number"])
            figures = [evacuated[key] for key in ("zone", "requested_by", "runs")]
            self.assertEqual([zone, "10.0.0.9", 1], figures)
            self.assertEqual((8, 8), (evacuated["available"], evacuated["guaranteed"]))
            self.assertEqual(16, readmitted["available"])

        self.check(scenario)

    def test_the_gauges_of_a_host_that_no_longer_leads_are_cleared(self):
        """Two hosts once would have shown an evacuation, one of them long after its end."""

        async def scenario():
            await self.heartbeat(worker("w1"))
            await self.submit()
            await self.running_on("w1")
            await self.evacuate()
            gauges = ("zones_evacuated", "runs_in_evacuated_zones", "guaranteed_gpus_missing")
            self.assertEqual([1, 1, 8], [gauge(name) for name in gauges])
            self.replica.lead(False)
            self.assertEqual([0, 0, 0], [gauge(name) for name in gauges])

        self.check(scenario)


class ColdWorkerTests(EvacuationCase):
    def test_a_worker_is_cold_until_the_time_of_its_heartbeat_is_over(self):
        async def scenario():
            await self.call(messages.Heartbeat(worker("w1"), 1, cold_remaining_ms=400))
            health = lambda: self.leader._sessions.by_id["w1"].health(False)  # noqa: E731
            self.assertTrue(health().is_cold)
            await self.submit()
            await self.running_on("w1")
            self.assertTrue(self.ledger.jobs[ID].subtasks["0.0.0"].is_cold)
            await self.until(lambda: not health().is_cold, "warm")

        self.check(scenario)


def gauge(name):
    return REGISTRY.get_sample_value(f"agateferry_jobs_{name}")


def missing_gpus():
    return gauge("guaranteed_gpus_missing")
