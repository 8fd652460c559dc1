import testtools

from agateferry_scheduling.health import HealthTracker
from agateferry_scheduling.scheduler.messages import SchedulingConfig
from agateferry_scheduling.scheduler.tests.support import request


class HealthTrackerTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.health = HealthTracker(SchedulingConfig())

    def fail(self, name, job, worker, now_ms=0):
        return self.health.record_failure(request(name, job=job), (worker,), now_ms)

    def test_failures_in_a_row_quarantine_a_worker(self):
        self.assertEqual([], self.fail("x1", "j1", "w") + self.fail("x2", "j2", "w"))
        [quarantine] = self.fail("x3", "j3", "w")
        self.assertEqual(("w", False), (quarantine.worker, quarantine.lifted))

    def test_a_success_resets_the_count_of_failures(self):
        self.fail("x1", "j1", "w")
        self.fail("x2", "j2", "w")
        self.health.record_success(request("x3"), ("w",))
        self.assertEqual([], self.fail("x4", "j1", "w"))

    def test_a_job_that_fails_everywhere_does_not_count_against_workers(self):
        for _ in range(3):
            self.fail("x", "bad", "w1")
        self.assertTrue(self.health.is_quarantined("w1"))
        self.fail("x", "bad", "w2")
        [lifted] = self.fail("x", "bad", "w3")
        self.assertEqual(("w1", True), (lifted.worker, lifted.lifted))
        self.assertTrue(self.health.fails_everywhere("x"))
        self.assertFalse(self.health.is_quarantined("w1"))

    def test_probes_run_one_at_a_time_with_growing_delay(self):
        for number in range(3):
            self.fail(f"x{number}", f"j{number}", "w")
        self.assertIs(None, self.health.probe_due(59_999))
        self.assertEqual("w", self.health.probe_due(60_000))
        self.health.record_probe_start("w", "p")
        self.assertIs(None, self.health.probe_due(90_000))
        self.health.record_probe_end("p", 90_000)
        self.assertIs(None, self.health.probe_due(209_999))
        self.assertEqual("w", self.health.probe_due(210_000))
