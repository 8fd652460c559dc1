"""Whether a job whose data lie in a busy rack is kept idle by reservations or draining workers.

The rule is that of `support/idle_watch.py`.
"""

import testtools

from agateferry_jobs.ledger import WorkerState
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.support import job_command, worker
from agateferry_jobs.support.idle_watch import IDLE_LIMIT_MS, IdleWatch
from agateferry_jobs.support.planning_play import PLAN_INTERVAL_MS, PlanningPlay

WHOLE_WORKER = Resources(cpu=16_000, mem_mb=200, gpu=8)
LONG_MS = 600_000
WORK_MS = 5_000
ARRIVAL_MS = 1_600
"""When the second job arrives: shortly before the first one would start in any rack."""


class BusyDataRackTests(testtools.TestCase):
    """All workers of the data's rack are in use."""

    def setUp(self):
        super().setUp()
        self.play = PlanningPlay()
        self.watch = IdleWatch(self.play)

    def test_urgent_work_that_waits_for_its_data_does_not_keep_another_job_idle(self):
        """Guards against reservations of free workers by a job that does not start there yet.

        Two of six workers are in use. The urgent job stops nothing, as the others are free.
        """
        self.add_workers("a", 2)
        self.add_workers("b", 4)
        self.occupy("a0", "a1")
        self.submit("first", self.near_data(1), priority=1)
        self.play_for(ARRIVAL_MS)
        self.submit("urgent", self.near_data(4), priority=0)
        self.play_for(2 * IDLE_LIMIT_MS)
        self.assert_none_idle()

    def test_a_service_with_draining_workers_is_mostly_free(self):
        """Guards against waits by choice where the capacity of draining workers is left out.

        Three of ten workers are in use; four are draining.
        """
        self.add_workers("a", 3)
        self.add_workers("b", 3)
        self.add_workers("c", 4, state=WorkerState.DRAINING)
        self.occupy("a0", "a1", "a2")
        self.submit("first", self.near_data(1), priority=1)
        self.play_for(2 * IDLE_LIMIT_MS)
        self.assert_none_idle()

    def add_workers(self, rack, count, **fields):
        self.play.add(*(worker(f"{rack}{number}", rack, **fields) for number in range(count)))

    def occupy(self, *ids):
        self.submit("load", StepSpec(len(ids), WHOLE_WORKER), priority=0)
        on = {f"0.0.{number}": id for number, id in enumerate(ids)}
        self.play.start_on("load", on, age_ms=0, run_ms=LONG_MS)

    def near_data(self, count):
        return StepSpec(count, WHOLE_WORKER, estimated_ms=WORK_MS, data_rack="a")

    def submit(self, id, step, priority):
        self.play.submit(job_command(id, step, priority=priority, at_ms=self.play.now_ms))

    def play_for(self, duration_ms):
        for _ in range(0, duration_ms, PLAN_INTERVAL_MS):
            self.play.step()
            self.watch.observe()
            self.play.advance()

    def assert_none_idle(self):
        self.assertEqual([], [str(idle) for idle in self.watch.found])
