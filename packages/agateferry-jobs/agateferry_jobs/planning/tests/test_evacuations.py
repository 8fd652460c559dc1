import msgspec

from agateferry_jobs.ledger import commands
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.planning import Fleet, Planner
from agateferry_jobs.planning.tests.test_planner import WHOLE_WORKER, PlannerCase
from agateferry_jobs.support import job_command, manifest, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES

ZONE, OTHER = "zone-a", "zone-b"


class EvacuatedZoneTests(PlannerCase):
    def evacuate(self, zone=ZONE):
        self.apply(commands.EvacuateZone(zone, 0))

    def test_no_worker_of_an_evacuated_zone_is_offered(self):
        self.add(worker("w1"), worker("w2", zone=OTHER))
        self.evacuate()
        self.apply(job_command("j", StepSpec(2, WHOLE_WORKER)))
        self.assertEqual({("j", "0.0.0"): "w2"}, self.placed())
        self.apply(commands.ReadmitZone(ZONE, 1))
        self.assertEqual({("j", "0.0.1"): "w1"}, self.placed())

    def test_a_gang_does_not_count_on_the_zone(self):
        self.add(worker("w1"), worker("w2", zone=OTHER))
        self.evacuate()
        self.apply(job_command("j", StepSpec(2, WHOLE_WORKER, is_gang=True)))
        self.assertEqual({}, self.placed())

    def test_a_gang_does_not_wait_for_a_rack_of_the_zone(self):
        """A rack with workers that are silent counts as one that may return; this one does not."""
        self.add(worker("w1", "r1"), worker("w2", "r1"))
        self.add(worker("w3", "r2", zone=OTHER), worker("w4", "r3", zone=OTHER))
        self.evacuate()
        self.apply(job_command("j", StepSpec(2, WHOLE_WORKER, is_gang=True, same_rack=True)))
        self.assertEqual({"w3", "w4"}, {*self.placed().values()})

    def test_no_subtask_waits_for_its_data_rack_in_the_zone(self):
        self.add(worker("w1", "r1"), worker("w2", "r2", zone=OTHER))
        self.evacuate()
        step = StepSpec(1, SUBTASK_RESOURCES, estimated_ms=5000, data_rack="r1")
        self.apply(job_command("j", step))
        self.assertEqual({("j", "0.0.0"): "w2"}, self.placed())

    def test_nothing_is_preempted_in_the_zone(self):
        self.add(worker("w1"))
        self.apply(job_command("low", StepSpec(1, WHOLE_WORKER), priority=1))
        self.assertEqual({("low", "0.0.0"): "w1"}, self.placed())
        self.evacuate()
        self.apply(job_command("urgent", StepSpec(1, WHOLE_WORKER), priority=0))
        self.assertEqual([], self.plan().stops)
        self.apply(commands.ReadmitZone(ZONE, 1))
        self.assertEqual(1, len(self.plan().stops))

    def test_with_all_zones_evacuated_nothing_starts_and_nothing_fails(self):
        self.add(worker("w1"), worker("w2", zone=OTHER))
        self.evacuate(ZONE)
        self.evacuate(OTHER)
        self.apply(job_command("j"))
        plan = self.plan()
        self.assertEqual(([], [], {}), (plan.starts, plan.stops, plan.errors))


class ColdWorkerTests(PlannerCase):
    def test_urgent_work_prefers_warm_workers(self):
        """The cold worker is the fuller one, which is taken first otherwise."""
        self.add(worker("cold"), is_cold=True)
        self.apply(job_command("first", StepSpec(1, SUBTASK_RESOURCES)))
        self.assertEqual({("first", "0.0.0"): "cold"}, self.placed())
        self.add(worker("warm"))
        self.apply(job_command("urgent", StepSpec(1, SUBTASK_RESOURCES), priority=0))
        self.apply(job_command("other", StepSpec(1, SUBTASK_RESOURCES), priority=1))
        placed = self.placed()
        self.assertEqual("warm", placed[("urgent", "0.0.0")])
        self.assertEqual("cold", placed[("other", "0.0.0")])

    def test_an_urgent_gang_prefers_the_rack_with_warm_workers(self):
        self.add(worker("w1", "r1"), worker("w2", "r1"), is_cold=True)
        self.add(worker("w3", "r2"), worker("w4", "r2"))
        step = StepSpec(2, WHOLE_WORKER, is_gang=True, same_rack=True)
        self.apply(job_command("urgent", step, priority=0))
        self.assertEqual({"w3", "w4"}, {*self.placed().values()})

    def test_urgent_work_takes_a_cold_worker_where_no_other_has_room(self):
        self.add(worker("cold"), is_cold=True)
        self.apply(job_command("urgent", priority=0))
        self.assertEqual({("urgent", "0.0.0"): "cold"}, self.placed())

    def test_a_start_on_a_cold_worker_is_marked(self):
        self.add(worker("cold"), is_cold=True)
        self.apply(job_command("j"))
        self.assertTrue(self.plan().starts[0].is_cold)
        self.add(worker("cold"))
        self.assertFalse(self.plan().starts[0].is_cold)


class AllowedRegionTests(PlannerCase):
    regions = {ZONE: "north", OTHER: "south"}

    def plan(self, now_ms=0):
        fleet = Fleet.from_ledger(self.ledger, self.health, self.stopping, self.regions)
        return Planner(self.ledger, fleet, now_ms).plan()

    def allow(self, *regions):
        each, *others = manifest(2).queues
        queues = (msgspec.structs.replace(each, allowed_regions=regions), *others)
        self.apply(commands.PutManifest(msgspec.structs.replace(manifest(2), queues=queues)))

    def test_only_workers_in_an_allowed_region_are_offered(self):
        self.add(worker("w1"), worker("w2", zone=OTHER))
        self.allow("south")
        self.apply(job_command("j", StepSpec(2, WHOLE_WORKER)))
        self.assertEqual({("j", "0.0.0"): "w2"}, self.placed())

    def test_a_job_whose_regions_have_no_worker_waits(self):
        self.add(worker("w1"), worker("w3", zone="zone-that-the-settings-do-not-name"))
        self.allow("south", "east")
        self.apply(job_command("j"))
        self.assertEqual({}, self.placed())
        self.add(worker("w2", zone=OTHER))
        self.assertEqual({("j", "0.0.0"): "w2"}, self.placed())

    def test_another_queue_of_the_same_shape_uses_all_workers(self):
        self.add(worker("w1"))
        self.allow("south")
        self.apply(job_command("j"))
        self.apply(msgspec.structs.replace(job_command("k"), queue="other-queue"))
        self.assertEqual({("k", "0.0.0"): "w1"}, self.placed())

    def test_without_known_regions_all_workers_are_offered(self):
        """Settings of earlier deployments map no zones; their jobs must not wait for good."""
        self.regions = {}
        self.add(worker("w1"))
        self.allow("south")
        self.apply(job_command("j"))
        self.assertEqual({("j", "0.0.0"): "w1"}, self.placed())
