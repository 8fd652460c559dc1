import time

from prometheus_client import REGISTRY
from structlog.testing import capture_logs

from agateferry_jobs.cell import events
from agateferry_jobs.cell.plan_loop import SLOW_PLAN_MS
from agateferry_jobs.cell.tests.test_leader import LeaderCase
from agateferry_jobs.support import worker


def plans_observed():
    return REGISTRY.get_sample_value("agateferry_jobs_plan_seconds_count")


class PlanMetricsTests(LeaderCase):
    """Operators must be able to tell that plans hold the leader's loop."""

    def lines_of_plans_that_take(self, plan_s):
        lines = []

        async def scenario():
            make_plan = self.leader._make_plan

            def slow_plan(limits):
                time.sleep(plan_s)
                return make_plan(limits)

            self.leader._make_plan = slow_plan
            before = plans_observed()
            with capture_logs() as logs:
                await self.heartbeat(worker("w1"))
                await self.until(lambda: plans_observed() > before, "a plan is observed")
            lines.extend(line for line in logs if line["number"] == events.PLAN_SLOW.number)

        self.check(scenario)
        return lines

    def test_a_slow_plan_is_logged_with_its_size(self):
        first, *_ = self.lines_of_plans_that_take(2 * SLOW_PLAN_MS / 1000)
        self.assertGreaterEqual(first["took_ms"], SLOW_PLAN_MS)
        self.assertEqual((0, 1), (first["jobs"], first["workers"]))

    def test_a_fast_plan_is_only_counted(self):
        self.assertEqual([], self.lines_of_plans_that_take(0.0))
