"""Urgent work within its team's guarantee begins in time, with the real leader and sound workers.

Everything runs in virtual time from a seed. The environment variables
AGATEFERRY_RECLAIM_CELL_SEEDS and AGATEFERRY_RECLAIM_CELL_FIRST_SEED set how many seeds are run, and
the first of them.
"""

import os

import testtools

from agateferry_core.support import run_virtual
from agateferry_jobs.support.sound_fleet import SoundFleet

FIRST_SEED = int(os.environ.get("AGATEFERRY_RECLAIM_CELL_FIRST_SEED", 1))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get("AGATEFERRY_RECLAIM_CELL_SEEDS", 5)))

REGRESSION_SEEDS = (11, 26)
"""Seeds in which a job of one subtask began after 3.7 s, or never."""


class ReclaimInvariantTests(testtools.TestCase):
    """An urgent job began 3.1 s after its acceptance although all workers were sound."""

    def late_jobs(self, fault_share, seeds=SEEDS):
        late = {}
        for seed in seeds:
            jobs = run_virtual(lambda loop, seed=seed: SoundFleet(loop, seed, fault_share).run())
            late |= {seed: jobs} if jobs else {}
        return late

    def test_owed_jobs_begin_in_time(self):
        """Guards against jobs that lose their guarantee to later ones of their team."""
        seeds = (*SEEDS, *REGRESSION_SEEDS)
        self.assertEqual({}, self.late_jobs(fault_share=0.0, seeds=seeds))

    def test_owed_jobs_begin_in_time_beside_orders_that_go_wrong(self):
        """Guards against waits that leave no time for an order that has to be repeated."""
        self.assertEqual({}, self.late_jobs(fault_share=0.05))
