import asyncio
import signal
from pathlib import Path
from types import SimpleNamespace

import testtools

from agateferry_core.support import run_async
from agateferry_standins import evacuations
from agateferry_standins.deployment import make_plan
from agateferry_standins.evacuations import (
    EvacuationCounts,
    evacuate_and_watch,
    send_until_acknowledged,
    start_counts,
)
from agateferry_standins.tests.support import MIX, RUN_ONCE, ZONE, SystemTestCase

LONG_WATCH_S = 4.0


class FakeOperator:
    """Answer with each status of a list in turn, and then with 200."""

    def __init__(self, *statuses):
        self.statuses = list(statuses)
        self.calls = []

    async def call(self, method, path):
        self.calls.append((method, path))
        return (self.statuses.pop(0) if self.statuses else 200), {}


class WatchTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        for name in ("START_BOUND_S", "WATCH_S", "POLL_INTERVAL_S"):
            self.patch(evacuations, name, 0.02)
        self.workers = [self.worker("a", 3), self.worker("b", 5)]
        self.system = SimpleNamespace(
            operator=FakeOperator(), workers=self.workers, plan=make_plan(("a", "b"), Path("none"))
        )
        self.counts = EvacuationCounts()

    def worker(self, zone, started):
        return SimpleNamespace(
            config=SimpleNamespace(zone=zone), table=SimpleNamespace(started_count=started)
        )

    def watch(self, start_at_s):
        async def start():
            await asyncio.sleep(start_at_s)
            for worker in self.workers:
                worker.table.started_count += 1

        async def main():
            await asyncio.gather(start(), evacuate_and_watch(self.system, "a", self.counts))

        run_async(main())
        return self.counts.evacuations, self.counts.started, self.counts.started_elsewhere

    def test_a_start_in_the_zone_is_counted(self):
        self.assertEqual((1, 1, 1), self.watch(0.03))

    def test_a_start_within_the_bound_is_not_counted(self):
        self.assertEqual((1, 0, 0), self.watch(0))

    def test_a_call_is_sent_again_until_it_is_acknowledged(self):
        self.system.operator.statuses = [0, 503]
        self.watch(0)
        calls = [("POST", "/v1/evacuations/a")] * 3 + [("DELETE", "/v1/evacuations/a")]
        self.assertEqual(calls, self.system.operator.calls)

    def test_a_refusal_is_not_repeated(self):
        self.system.operator.statuses = [404]
        call = send_until_acknowledged(self.system, "POST", "a")
        self.assertRaises(ValueError, run_async, call)


class EvacuatedSystemTests(SystemTestCase):
    def test_nothing_starts_before_the_readmission_also_under_new_leaders(self):
        """The leader is killed right after the acknowledgement, and all hosts once it is quiet."""

        async def test():
            load_task = self.send(MIX, 200, 20.0)
            await self.wait_for_accepted(20)
            leader = await self.system.leader(ZONE)
            await send_until_acknowledged(self.system, "POST", ZONE)
            await self.restart(leader)
            await asyncio.sleep(evacuations.START_BOUND_S)
            started = start_counts(self.system, ZONE)
            await asyncio.gather(*(self.restart(name) for name in self.system.daemons))
            await asyncio.sleep(LONG_WATCH_S)
            self.assertEqual(started, start_counts(self.system, ZONE))
            self.assertFalse(load_task.done())
            await send_until_acknowledged(self.system, "DELETE", ZONE)
            await load_task
            self.assert_all_finished()
            self.assert_clean()

        self.run_on_system(test)

    def test_a_suspended_leader_starts_nothing_when_it_resumes(self):
        async def test():
            load_task = self.send((RUN_ONCE,), 200, 20.0)
            await self.wait_for_accepted(20)
            frozen = self.freeze(await self.system.leader(ZONE))
            await self.wait_for_new_leader(frozen.plan.name)
            await send_until_acknowledged(self.system, "POST", ZONE)
            await asyncio.sleep(evacuations.START_BOUND_S)
            started = start_counts(self.system, ZONE)
            frozen.signal(signal.SIGCONT)
            await asyncio.sleep(LONG_WATCH_S)
            self.assertEqual(started, start_counts(self.system, ZONE))
            await send_until_acknowledged(self.system, "DELETE", ZONE)
            await load_task
            self.assert_clean()

        self.run_on_system(test)

    async def restart(self, name):
        daemon = self.system.daemons[name]
        await daemon.kill()
        await daemon.start()
        await self.system.wait_ready([name])
