from dataclasses import replace

import testtools

from agateferry_jobs.simulation.loads import (
    CALM,
    GANGS,
    LOADS,
    SURGE,
    WORKER_ROOM,
    draw,
)


class DrawTests(testtools.TestCase):
    def test_a_seed_gives_the_same_jobs(self):
        self.assertEqual(draw(CALM, 3), draw(CALM, 3))
        self.assertNotEqual(draw(CALM, 3), draw(CALM, 4))

    def test_jobs_come_at_their_rate_and_in_order(self):
        load = replace(CALM, kinds=(replace(GANGS, per_s=2.0),), length_s=500.0)
        times = [job.at_ms for job in draw(load, 1)]
        self.assertEqual(sorted(times), times)
        self.assertTrue(900 < len(times) < 1100, len(times))

    def test_a_surge_brings_more(self):
        surge = SURGE.surges[0]
        days = [draw(replace(load, length_s=10), seed) for load in (CALM, SURGE) for seed in (1, 2)]
        inside = [
            sum(surge.at_s <= job.at_ms / 1000 < surge.at_s + surge.for_s for job in day)
            for day in days
        ]
        self.assertLess(sum(inside[:2]), sum(inside[2:]))

    def test_every_gang_fits_into_half_a_rack(self):
        for name, load in LOADS.items():
            for job in draw(load, 5):
                step = job.spec.steps[0]
                self.assertTrue(step.need.fits(WORKER_ROOM), name)
                if step.is_gang:
                    on_one = WORKER_ROOM.gpu // step.need.gpu
                    self.assertLessEqual(step.count, load.workers_per_rack // 2 * on_one)
