import msgspec
import testtools

from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.durations import MIN_RUNS, DurationEstimate
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.support import job_command, start_of
from agateferry_jobs.support.builders import SUBTASK_RESOURCES


class ExpectedDurationTests(testtools.TestCase):
    def estimate(self, *pairs):
        estimate = DurationEstimate()
        for declared_ms, real_ms in pairs:
            estimate.record(declared_ms, real_ms)
        return estimate

    def test_few_runs_do_not_change_the_declared_duration(self):
        estimate = self.estimate(*[(1000, 8000)] * (MIN_RUNS - 1))
        self.assertEqual(500, estimate.expected_duration_ms(500))

    def test_exact_declarations_outweigh_past_runs(self):
        estimate = self.estimate((1000, 1000), (2000, 2000), (4000, 4000), (8000, 8000))
        self.assertTrue(2800 < estimate.expected_duration_ms(3000) < 3200)

    def test_past_runs_outweigh_wrong_declarations(self):
        estimate = self.estimate((800, 8000), (15_000, 8000), (2000, 8100), (1500, 7900))
        self.assertTrue(7500 < estimate.expected_duration_ms(1000) < 8100)

    def test_runs_without_a_declared_duration_are_ignored(self):
        estimate = self.estimate(*[(0, 8000)] * MIN_RUNS)
        self.assertEqual((0, 700), (estimate.runs, estimate.expected_duration_ms(700)))


class LedgerTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ledger = Ledger()

    def apply(self, command):
        return self.ledger.apply(1, commands.encode(command))

    def end(self, id, outcome, checkpoint=""):
        self.apply(job_command(id, StepSpec(1, SUBTASK_RESOURCES, estimated_ms=1000)))
        start = start_of(id, "0.0.0")
        self.apply(commands.StartRuns((start,), 100))
        if checkpoint:
            self.ledger.jobs[id].subtasks["0.0.0"].checkpoint = checkpoint
        self.apply(commands.EndRuns((commands.RunEnded(id, "0.0.0", start.run, outcome),), 4100))

    def test_only_runs_that_did_all_the_work_count(self):
        self.end("done", commands.RunOutcome.DONE)
        self.end("failed", commands.RunOutcome.FAILED)
        self.end("resumed", commands.RunOutcome.DONE, checkpoint="saved")
        self.assertEqual(1, self.ledger.state.durations["queue"].runs)

    def test_estimates_survive_a_snapshot(self):
        for number in range(MIN_RUNS):
            self.end(f"j{number}", commands.RunOutcome.DONE)
        before = self.ledger.expected_duration_ms("queue", 1000)
        self.ledger.restore(self.ledger.snapshot())
        self.assertEqual(before, self.ledger.expected_duration_ms("queue", 1000))
        self.assertTrue(before > 1000)

    def test_a_snapshot_without_durations_is_read(self):
        state = msgspec.msgpack.decode(self.ledger.snapshot())
        del state["lengths"]
        self.ledger.restore(msgspec.msgpack.encode(state))
        self.assertEqual({}, self.ledger.state.durations)
