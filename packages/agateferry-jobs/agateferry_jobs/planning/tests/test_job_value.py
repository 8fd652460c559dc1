import testtools

from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.planning.fair_shares import DominantShares
from agateferry_jobs.planning.job_value import JobValues
from agateferry_jobs.planning.timing import Timing
from agateferry_jobs.size_weight import BASE_WEIGHT, MAX_WEIGHT
from agateferry_jobs.support import job_command, manifest


class JobValuesCase(testtools.TestCase):
    """Jobs of 2 s: in time if they start within 5 s, late within 19 s, and hopeless later."""

    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        self.apply(commands.PutManifest(manifest()))

    def apply(self, command):
        self.ledger.apply(1, commands.encode(command))

    def submit(self, id, priority=1, estimated_ms=2_000, at_ms=0):
        step = StepSpec(1, Resources(gpu=1), estimated_ms=estimated_ms)
        self.apply(job_command(id, step, priority=priority, at_ms=at_ms))
        return self.ledger.jobs[id]

    def values(self, now_ms=0):
        return JobValues(self.ledger.jobs.values(), Timing(self.ledger), now_ms)


class WorthTests(JobValuesCase):
    def test_worth_falls_with_priority(self):
        jobs = [self.submit(f"j{priority}", priority) for priority in (0, 1, 2, 3)]
        worths = [self.values().worth(job) for job in jobs]
        self.assertEqual([1.0, 0.5, 0.25, 0.125], [round(worth, 6) for worth in worths])

    def test_a_false_duration_changes_worth_by_bounded_factors(self):
        """A caller could otherwise buy its way past all others by what it declares."""
        for number in range(20):
            self.submit(f"honest{number}")
        for id, declared_ms in (("tiny", 1), ("huge", 10_000_000)):
            worth = self.values().worth(self.submit(id, estimated_ms=declared_ms))
            self.assertTrue(0.5 * BASE_WEIGHT <= worth <= 0.5 * MAX_WEIGHT, (id, worth))

    def test_without_durations_nothing_is_known_of_the_worth_of_work(self):
        self.submit("j", estimated_ms=0)
        self.assertEqual(0.0, self.values().worth_per_core_second)


class LossTests(JobValuesCase):
    def loss(self, now_ms, started_ms, delay_ms=1_000):
        job = self.submit("j")
        return round(self.values(now_ms).loss_of_stop(job, started_ms, delay_ms), 6)

    def test_a_job_that_will_still_be_in_time_loses_nothing(self):
        self.assertEqual(0.0, self.loss(now_ms=4_000, started_ms=3_000))

    def test_a_job_that_becomes_late_loses_a_part(self):
        self.assertAlmostEqual(0.35, self.loss(now_ms=4_500, started_ms=3_000))

    def test_a_late_job_that_becomes_hopeless_loses_the_rest(self):
        self.assertAlmostEqual(0.15, self.loss(now_ms=18_500, started_ms=17_000))

    def test_a_hopeless_job_loses_nothing(self):
        self.assertEqual(0.0, self.loss(now_ms=25_000, started_ms=24_000))


class GainTests(JobValuesCase):
    def test_only_a_job_that_can_be_in_time_gains_by_a_start(self):
        job = self.submit("j")
        gains = [self.values(now_ms).gain_of_start(job) for now_ms in (5_000, 5_001)]
        self.assertEqual([0.35, 0.0], [round(gain, 6) for gain in gains])


class DominantSharesTests(testtools.TestCase):
    def test_the_largest_share_of_a_resource_counts(self):
        shares = DominantShares(Resources(cpu=100, mem_mb=1_000, gpu=10))
        shares.add("a", Resources(cpu=10, mem_mb=500, gpu=1))
        shares.add("b", Resources(gpu=1), count=6)
        self.assertEqual([0.5, 0.6, 0.0], [shares.of_team(team) for team in "abc"])

    def test_a_resource_that_no_worker_has_counts_nothing(self):
        shares = DominantShares(Resources(cpu=100))
        shares.add("a", Resources(cpu=10))
        self.assertEqual(0.1, shares.of_team("a"))
