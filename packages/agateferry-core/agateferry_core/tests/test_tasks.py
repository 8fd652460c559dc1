import asyncio

import testtools

from agateferry_core.support import VirtualLoop
from agateferry_core.tasks import observe_loop_delay, repeat


class RepeatTests(testtools.TestCase):
    def test_a_failing_step_is_reported_and_the_next_one_follows(self):
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        times, errors = [], []

        async def step():
            times.append(loop.now_ms())
            if len(times) == 2:
                raise ValueError("second")

        async def main():
            task = asyncio.create_task(repeat(step, 100, errors.append))
            await asyncio.sleep(0.35)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            self.assertTrue(task.cancelled())

        loop.run_until_complete(main())
        self.assertEqual([0, 100, 200, 300], times)
        self.assertEqual(["second"], [str(error) for error in errors])


class LoopDelayTests(testtools.TestCase):
    def test_reports_how_long_other_work_holds_the_loop(self):
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        delays = []

        async def main():
            task = asyncio.create_task(observe_loop_delay(delays.append, 100))
            await asyncio.sleep(0.15)
            loop.elapsed_s += 0.25
            await asyncio.sleep(0.1)
            task.cancel()

        loop.run_until_complete(main())
        self.assertEqual([0.0, 0.2], [round(delay, 3) for delay in delays[:2]])
