from dataclasses import replace

import testtools

from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.simulation.day_simulation import DaySimulation
from agateferry_jobs.simulation.drawing import draw_jobs
from agateferry_jobs.simulation.faults import ZoneEvacuation
from agateferry_jobs.simulation.loads import GANGS
from agateferry_jobs.simulation.policies import LeaderPolicy
from agateferry_jobs.simulation.tests.test_day_simulation import LOAD, job
from agateferry_jobs.simulation.uneven_teams import UNEVEN_TEAMS


class UnevenTeamsTests(testtools.TestCase):
    def test_two_gang_members_of_middle_priority_never_share_a_worker(self):
        need_mb = UNEVEN_TEAMS.kind_named("gangs").mem_mb
        self.assertGreater(2 * need_mb, UNEVEN_TEAMS.capacity.mem_mb)

    def test_gangs_that_need_one_rack_fill_half_of_it_and_others_may_be_wider(self):
        gangs = [job for job in draw_jobs(UNEVEN_TEAMS, 1) if job.kind.name == "gangs"]
        widths = {True: [], False: []}
        for gang in gangs:
            widths[gang.spec.steps[0].same_rack].append(len(gang.work_ms))
        rack = UNEVEN_TEAMS.workers_per_rack
        self.assertEqual(rack // 2, max(widths[True]))
        self.assertTrue(rack < max(widths[False]) <= 2 * rack, widths)


class StrandedGpusTests(testtools.TestCase):
    def mean(self, load, *jobs):
        """Return the mean over samples at 0 and 1 s; nothing is sampled after the last arrival."""
        last = replace(job("last"), arrival_ms=1_500)
        return DaySimulation(load, [*jobs, last], LeaderPolicy(), seed=1).run().stranded_gpus

    def test_accelerators_beside_used_up_memory_are_stranded_while_work_waits(self):
        load = replace(LOAD, workers=1, duration_s=2.0)
        need = Resources(load.capacity.cpu, load.capacity.mem_mb, gpu=1)
        jobs = [job(id, kind=GANGS, need=need, work_ms=5_000) for id in ("a", "b")]
        self.assertEqual(load.capacity.gpu - 1, self.mean(load, *jobs))

    def test_accelerators_that_nothing_waits_for_are_not_stranded(self):
        load = replace(LOAD, workers=1, duration_s=2.0)
        need = Resources(load.capacity.cpu, load.capacity.mem_mb, gpu=1)
        self.assertEqual(0, self.mean(load, job("a", need=need, work_ms=5_000)))

    def test_a_worker_of_an_evacuated_zone_is_left_out(self):
        """Guards against counting what is free on workers on which nothing may start."""
        evacuation = ZoneEvacuation(0.5, 9.0, zone=0)
        load = replace(LOAD, workers=1, duration_s=2.0, evacuations=(evacuation,))
        need = Resources(load.capacity.cpu, load.capacity.mem_mb, gpu=1)
        jobs = [job(id, kind=GANGS, need=need, work_ms=5_000) for id in ("a", "b")]
        self.assertEqual((load.capacity.gpu - 1) / 2, self.mean(load, *jobs))
