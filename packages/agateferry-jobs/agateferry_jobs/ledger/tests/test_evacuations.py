import msgspec

from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.evacuations import Evacuation, EvacuationResult
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.ledger.stored_state import State
from agateferry_jobs.ledger.tests.test_ledger import LedgerCase
from agateferry_jobs.support import job_command, start_of, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES

ZONE = "zone-a"


class EvacuationCase(LedgerCase):
    def evacuate(self, zone=ZONE, at_ms=5, by="op", revision=None):
        return self.apply(commands.EvacuateZone(zone, at_ms, by, revision))

    def readmit(self, zone=ZONE, at_ms=9, revision=None):
        return self.apply(commands.ReadmitZone(zone, at_ms, revision))

    def add(self, *workers):
        for each in workers:
            self.apply(commands.NoteWorker(each))


class IdempotenceTests(EvacuationCase):
    def test_a_repeated_evacuation_keeps_the_first_record(self):
        self.assertEqual(EvacuationResult.CHANGED, self.evacuate(at_ms=5, by="first"))
        self.assertEqual(EvacuationResult.UNCHANGED, self.evacuate(at_ms=7, by="second"))
        self.assertEqual({ZONE: Evacuation(5, "first")}, self.ledger.state.evacuations)

    def test_readmitting_a_zone_that_is_not_evacuated_changes_nothing(self):
        self.assertEqual(EvacuationResult.UNCHANGED, self.readmit())
        self.assertEqual({}, self.ledger.state.evacuations)

    def test_calls_in_any_order_leave_the_state_that_the_last_one_requests(self):
        for call in (self.readmit, self.evacuate, self.evacuate, self.readmit, self.readmit):
            call()
        self.assertEqual({}, self.ledger.state.evacuations)
        self.evacuate(at_ms=20)
        self.assertEqual(20, self.ledger.state.evacuations[ZONE].since_ms)

    def test_all_zones_can_be_evacuated_at_once(self):
        zones = ("zone-a", "zone-b", "zone-c")
        for zone in zones:
            self.evacuate(zone)
        self.assertEqual({*zones}, {*self.ledger.state.evacuations})
        self.readmit("zone-b")
        self.assertEqual({"zone-a", "zone-c"}, {*self.ledger.state.evacuations})


class LateCommandTests(EvacuationCase):
    """An order that was held up must not undo what was acknowledged after it was resent."""

    def test_an_evacuation_that_was_resent_and_reversed_is_outdated(self):
        self.evacuate(revision=0)
        self.readmit(revision=1)
        self.assertEqual(EvacuationResult.OUTDATED, self.evacuate(revision=0))
        self.assertEqual({}, self.ledger.state.evacuations)

    def test_a_readmission_that_was_resent_and_reversed_is_outdated(self):
        self.evacuate()
        self.readmit(revision=1)
        self.evacuate(revision=2)
        self.assertEqual(EvacuationResult.OUTDATED, self.readmit(revision=1))
        self.assertEqual({ZONE}, {*self.ledger.state.evacuations})

    def test_a_resent_command_that_was_applied_before_is_acknowledged(self):
        self.evacuate(revision=0)
        self.assertEqual(EvacuationResult.UNCHANGED, self.evacuate(revision=0))

    def test_a_readmission_that_comes_after_a_repeated_evacuation_is_outdated(self):
        """The repeated evacuation changes nothing, but its caller relies on the answer."""
        self.evacuate(revision=0)
        self.evacuate(revision=1)
        self.assertEqual(EvacuationResult.OUTDATED, self.readmit(revision=1))
        self.assertEqual({ZONE}, {*self.ledger.state.evacuations})

    def test_the_revision_of_one_zone_does_not_depend_on_another(self):
        self.evacuate("zone-b", revision=0)
        self.assertEqual(EvacuationResult.CHANGED, self.evacuate(revision=0))


class DroppedStartTests(EvacuationCase):
    def test_a_start_that_is_applied_after_the_evacuation_is_dropped(self):
        self.add(worker("w1"), worker("w2", zone="zone-b"))
        self.apply(job_command("j", StepSpec(2, SUBTASK_RESOURCES)))
        self.evacuate()
        starts = (start_of("j", "0.0.0", on="w1"), start_of("j", "0.0.1", on="w2"))
        self.assertEqual(starts[1:], self.start(*starts))
        self.assertEqual(0, self.ledger.jobs["j"].subtasks["0.0.0"].last_run)
        self.readmit()
        self.assertEqual(starts[:1], self.start(*starts))

    def test_a_gang_with_one_member_in_the_zone_is_dropped_whole(self):
        self.add(worker("w1"), worker("w2", zone="zone-b"))
        self.apply(job_command("j", StepSpec(2, SUBTASK_RESOURCES, is_gang=True)))
        self.evacuate()
        self.assertEqual(
            (), self.start(start_of("j", "0.0.0", on="w2"), start_of("j", "0.0.1", on="w1"))
        )

    def test_a_worker_that_registers_after_the_evacuation_is_covered(self):
        self.evacuate()
        self.add(worker("w1"))
        self.apply(job_command("j"))
        self.assertEqual((), self.start(start_of("j", "0.0.0")))

    def test_runs_already_in_the_zone_go_on_and_end(self):
        self.add(worker("w1"))
        self.apply(job_command("j"))
        self.start(start_of("j", "0.0.0"))
        self.evacuate()
        self.end("j", "0.0.0", commands.RunOutcome.DONE)
        self.assertTrue(self.ledger.jobs["j"].is_completed)


class ColdRunTests(EvacuationCase):
    def run_once(self, id, is_cold):
        self.apply(job_command(id, StepSpec(1, SUBTASK_RESOURCES, estimated_ms=1000)))
        start = msgspec.structs.replace(start_of(id, "0.0.0"), is_cold=is_cold)
        self.apply(commands.StartRuns((start,), 0))
        end = commands.RunEnded(id, "0.0.0", start.run, commands.RunOutcome.DONE)
        self.apply(commands.EndRuns((end,), 3_000))

    def test_a_run_on_a_cold_worker_does_not_count_in_learned_durations(self):
        self.run_once("cold", is_cold=True)
        self.assertEqual({}, self.ledger.state.durations)
        self.run_once("warm", is_cold=False)
        self.assertIn("queue", self.ledger.state.durations)

    def test_a_start_without_the_mark_is_of_a_warm_worker(self):
        """Logs of earlier versions hold starts without it."""
        old = msgspec.msgpack.encode({"job": "j", "subtask": "0.0.0", "run": start_of("j", "").run})
        self.assertFalse(msgspec.msgpack.decode(old, type=commands.RunStart).is_cold)


class SnapshotTests(EvacuationCase):
    def test_a_snapshot_keeps_the_evacuations(self):
        self.evacuate()
        restored = Ledger()
        restored.restore(self.ledger.snapshot())
        self.assertEqual(self.ledger.state, restored.state)

    def test_a_snapshot_of_an_earlier_version_has_no_evacuated_zone(self):
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(State()))
        del fields["evacuations"], fields["evacuation_revisions"]
        restored = Ledger()
        restored.restore(msgspec.msgpack.encode(fields))
        self.assertEqual(State(), restored.state)
