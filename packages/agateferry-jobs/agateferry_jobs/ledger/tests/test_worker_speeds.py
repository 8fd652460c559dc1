import math
import random

import msgspec
import testtools

from agateferry_jobs.ledger import Ledger, WorkerState, commands
from agateferry_jobs.ledger.durations import Reference
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.ledger.worker_speeds import MAX_STEPS_KEPT, WorkerSpeeds
from agateferry_jobs.support import job_command, start_of, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES

SPEEDS = (0.6, 1.0, 1.6, 0.6, 1.0, 1.6)
REFERENCE = Reference(math.log(5_000), 0.16)


def key(number, born=1):
    return (f"w{number}", born)


class SpeedsCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.speeds = WorkerSpeeds()
        self.rng = random.Random(3)
        self.at_ms = 0

    def run_step(self, name, speeds, work_ms=5_000, spread=0.15, runs=6, order=1):
        """Record runs of a step on each worker, those that end first before the others."""
        ends = [
            (work_ms * self.rng.lognormvariate(0, spread) / speed, number)
            for number, speed in enumerate(speeds)
            for _ in range(runs)
        ]
        for duration_ms, number in sorted(ends)[::order]:
            self.speeds.record(
                key(number), name, duration_ms, REFERENCE, self.at_ms + round(duration_ms)
            )
        self.at_ms += 10_000

    def log_pace(self, number, born=1):
        return self.speeds.log_pace(key(number, born), self.at_ms)

    def log_paces(self, count=6):
        return [self.log_pace(number) for number in range(count)]


class EstimateTests(SpeedsCase):
    def test_one_slow_worker_does_not_make_the_others_differ(self):
        """Guards against plans that change for all workers because of the fault of one."""
        for number in range(20):
            self.run_step(f"j{number}/0.0", [1.0] * 60 + [0.1], runs=2)
        self.assertEqual({0.0}, set(self.log_paces(60)))

    def test_one_job_of_unknown_work_shows_the_paces(self):
        self.run_step("j/0.0", SPEEDS, work_ms=9_000)
        for speed, log_pace in zip(SPEEDS, self.log_paces(), strict=True):
            self.assertAlmostEqual(-math.log(speed), log_pace, delta=0.25)

    def test_equal_workers_have_pace_one(self):
        """Guards against plans that follow chance where the workers are equal."""
        for number in range(20):
            self.run_step(f"j{number}/0.0", [1.0] * 12, work_ms=3_000 * self.rng.uniform(0.5, 2))
            self.assertEqual({0.0}, set(self.log_paces(12)))

    def test_estimates_do_not_depend_on_the_order_of_ends(self):
        """Guards against workers that count as fast since the slow runs have not ended yet."""
        durations = [(5_000 / speed, number) for number, speed in enumerate(SPEEDS)]
        found = []
        for ends in (sorted(durations), sorted(durations)[::-1]):
            speeds = WorkerSpeeds()
            for duration_ms, number in ends:
                speeds.record(key(number), "j/0.0", duration_ms, REFERENCE, at_ms=9_000)
            found.append([speeds.workers[key(number)[0]].weighted for number in range(6)])
        for first, second in zip(*found, strict=True):
            self.assertAlmostEqual(first, second, places=6)

    def test_running_work_counts_in_a_copy_only(self):
        runs = [(key(number), math.log(5_000 / speed)) for number, speed in enumerate(SPEEDS)]
        early = self.speeds.with_running({"j/0.0": (REFERENCE, runs)}, 2_000)
        self.assertTrue(early.log_pace(key(0), 2_000) > 0.2)
        self.assertTrue(early.log_pace(key(2), 2_000) < -0.2)
        self.assertEqual(({}, {}), (self.speeds.workers, self.speeds.steps))

    def test_a_limited_number_of_steps_is_kept(self):
        for number in range(MAX_STEPS_KEPT + 5):
            self.run_step(f"j{number}/0.0", [1.0], runs=1)
        self.assertEqual(MAX_STEPS_KEPT, len(self.speeds.steps))


