import testtools

from agateferry_core.demand import Demand, Urgency
from agateferry_scheduling.preemption.victims import plan_preemption
from agateferry_scheduling.scheduler.messages import SchedulingConfig
from agateferry_scheduling.scheduler.tests.support import make_scheduler, queue, request

NOW_MS = 1_000_000


class PreemptionPlanTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        config = SchedulingConfig(urgent_headroom_slots=0)
        self.zone = make_scheduler(per_rack=1, config=config)

    def fill(self, *pendings):
        for pending in pendings:
            queue(self.zone, pending, pending.submitted_ms)

    def plan(self, demand, allowed=lambda allocation: True):
        topology = self.zone.zone.topology
        state = topology.workers["w0"]
        return plan_preemption(topology, state, demand, demand.members, allowed, NOW_MS)

    def victims(self, plan):
        return sorted(victim.request.request_id for victim in plan.victims)

    def test_victims_lose_the_least_work(self):
        self.fill(
            request("old", accelerators=4),
            request("saved", accelerators=2, checkpointable=True),
            request("new", accelerators=2, at_ms=NOW_MS - 1_000),
        )
        self.assertEqual(["new"], self.victims(self.plan(Demand(accelerators=2))))
        self.assertEqual(["new", "saved"], self.victims(self.plan(Demand(accelerators=4))))

    def test_a_victim_that_is_not_needed_keeps_running(self):
        self.fill(
            request("small", accelerators=1, at_ms=NOW_MS - 1),
            request("large", accelerators=7, at_ms=NOW_MS - 500),
        )
        self.assertEqual(["large"], self.victims(self.plan(Demand(accelerators=7))))

    def test_urgent_work_is_preempted_last(self):
        self.fill(
            request("u", urgency=Urgency.URGENT, accelerators=4, at_ms=NOW_MS - 1),
            request("long", accelerators=4),
        )
        self.assertEqual(["long"], self.victims(self.plan(Demand(accelerators=4))))

    def test_work_that_is_not_preemptible_is_no_victim(self):
        self.fill(request("pinned", accelerators=8, preemptible=False))
        self.assertIs(None, self.plan(Demand(accelerators=1)))

    def test_nothing_stops_where_the_demand_fits(self):
        self.assertEqual([], self.victims(self.plan(Demand(accelerators=8))))
