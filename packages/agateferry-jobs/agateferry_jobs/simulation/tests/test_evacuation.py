from dataclasses import replace

import testtools

from agateferry_jobs.ledger.specs import Resources
from agateferry_jobs.simulation.day_simulation import TIME_STEP_MS
from agateferry_jobs.simulation.faults import FaultSchedule, ZoneEvacuation, zone_of
from agateferry_jobs.simulation.tests.test_day_simulation import LOAD, ended, job

RACKS = {"w0": "r0", "w1": "r1", "w2": "r2", "w3": "r3"}
EVACUATION = ZoneEvacuation(1.0, 4.0, zone=1, cold_s=2.0, slowdown=4.0)


def evacuated(*evacuations):
    """Return a load of one worker, which is in zone 0."""
    return replace(LOAD, workers=1, zones=2, evacuations=evacuations)


class EvacuationScheduleTests(testtools.TestCase):
    def test_a_zone_holds_every_so_many_racks(self):
        zones = {id: zone_of(rack, zones=2) for id, rack in RACKS.items()}
        self.assertEqual({"w0": "z0", "w1": "z1", "w2": "z0", "w3": "z1"}, zones)

    def test_a_zone_is_evacuated_for_a_time(self):
        schedule = FaultSchedule(RACKS, (), (), (), (EVACUATION,), zones=2)
        times_ms = (999, 1_000, 4_999, 5_000)
        found = [schedule.evacuated_zones(now_ms) for now_ms in times_ms]
        self.assertEqual([set(), {"z1"}, {"z1"}, set()], found)

    def test_the_zone_is_cold_after_its_evacuation_only(self):
        schedule = FaultSchedule(RACKS, (), (), (), (EVACUATION,), zones=2)
        speeds = [schedule.speeds(now_ms)["w1"] for now_ms in (4_999, 5_000, 6_999, 7_000)]
        self.assertEqual([1.0, 0.25, 0.25, 1.0], speeds)
        self.assertEqual(1.0, schedule.speeds(5_000)["w0"])
        cold = [schedule.cold(now_ms) for now_ms in (4_999, 5_000, 6_999, 7_000)]
        self.assertEqual([set(), {"w1", "w3"}, {"w1", "w3"}, set()], cold)


class EvacuatedZoneTests(testtools.TestCase):
    def test_nothing_starts_there_until_it_is_readmitted(self):
        load = evacuated(ZoneEvacuation(0.0, 3.0, zone=0))
        self.assertAlmostEqual(5_000, ended(job(), load=load)["j"], delta=3 * TIME_STEP_MS)

    def test_runs_that_are_there_go_on(self):
        load = evacuated(ZoneEvacuation(0.5, 9.0, zone=0))
        self.assertAlmostEqual(2_000, ended(job(), load=load)["j"], delta=2 * TIME_STEP_MS)

    def test_runs_on_cold_workers_take_longer(self):
        load = evacuated(ZoneEvacuation(0.0, 1.0, zone=0, cold_s=60.0, slowdown=3.0))
        self.assertAlmostEqual(7_000, ended(job(), load=load)["j"], delta=4 * TIME_STEP_MS)

    def test_work_goes_to_the_other_zones(self):
        load = replace(evacuated(ZoneEvacuation(0.0, 9.0, zone=0)), workers=2, workers_per_rack=1)
        jobs = [job("a"), job("b", need=Resources(cpu=8_000, mem_mb=16_000, gpu=1))]
        ends = ended(*jobs, load=load)
        self.assertAlmostEqual(4_000, max(ends.values()), delta=4 * TIME_STEP_MS)
