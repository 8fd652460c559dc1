import asyncio
import math
from unittest import mock

import testtools

from agateferry_core.clock import MS_PER_S
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.tests.test_leader import LeaderCase, target
from agateferry_jobs.cell.worker_paces import LOG_INTERVAL_MS, WorkerPaces
from agateferry_jobs.ledger import Ledger, WorkerState, commands
from agateferry_jobs.ledger.specs import JobSpec, Resources, StepSpec
from agateferry_jobs.planning.paces import MIN_ELAPSED_MS, UPDATE_INTERVAL_MS, Progress
from agateferry_jobs.support import job_command, start_of, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES

SPEEDS = (0.6, 1.0, 1.6, 0.6, 1.0, 1.6)


class WorkerPacesTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        self.paces = WorkerPaces(self.ledger)
        self.paces._log = mock.Mock()
        spec = StepSpec(6, SUBTASK_RESOURCES, estimated_ms=8_000)
        starts = [start_of("j", f"0.0.{n}", on=f"w{n}") for n in range(6)]
        for command in (
            *(commands.NoteWorker(worker(f"w{n}")) for n in range(6)),
            job_command("j", spec),
            commands.StartRuns(tuple(starts), 0),
        ):
            self.ledger.apply(1, commands.encode(command))
        self.runs = {("j", start.subtask): start.run for start in starts}

    def update(self, now_ms, speeds=SPEEDS):
        """Update the estimates with the progress that runs of these speeds have made by now."""
        progress = {
            key: Progress(run, now_ms * speed / 300, now_ms)
            for (key, run), speed in zip(self.runs.items(), speeds, strict=True)
        }
        self.paces.update(lambda: progress, now_ms)

    def logged(self):
        calls = self.paces._log.info.call_args_list
        self.assertEqual(
            {events.WORKER_PACE}, {call.args[0] for call in calls} or {events.WORKER_PACE}
        )
        return [call.kwargs["worker"] for call in calls]

    def test_workers_of_unusual_pace_are_logged_once_for_each_interval(self):
        """Guards against a line for each estimate of each worker."""
        self.update(3_000)
        self.assertEqual(["w0", "w2", "w3", "w5"], sorted(self.logged()))
        for now_ms in range(4_000, 3_000 + LOG_INTERVAL_MS, UPDATE_INTERVAL_MS):
            self.update(now_ms, SPEEDS[::-1])
        self.assertEqual(4, len(self.logged()))
        self.update(3_000 + LOG_INTERVAL_MS, SPEEDS[::-1])
        self.assertEqual(8, len(self.logged()))

    def test_progress_is_read_only_when_an_update_is_due(self):
        self.update(3_000)
        before = self.paces.current
        self.update(3_000 + UPDATE_INTERVAL_MS - 1, SPEEDS[::-1])
        self.assertEqual(before, self.paces.current)

    def test_equal_workers_have_no_paces(self):
        self.update(3_000, (1.0,) * 6)
        self.assertEqual(({}, []), (self.paces.current, self.logged()))

    def test_a_worker_that_leaves_is_forgotten(self):
        self.update(3_000)
        self.assertTrue(math.log(self.paces.current["w0", 1]) > 0.25)
        gone = worker("w0", state=WorkerState.GONE)
        self.ledger.apply(1, commands.encode(commands.NoteWorker(gone)))
        self.update(4_000)
        self.assertNotIn(("w0", 1), self.paces.current)


class LeaderPacesTests(LeaderCase):
    def test_the_leader_learns_paces_from_polls(self):
        """Guards against progress that never reaches the plan; no run has ended yet."""

        async def scenario():
            for number in range(4):
                await self.heartbeat(worker(f"w{number}"))
            step = StepSpec(4, Resources(gpu=8), estimated_ms=60_000)
            await self.call(messages.Submit(target(), JobSpec("payload", (step,))))
            for number in range(4):
                await self.running_on(f"w{number}")
            await asyncio.sleep(1.2 * MIN_ELAPSED_MS / MS_PER_S)
            for number in range(4):
                self.ports[f"w{number}"].progress_percent = 5.0 + 20 * (number % 2)
            paces = self.leader._paces
            await self.until(lambda: len(paces.current) == 4, "paces of all workers")
            self.assertTrue(paces.current["w0", 1] > 1.3, paces.current)
            self.assertTrue(paces.current["w1", 1] < 0.8, paces.current)

        self.check(scenario)
