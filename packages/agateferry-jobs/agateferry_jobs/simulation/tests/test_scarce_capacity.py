from dataclasses import replace

import testtools

from agateferry_jobs.planning.timing import LATE_FACTOR
from agateferry_jobs.planning.worker_allocation import total_need
from agateferry_jobs.simulation.day_simulation import DaySimulation
from agateferry_jobs.simulation.drawing import draw_jobs
from agateferry_jobs.simulation.policies import ALL_POLICIES, LeaderPolicy
from agateferry_jobs.simulation.report import gpu_seconds
from agateferry_jobs.simulation.scarce_loads import SCARCE_LOADS, with_demand

SEED = 1
SHORT_S = 12.0
MIN_URGENT_IN_TIME = 0.85


def in_time(outcomes):
    """Return the share of outcomes that met the objective."""
    met = [
        outcome.ended_ms is not None
        and outcome.ended_ms - outcome.job.arrival_ms
        <= outcome.job.kind.stretch * max(outcome.job.work_ms) + outcome.job.kind.target_ms
        for outcome in outcomes
    ]
    return sum(met) / len(met)


def of_kind(day, name):
    return [outcome for outcome in day.outcomes if outcome.job.kind.name == name]


def run(load, policy=None, jobs=None):
    return DaySimulation(load, jobs or draw_jobs(load, SEED), policy or LeaderPolicy(), SEED).run()


class CapacityChecked:
    """Plan as the leader does, and check that no worker gets more than it has."""

    def __init__(self):
        self._policy = LeaderPolicy()

    def plan(self, ledger, fleet, now_ms):
        plan = self._policy.plan(ledger, fleet, now_ms)
        for worker in fleet.by_service["pool"]:
            if not total_need(worker.runs).fits(worker.incarnation.capacity):
                raise AssertionError(f"{worker.incarnation.id} exceeds its capacity at {now_ms}")
        return plan


class DemandTests(testtools.TestCase):
    """Bounds that hold whatever the demand: urgent work is served and capacity is kept."""

    def test_urgent_work_is_served_at_each_demand(self):
        for multiple in (1.2, 1.6, 2.5):
            load = replace(with_demand(multiple), duration_s=SHORT_S)
            day = run(load, CapacityChecked())
            self.assertGreater(in_time(of_kind(day, "urgent")), MIN_URGENT_IN_TIME, multiple)

    def test_a_burst_of_long_jobs_does_not_delay_short_urgent_ones(self):
        load = replace(SCARCE_LOADS["uneven-burst"], duration_s=SHORT_S)
        self.assertGreater(in_time(of_kind(run(load), "urgent")), MIN_URGENT_IN_TIME)

    def test_false_durations_of_other_callers_do_not_starve_urgent_work(self):
        load = replace(with_demand(1.6), duration_s=SHORT_S)
        kinds = tuple(
            kind if kind.priority == 0 else replace(kind, estimate_error=0.95)
            for kind in load.kinds
        )
        day = run(replace(load, kinds=kinds))
        self.assertGreater(in_time(of_kind(day, "urgent")), MIN_URGENT_IN_TIME)

    def test_jobs_that_are_all_late_are_still_completed(self):
        """All clients return at once: many jobs are late, and none is dropped."""
        load = replace(with_demand(2.5), duration_s=SHORT_S)
        jobs = [replace(job, arrival_ms=0) for job in draw_jobs(load, SEED)]
        day = run(replace(load, duration_s=60.0), jobs=jobs)
        self.assertLess(in_time(day.outcomes), 0.7)
        self.assertEqual([], [outcome.job.id for outcome in day.outcomes if not outcome.ended_ms])


class LargeJobTests(testtools.TestCase):
    def test_the_largest_tenth_is_served_half_as_often_as_all(self):
        day = run(replace(with_demand(1.2), duration_s=20.0))
        for name in ("urgent", "gangs", "batch"):
            outcomes = of_kind(day, name)
            outcomes.sort(key=lambda outcome: gpu_seconds(outcome.job))
            largest = outcomes[-max(1, len(outcomes) // 10) :]
            self.assertGreaterEqual(served(largest), 0.5 * served(outcomes), name)


def served(outcomes):
    """Return the share of outcomes that ended at all, late or in time."""
    ended = [
        outcome.ended_ms is not None
        and outcome.ended_ms - outcome.job.arrival_ms
        <= LATE_FACTOR
        * (outcome.job.kind.stretch * max(outcome.job.work_ms) + outcome.job.kind.target_ms)
        for outcome in outcomes
    ]
    return sum(ended) / len(ended)


class RoomTests(testtools.TestCase):
    def test_a_day_with_room_ends_as_before(self):
        load = replace(with_demand(0.25), duration_s=SHORT_S)
        before = run(load, ALL_POLICIES["room-policy"])
        self.assertEqual(before, run(load))
