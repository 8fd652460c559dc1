from collections import Counter

import testtools

from agateferry_jobs.simulation.drawing import draw_jobs
from agateferry_jobs.simulation.scarce_loads import (
    SCARCE_LOADS,
    TEAM_WEIGHTS,
    drawn_demand,
    with_demand,
)

SEEDS = range(1, 11)


class DemandTests(testtools.TestCase):
    def test_the_drawn_demand_is_the_stated_one(self):
        for multiple in (0.6, 1.2, 1.6, 2.5):
            load = with_demand(multiple)
            drawn = [drawn_demand(load, draw_jobs(load, seed)) for seed in SEEDS]
            self.assertAlmostEqual(multiple, sum(drawn) / len(drawn), delta=0.12 * multiple)

    def test_the_largest_team_submits_many_times_as_many_jobs_as_the_smallest(self):
        load = SCARCE_LOADS["uneven-1.6"]
        counts = Counter(job.team for seed in SEEDS for job in draw_jobs(load, seed))
        self.assertEqual("team-0", counts.most_common(1)[0][0])
        smallest = f"team-{len(TEAM_WEIGHTS) - 1}"
        self.assertTrue(8 < counts["team-0"] / counts[smallest] < 32, counts)
