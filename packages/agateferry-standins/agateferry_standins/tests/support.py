import asyncio
import shutil
import signal
import tempfile
from pathlib import Path

import pytest
import testtools

from agateferry_core.support import run_async
from agateferry_standins.callers import JobKind, Load, Tally, run_load
from agateferry_standins.callers.messages import RequestOutcome
from agateferry_standins.callers.tally import RunSummary
from agateferry_standins.deployment import LAGERTELLER, System, make_plan
from agateferry_standins.deployment.system import wait_for
from agateferry_standins.report import log_warnings_only
from agateferry_standins.worker import StartLog

ZONE = "vestland-1"
TEST_TIMEOUT_S = 90
RUN_ONCE = JobKind("load-reconcile", "load-desk", idempotent=False, run_ms=50, weight=1)
URGENT = JobKind("barn-count", "barn-keepers", "urgent", run_ms=20, weight=2)
GANG = JobKind("forecast", "season-desk", "long", members=4, run_ms=200, weight=0.2)
MIX = (RUN_ONCE, URGENT, GANG)


@pytest.mark.process
class SystemTestCase(testtools.TestCase):
    """Run each test on a cell of three daemons with eight workers."""

    def setUp(self):
        super().setUp()
        log_warnings_only()
        folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, folder)
        self.plan = make_plan((ZONE,), Path(folder) / "run")
        self.start_log = StartLog()
        self.tally = Tally()

    def run_on_system(self, test):
        async def main():
            async with System(self.plan, LAGERTELLER, self.start_log) as self.system:
                await test()

        run_async(main(), TEST_TIMEOUT_S)

    def send(self, kinds=MIX, count=100, rate_per_s=40.0, entries=(), **load):
        addresses = list(entries) or [self.system.balancer.address]
        coroutine = run_load(Load("t", kinds, count, rate_per_s, **load), addresses, self.tally)
        return asyncio.create_task(coroutine)

    async def wait_for_accepted(self, count):
        async def is_reached():
            return self.tally.accepted_count() >= count

        await wait_for(is_reached, f"{count} accepted requests")

    async def wait_for_starts(self, count):
        async def is_reached():
            return sum(self.start_log.starts.values()) >= count

        await wait_for(is_reached, f"{count} starts at workers")

    async def wait_for_new_leader(self, old_leader):
        """Wait until a host of the zone other than `old_leader` leads the cell; return its name."""
        others = [host for host in self.plan.hosts if host.name != old_leader]

        async def has_leader():
            for host in others:
                _, body = await self.system.operator.call("GET", "/v1/cell", address=host.operators)
                if body.get("role") == "leader":
                    self.new_leader = host.name
                    return True
            return False

        await wait_for(has_leader, "a new leader")
        return self.new_leader

    def busiest_worker(self):
        return max(self.system.workers, key=lambda worker: worker.table.started_count)

    def freeze(self, name):
        daemon = self.system.daemons[name]
        daemon.signal(signal.SIGSTOP)
        return daemon

    def assert_clean(self):
        summary = RunSummary.from_tally(self.tally, self.start_log)
        errors = [f"{r.key} {r.request_id} {r.detail}" for r in self.tally.lost_requests()]
        errors += [*self.tally.mismatches, *self.tally.find_run_mismatches(self.start_log)]
        self.assertTrue(summary.is_clean, f"{summary} {errors[:5]}")

    def assert_all_finished(self):
        self.assertEqual(
            {str(RequestOutcome.FINISHED)},
            set(self.tally.outcome_counts()),
            str(self.tally.outcome_counts()),
        )
