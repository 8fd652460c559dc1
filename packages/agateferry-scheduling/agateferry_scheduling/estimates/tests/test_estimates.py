import testtools

from agateferry_scheduling.estimates import Estimates
from agateferry_scheduling.scheduler.tests.support import request


class EstimatesTests(testtools.TestCase):
    def test_the_declared_time_is_used_before_the_first_run(self):
        self.assertEqual(60_000, Estimates().likely_ms(request("x", run_ms=60_000)))
        self.assertEqual(0, Estimates().at_least_ms(request("x")))

    def test_tenfold_errors_are_learned_in_both_directions(self):
        for factor in (0.1, 10.0):
            estimates = Estimates()
            for _ in range(30):
                estimates.learn(request("x", run_ms=1_000), int(1_000 * factor))
            likely_ms = estimates.likely_ms(request("y", run_ms=2_000))
            self.assertTrue(0.95 < likely_ms / (2_000 * factor) < 1.05)

    def test_variance_widens_the_bounds(self):
        estimates = Estimates()
        for run_ms in (500, 2_000) * 20:
            estimates.learn(request("x", run_ms=1_000), run_ms)
        pending = request("y", run_ms=1_000)
        self.assertTrue(estimates.at_most_ms(pending) > 1.5 * estimates.likely_ms(pending))
        self.assertTrue(estimates.at_least_ms(pending) < 0.5 * estimates.likely_ms(pending))

    def test_an_unknown_job_uses_the_estimate_of_its_team(self):
        estimates = Estimates()
        estimates.learn(request("x", run_ms=1_000, job="known"), 3_000)
        self.assertEqual(3_000, estimates.likely_ms(request("y", run_ms=1_000, job="new")))
        self.assertEqual(1_000, estimates.likely_ms(request("y", "b", run_ms=1_000)))
