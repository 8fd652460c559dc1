from dataclasses import replace

import testtools

from agateferry_jobs.simulation.loads import BATCH, CALM, SURGE, URGENT, draw
from agateferry_jobs.simulation.policies import FirstFit, LeaderPolicy
from agateferry_jobs.simulation.report import summarize
from agateferry_jobs.simulation.tests.test_world import job
from agateferry_jobs.simulation.world import Day, Outcome, World


def summary(*outcomes):
    return summarize(Day([Outcome(*each) for each in outcomes], 0.0, 0, 0))


class EarnedTests(testtools.TestCase):
    def test_a_job_earns_less_when_late_and_nothing_when_too_late(self):
        """Gangs may take three times their 2 s and 1 s more; up to three times that is late."""
        shares = [summary((job(), ended_ms)).day for ended_ms in (7_000, 7_001, 21_001, None)]
        self.assertEqual([1.0, 0.3, 0.0, 0.0], [round(share, 6) for share in shares])

    def test_the_largest_of_a_kind_count_by_themselves(self):
        small = [(job(f"s{number}", kind=BATCH), 2_000) for number in range(9)]
        large = (job("l", count=4, kind=BATCH), None)
        self.assertEqual(0.0, summary(*small, large).by_kind["batch, largest"])

    def test_the_worst_spans_count_by_themselves(self):
        spans = [
            (replace(job(f"j{at_s}", kind=URGENT), at_ms=at_s * 1000), at_s * 1000 + took_ms)
            for at_s, took_ms in ((0, 1), (7, 1), (14, 1), (21, 99_000))
        ]
        self.assertEqual(0.5, summary(*spans).worst_windows)


class HeavyLoadTests(testtools.TestCase):
    """Days of heavy load, each over several seeds.

    The leader's plan must serve more than first come first served does, on the day, of its worst
    kind and in its worst seconds.
    """

    def mean_scores(self, load, policy, seeds=6):
        days = [
            summarize(World(load, draw(load, s), policy, s).play()) for s in range(1, seeds + 1)
        ]
        return sum(day.score for day in days) / seeds

    def test_more_is_served_than_first_come_first_served(self):
        for load in (CALM, SURGE):
            self.assertGreater(
                self.mean_scores(load, LeaderPolicy()), self.mean_scores(load, FirstFit())
            )