class RobustnessTests(SpeedsCase):
    def setUp(self):
        super().setUp()
        for number in range(3):
            self.run_step(f"first{number}/0.0", SPEEDS)

    def test_a_job_of_seven_times_the_work_changes_nothing(self):
        before = self.log_paces()
        self.run_step("long/0.0", SPEEDS, work_ms=35_000)
        for earlier, later in zip(before, self.log_paces(), strict=True):
            self.assertAlmostEqual(earlier, later, delta=0.1)

    def test_one_outlier_moves_an_estimate_little(self):
        before = self.log_pace(1)
        self.speeds.record(key(1), "odd/0.0", 35_000, REFERENCE, self.at_ms)
        self.assertTrue(0 <= self.log_pace(1) - before < 0.15, (before, self.log_pace(1)))

    def test_a_worker_that_reports_false_values_does_not_change_the_others(self):
        """The false worker is one of twelve; its own estimate stays within the limits."""
        speeds = SPEEDS * 2
        for number in range(3):
            self.run_step(f"more{number}/0.0", speeds)
        before = self.log_paces(11)
        for number in range(5):
            self.run_step(f"false{number}/0.0", speeds[:11] + (100.0 if number % 2 else 0.01,))
        for earlier, later in zip(before, self.log_paces(11), strict=True):
            self.assertAlmostEqual(earlier, later, delta=0.2)
        self.assertTrue(abs(self.log_pace(11)) <= math.log(8))

    def test_the_estimate_follows_a_worker_that_becomes_slow_and_recovers(self):
        usual = self.log_pace(1)
        for number in range(4):
            self.run_step(f"slow{number}/0.0", (0.6, 0.4, *SPEEDS[2:]))
        slow = self.log_pace(1)
        self.assertTrue(slow - usual > 0.5, (usual, slow))
        for number in range(6):
            self.run_step(f"again{number}/0.0", SPEEDS)
        self.assertTrue(abs(self.log_pace(1) - usual) < 0.25, (usual, self.log_pace(1)))

    def test_old_evidence_loses_its_weight(self):
        before = self.log_pace(0)
        self.at_ms += 300_000
        self.assertTrue(0 <= self.log_pace(0) < before / 4)

    def test_a_new_incarnation_is_unknown_and_an_older_one_is_ignored(self):
        self.speeds.record(key(0, 2), "new/0.0", 5_000, REFERENCE, self.at_ms)
        self.assertEqual(0.0, self.log_pace(0, 1))
        before = self.speeds.workers["w0"].precision
        self.speeds.record(key(0, 1), "new/0.0", 50_000, REFERENCE, self.at_ms)
        self.assertEqual(before, self.speeds.workers["w0"].precision)


class GangTests(SpeedsCase):
    def setUp(self):
        super().setUp()
        for number in range(3):
            self.run_step(f"first{number}/0.0", SPEEDS)

    def record(self, numbers, duration_ms):
        before = self.log_paces(8)
        members = [key(number) for number in numbers]
        self.speeds.record_gang(members, duration_ms, REFERENCE, self.at_ms)
        return [late - early for early, late in zip(before, self.log_paces(8), strict=True)]

    def test_a_slow_gang_is_evidence_about_its_unknown_member(self):
        changes = self.record((2, 7), 8_300)
        self.assertTrue(changes[7] > 0.1, changes)
        self.assertAlmostEqual(0.0, changes[2], delta=0.03)

    def test_a_fast_gang_lowers_the_pace_of_all_that_it_contradicts(self):
        changes = self.record((0, 6, 7), 3_100)
        self.assertTrue(changes[6] < -0.05, changes)
        self.assertTrue(changes[0] < 0.0, changes)

    def test_a_gang_on_one_worker_shows_its_pace(self):
        changes = self.record((7, 7, 7), 8_300)
        self.assertTrue(changes[7] > 0.15, changes)


class LedgerTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        for number in range(len(SPEEDS)):
            self.apply(commands.NoteWorker(worker(f"w{number}")))

    def apply(self, command):
        return self.ledger.apply(1, commands.encode(command))

    def run_job(self, id, at_ms=0, **step):
        """Run a job with one subtask on each worker, of 5 s at usual pace."""
        spec = StepSpec(len(SPEEDS), SUBTASK_RESOURCES, estimated_ms=5_000, **step)
        self.apply(job_command(id, spec))
        starts = [start_of(id, f"0.0.{n}", on=f"w{n}") for n in range(len(SPEEDS))]
        self.apply(commands.StartRuns(tuple(starts), at_ms))
        for speed, start in sorted(zip(SPEEDS, starts, strict=True), key=lambda pair: -pair[0]):
            end = commands.RunEnded(id, start.subtask, start.run, commands.RunOutcome.DONE)
            self.apply(commands.EndRuns((end,), at_ms + round(5_000 / speed)))

    def log_pace(self, number, born=1):
        return self.ledger.state.speeds.log_pace(key(number, born), 20_000)

    def learn(self):
        for number in range(3):
            self.run_job(f"j{number}", at_ms=number * 9_000)

    def test_done_runs_show_the_paces_and_survive_a_snapshot(self):
        self.learn()
        self.assertTrue(self.log_pace(0) > 0.3)
        before = [self.log_pace(number) for number in range(6)]
        self.ledger.restore(self.ledger.snapshot())
        self.assertEqual(before, [self.log_pace(number) for number in range(6)])

    def test_a_snapshot_without_paces_is_read(self):
        state = msgspec.msgpack.decode(self.ledger.snapshot())
        del state["speeds"]
        self.ledger.restore(msgspec.msgpack.encode(state))
        self.assertEqual(0.0, self.log_pace(0))

    def test_a_worker_that_leaves_is_forgotten(self):
        self.learn()
        self.apply(commands.NoteWorker(worker("w0", state=WorkerState.GONE)))
        self.assertNotIn("w0", self.ledger.state.speeds.workers)

    def test_slow_workers_do_not_distort_learned_durations(self):
        """Guards against expected durations that depend on which workers ran a queue's jobs."""
        self.learn()
        for number in range(20):
            id = f"slow{number}"
            self.apply(job_command(id, StepSpec(1, SUBTASK_RESOURCES, estimated_ms=5_000)))
            start = start_of(id, "0.0.0", on="w0")
            self.apply(commands.StartRuns((start,), 30_000))
            end = commands.RunEnded(id, "0.0.0", start.run, commands.RunOutcome.DONE)
            self.apply(commands.EndRuns((end,), 38_333))
        self.assertAlmostEqual(5_000, self.ledger.expected_duration_ms("queue", 5_000), delta=700)

    def test_a_gang_counts_once_and_only_whole(self):
        self.run_job("gang", is_gang=True)
        precision = self.ledger.state.speeds.workers["w0"].precision
        self.assertTrue(precision < 1 / 0.16, precision)
        self.assertEqual({}, self.ledger.state.speeds.steps)

    def test_a_member_that_ends_after_its_job_is_applied(self):
        """Guards against a lost end: the records of the other members are dropped by then."""
        self.run_job("gang", is_gang=True)
        self.assertEqual(set(), set(self.ledger.jobs["gang"].subtasks))

    def test_a_run_that_ends_after_its_worker_left_is_not_kept(self):
        """Guards against records of workers that never come back."""
        self.apply(job_command("j", StepSpec(1, SUBTASK_RESOURCES, estimated_ms=5_000)))
        start = start_of("j", "0.0.0", on="w0")
        self.apply(commands.StartRuns((start,), 0))
        self.apply(commands.NoteWorker(worker("w0", state=WorkerState.GONE)))
        end = commands.RunEnded("j", "0.0.0", start.run, commands.RunOutcome.DONE)
        self.apply(commands.EndRuns((end,), 5_000))
        self.assertEqual({}, self.ledger.state.speeds.workers)

    def test_runs_far_from_their_data_do_not_count(self):
        self.run_job("far", data_rack="elsewhere")
        self.assertEqual({}, self.ledger.state.speeds.workers)
