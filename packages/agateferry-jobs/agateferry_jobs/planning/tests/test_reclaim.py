"""Urgent work within its team's guarantee begins in time on random busy fleets, by plans alone.

The environment variables AGATEFERRY_RECLAIM_SEEDS and AGATEFERRY_RECLAIM_FIRST_SEED set how many
seeds are played, and the first of them.
"""

import os

import testtools

from agateferry_jobs.support.reclaim_scenarios import ReclaimScenario

FIRST_SEED = int(os.environ.get("AGATEFERRY_RECLAIM_FIRST_SEED", 1))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get("AGATEFERRY_RECLAIM_SEEDS", 10)))
REGRESSION_SEEDS = (34,)
"""Seeds beyond the first ten in which a job began too late."""
LIMIT_MS = 2_700
"""The shortest time after its acceptance within which a platform requires such a job to begin."""
REPEATED_STOPS = 0.05


class ReclaimTests(testtools.TestCase):
    """A job for one whole worker began 3.1 s after its acceptance within its team's guarantee."""

    def late_jobs(self, repeated_stops):
        late = []
        for seed in (*SEEDS, *REGRESSION_SEEDS):
            scenario = ReclaimScenario(seed, LIMIT_MS, repeated_stops)
            scenario.play_to_end()
            late += [(seed, each) for each in scenario.late]
        return late

    def test_a_job_accepted_within_the_guarantee_begins_in_time(self):
        """Guards against jobs that lose their guarantee to later ones of their team."""
        self.assertEqual([], self.late_jobs(repeated_stops=0.0))

    def test_the_same_beside_stops_that_have_to_be_repeated(self):
        self.assertEqual([], self.late_jobs(REPEATED_STOPS))
