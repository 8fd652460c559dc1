from dataclasses import replace

import testtools

from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.simulation.day_simulation import DaySimulation
from agateferry_jobs.simulation.drawing import SimulatedJob, draw_jobs
from agateferry_jobs.simulation.loads import BATCH, URGENT
from agateferry_jobs.simulation.policies import ABLATIONS, LeaderPolicy
from agateferry_jobs.simulation.uneven_workers import UNEVEN_QUIET, UNEVEN_WORKERS_LOADS

SEEDS = range(1, 11)
LOAD = replace(UNEVEN_QUIET, workers=12, teams=1, duration_s=12.0)
"""One rack of workers of three speeds, which are drawn anew for each seed."""
WARM_UP_MS = 8_000
SMALL = Resources(cpu=1_000, mem_mb=2_000, gpu=1)
WHOLE_WORKER = Resources(cpu=8_000, mem_mb=16_000, gpu=8)


def job(id, kind, arrival_ms, work_ms, count, need, **step):
    spec = JobSpec("payload", (StepSpec(count, need, estimated_ms=work_ms, **step),))
    return SimulatedJob(id, kind, "team-0", arrival_ms, spec, (work_ms,) * count, ())


def in_time_days(urgent, policy):
    """Return on how many days an urgent job is in time after batch jobs ran on each worker."""
    batches = [
        job(f"batch-{number}", BATCH, number * 3_500, 2_000, 96, SMALL) for number in range(2)
    ]
    return sum(is_in_time(urgent, batches, policy, seed) for seed in SEEDS)


def is_in_time(urgent, batches, policy, seed):
    day = DaySimulation(LOAD, [*batches, urgent], policy, seed).run()
    ended_ms = next(each.ended_ms for each in day.outcomes if each.job.id == urgent.id)
    objective_ms = urgent.kind.stretch * max(urgent.work_ms) + urgent.kind.target_ms
    return ended_ms is not None and ended_ms - urgent.arrival_ms <= objective_ms


class UnevenWorkersTests(testtools.TestCase):
    """An urgent job may take 1.5 times its work and 0.25 s; a slow worker takes 1.67 times it."""

    def test_urgent_work_avoids_slow_workers_that_are_known(self):
        """Guards against urgent work that starts on a slow worker while fast ones are free."""
        urgent = job("urgent", URGENT, WARM_UP_MS, 4_000, 1, WHOLE_WORKER)
        self.assertEqual(10, in_time_days(urgent, LeaderPolicy()))

    def test_a_gang_avoids_slow_members(self):
        """Guards against a gang that is late because of one member on a slow worker."""
        urgent = job("urgent", URGENT, WARM_UP_MS, 4_000, 4, WHOLE_WORKER, is_gang=True)
        self.assertEqual(10, in_time_days(urgent, LeaderPolicy()))


class EqualWorkersTests(testtools.TestCase):
    def test_a_day_is_the_same_with_and_without_paces(self):
        """Guards against plans that follow chance differences on earlier deployments."""
        load = replace(UNEVEN_WORKERS_LOADS["even"], workers=48, duration_s=20.0)
        kinds = tuple(replace(kind, per_s=kind.per_s * 0.3) for kind in load.kinds)
        load = replace(load, kinds=kinds)
        for seed in (1, 2, 3):
            jobs = draw_jobs(load, seed)
            days = [
                DaySimulation(load, jobs, policy, seed).run()
                for policy in (LeaderPolicy(), ABLATIONS["no-paces"])
            ]
            self.assertEqual(*days)
