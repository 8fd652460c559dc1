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
from agateferry_standins.report import quiet_logs
from agateferry_standins.worker import StartLog

ZONE = "vestland-1"
TIMEOUT_S = 90
ONCE = JobKind("load-reconcile", "load-desk", idempotent=False, run_ms=50, weight=1)
URGENT = JobKind("barn-count", "barn-keepers", "urgent", run_ms=20, weight=2)
GANG = JobKind("forecast", "season-desk", "long", members=4, run_ms=200, weight=0.2)
MIX = (ONCE, URGENT, GANG)


@pytest.mark.process
class SystemTestCase(testtools.TestCase):
    """Run a test on a cell of three daemons with eight workers."""

    def setUp(self):
        super().setUp()
        quiet_logs()
        folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, folder)
        self.plan = make_plan((ZONE,), Path(folder) / "run")
        self.starts = StartLog()
        self.tally = Tally()

    def on_system(self, test):
        async def main():
            async with System(self.plan, LAGERTELLER, self.starts) as self.system:
                await test()

        run_async(main(), TIMEOUT_S)

    def send(self, kinds=MIX, count=100, rate_per_s=40.0, entries=(), **load):
        to = list(entries) or [self.system.balancer.address]
        work = run_load(Load("t", kinds, count, rate_per_s, **load), to, self.tally)
        return asyncio.create_task(work)

    async def until_accepted(self, count):
        async def enough():
            return self.tally.accepted_count() >= count

        await wait_for(enough, f"{count} accepted requests")

    async def until_started(self, count):
        async def enough():
            return sum(self.starts.starts.values()) >= count

        await wait_for(enough, f"{count} starts at workers")

    async def new_leader(self, old):
        """Wait until a host of the zone other than `old` serves as its leader."""
        others = [host for host in self.plan.hosts if host.name != old]

        async def led():
            for host in others:
                _, body = await self.system.operator.call("GET", "/v1/cell", address=host.operators)
                if body.get("role") == "leader":
                    self.led_by = host.name
                    return True
            return False

        await wait_for(led, "a new leader")
        return self.led_by

    def busiest_worker(self):
        return max(self.system.workers, key=lambda worker: worker.table.started_count)

    def freeze(self, name):
        daemon = self.system.daemons[name]
        daemon.signal(signal.SIGSTOP)
        return daemon

    def assert_clean(self):
        summary = RunSummary.from_tally(self.tally, self.starts)
        troubles = [f"{r.key} {r.request_id} {r.detail}" for r in self.tally.lost_requests()]
        troubles += [*self.tally.mismatches, *self.tally.find_run_mismatches(self.starts)]
        self.assertTrue(summary.is_clean, f"{summary} {troubles[:5]}")

    def assert_all_finished(self):
        self.assertEqual(
            {str(RequestOutcome.FINISHED)},
            set(self.tally.outcome_counts()),
            str(self.tally.outcome_counts()),
        )
