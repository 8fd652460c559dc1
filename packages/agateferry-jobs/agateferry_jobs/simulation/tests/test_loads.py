from dataclasses import replace

import testtools

from agateferry_jobs.simulation.drawing import draw_jobs
from agateferry_jobs.simulation.loads import CALM, GANGS, LOADS, SURGE


class DrawJobsTests(testtools.TestCase):
    def test_a_seed_gives_the_same_jobs(self):
        self.assertEqual(draw_jobs(CALM, 3), draw_jobs(CALM, 3))
        self.assertNotEqual(draw_jobs(CALM, 3), draw_jobs(CALM, 4))

    def test_jobs_arrive_at_their_rate_and_in_order(self):
        load = replace(CALM, kinds=(replace(GANGS, per_s=2.0),), duration_s=500.0)
        times = [job.arrival_ms for job in draw_jobs(load, 1)]
        self.assertEqual(sorted(times), times)
        self.assertTrue(900 < len(times) < 1100, len(times))

    def test_more_jobs_arrive_in_a_surge(self):
        surge = SURGE.surges[0]
        days = [
            draw_jobs(replace(load, duration_s=10), seed)
            for load in (CALM, SURGE)
            for seed in (1, 2)
        ]
        inside = [
            sum(
                surge.start_s <= job.arrival_ms / 1000 < surge.start_s + surge.duration_s
                for job in day
            )
            for day in days
        ]
        self.assertLess(sum(inside[:2]), sum(inside[2:]))

    def test_every_gang_fits_into_half_a_rack(self):
        for name, load in LOADS.items():
            for job in draw_jobs(load, 5):
                step = job.spec.steps[0]
                self.assertTrue(step.need.fits(load.capacity), name)
                if step.is_gang:
                    per_worker = load.capacity.gpu // step.need.gpu
                    self.assertLessEqual(step.count, load.workers_per_rack // 2 * per_worker)
