from dataclasses import replace

import testtools

from agateferry_jobs.simulation.day_simulation import DayResult, DaySimulation, JobOutcome
from agateferry_jobs.simulation.drawing import draw_jobs
from agateferry_jobs.simulation.loads import BATCH, CALM, SURGE, URGENT, Goal
from agateferry_jobs.simulation.policies import FirstFit, LeaderPolicy
from agateferry_jobs.simulation.report import summarize
from agateferry_jobs.simulation.tests.test_day_simulation import job


def summary(*outcomes):
    return summarize(DayResult([JobOutcome(*each) for each in outcomes], 0.0, 0, 0))


class EarnedShareTests(testtools.TestCase):
    def test_a_job_earns_less_when_late_and_nothing_when_too_late(self):
        """Gangs may take three times their 2 s and 1 s more; up to three times that is late."""
        shares = [summary((job(), ended_ms)).day_share for ended_ms in (7_000, 7_001, 21_001, None)]
        self.assertEqual([1.0, 0.3, 0.0, 0.0], [round(share, 6) for share in shares])

    def test_the_share_in_time_counts_jobs_and_not_their_worth(self):
        ends_ms = (7_000, 7_001, None)
        jobs = [(job(f"g{count}", count=count), end) for count, end in enumerate(ends_ms, start=1)]
        found = summary(*jobs, (job("b", kind=BATCH), 1_000))
        self.assertEqual({"gangs": 1 / 3, "batch": 1.0}, found.in_time)

    def test_the_largest_jobs_of_a_kind_count_separately(self):
        small = [(job(f"s{number}", kind=BATCH), 2_000) for number in range(9)]
        large = (job("l", count=4, kind=BATCH), None)
        self.assertEqual(0.0, summary(*small, large).by_kind["batch, largest"])

    def test_the_worst_windows_count_separately(self):
        arrivals = [
            (replace(job(f"j{at_s}", kind=URGENT), arrival_ms=at_s * 1000), at_s * 1000 + took_ms)
            for at_s, took_ms in ((0, 1), (7, 1), (14, 1), (21, 99_000))
        ]
        self.assertEqual(0.5, summary(*arrivals).worst_windows)


class GoalTests(testtools.TestCase):
    def test_the_worst_zone_and_team_and_lost_work_count_as_the_goal_says(self):
        outcomes = [
            JobOutcome(replace(job("a"), zone=0, team="team-0"), 2_000),
            JobOutcome(replace(job("b"), zone=1, team="team-1"), None),
        ]
        day = DayResult(outcomes, 0.0, 0, 0, wasted_core_s=10.0)
        goal = Goal(day=0.0, windows=0.0, kind=0.0, zone=0.5, team=0.5)
        self.assertEqual((0.0, 0.0), (summarize(day, goal).worst_zone, summarize(day).worst_team))
        served = DayResult(outcomes[:1], 0.0, 0, 0, wasted_core_s=10.0)
        priced = summarize(served, replace(goal, waste_price=0.01))
        self.assertAlmostEqual(1.0 - priced.waste_price, priced.score)
        self.assertTrue(priced.waste_price > 0)


class HeavyLoadTests(testtools.TestCase):
    """The mean score over several seeds of days with a heavy load.

    The leader's plan must score higher than first come, first served; the score includes the worst
    kind of jobs and the worst windows.
    """

    def mean_scores(self, load, policy, seeds=6):
        days = [
            summarize(DaySimulation(load, draw_jobs(load, s), policy, s).run())
            for s in range(1, seeds + 1)
        ]
        return sum(day.score for day in days) / seeds

    def test_the_leader_scores_higher_than_first_come_first_served(self):
        for load in (CALM, SURGE):
            self.assertGreater(
                self.mean_scores(load, LeaderPolicy()), self.mean_scores(load, FirstFit())
            )
