import testtools

from agateferry_scheduling.placement.compaction import best_move
from agateferry_scheduling.scheduler.messages import (
    EndReason,
    Preempt,
    RequestEnded,
    RequestWithdrawn,
    Start,
    Tick,
)
from agateferry_scheduling.scheduler.tests.support import make_scheduler, of_type, queue, request

HOUR_MS = 3_600_000


class CompactionTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.zone = make_scheduler(racks=1, per_rack=3)
        for name in ("x1", "y1", "x2", "y2"):
            queue(self.zone, request(name, accelerators=4, checkpointable=True, run_ms=HOUR_MS))
        for name in ("x1", "x2"):
            self.zone.step(RequestEnded(name, EndReason.FINISHED, 1), 1_000)

    def begin(self):
        [preempt] = of_type(self.zone.step(Tick(), HOUR_MS), Preempt)
        return preempt

    def end(self, name):
        return self.zone.step(RequestEnded(name, EndReason.PREEMPTED, 1), HOUR_MS + 2_000)

    def test_two_half_used_workers_become_one(self):
        move = best_move(self.zone.zone.topology, HOUR_MS, {}, 0)
        topology = self.zone.zone.topology
        [target] = move.member_counts
        self.assertEqual(4, topology.workers[target].free_accelerators)
        self.assertTrue(move.gain > 0)

    def test_moved_work_resumes_on_its_target(self):
        preempt = self.begin()
        self.assertEqual(preempt.request_id, preempt.for_request_id)
        self.assertEqual([], of_type(self.end(preempt.request_id), Start))
        pending = request(preempt.request_id, accelerators=4, checkpointable=True)
        [start] = of_type(queue(self.zone, pending, HOUR_MS + 2_000), Start)
        [name] = {a.worker for a in start.assignments}
        self.assertEqual(0, self.zone.zone.topology.workers[name].free_accelerators)

    def test_a_cancelled_move_frees_its_target(self):
        preempt = self.begin()
        self.zone.step(RequestEnded(preempt.request_id, EndReason.CANCELLED, 1), HOUR_MS + 1)
        self.zone.step(RequestWithdrawn(preempt.request_id), HOUR_MS + 1)
        self.assertEqual(20, self.zone.zone.topology.free_accelerators)

    def test_work_without_checkpoints_is_not_moved(self):
        zone = make_scheduler(racks=1, per_rack=3)
        for name in ("x1", "y1", "x2", "y2"):
            queue(zone, request(name, accelerators=4))
        for name in ("x1", "x2"):
            zone.step(RequestEnded(name, EndReason.FINISHED, 1), 1_000)
        self.assertIs(None, best_move(zone.zone.topology, HOUR_MS, {}, 0))
