import testtools

from agateferry_core.demand import Adjacency, Demand, Urgency, Worker
from agateferry_scheduling.scheduler.baseline import BaselineScheduler
from agateferry_scheduling.scheduler.messages import (
    EndReason,
    EvacuationChanged,
    PendingRequest,
    Reject,
    RejectReason,
    RequestEnded,
    RequestQueued,
    RequestWithdrawn,
    Start,
    Team,
    TeamsChanged,
    WorkerJoined,
    WorkerLost,
)


def worker(name, rack="r1"):
    return Worker(name, "z", rack, accelerators=8, cpu_cores=32, memory_mb=128_000, slots=8)


def request(name, team="t1", **demand):
    return PendingRequest(name, team, "j", Urgency.NORMAL, Demand(**demand), 1_000, 0)


class BaselineSchedulerTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.scheduler = BaselineScheduler("z")
        self.scheduler.step(TeamsChanged((Team("t1"),)), 0)
        for name, rack in (("w1", "r1"), ("w2", "r1"), ("w3", "r2")):
            self.scheduler.step(WorkerJoined(worker(name, rack)), 0)

    def test_nothing_starts_in_an_evacuated_zone(self):
        self.scheduler.step(EvacuationChanged(True), 0)
        self.assertEqual([], self.queue(request("x1")))
        started = self.scheduler.step(EvacuationChanged(False), 0)
        self.assertEqual(["x1"], [decision.request_id for decision in started])

    def queue(self, pending):
        return self.scheduler.step(RequestQueued(pending), 0)

    def workers_of(self, decisions):
        return [[a.worker for a in d.assignments] for d in decisions if isinstance(d, Start)]

    def test_a_gang_starts_whole_within_a_rack(self):
        self.queue(request("a", accelerators=8))
        decisions = self.queue(request("b", members=2, accelerators=4, adjacency=Adjacency.WORKER))
        self.assertEqual([["w2", "w2"]], self.workers_of(decisions))

    def test_an_older_request_that_does_not_fit_blocks_the_queue(self):
        self.queue(request("a", accelerators=1))
        gang = request("b", members=2, accelerators=8, adjacency=Adjacency.RACK)
        self.assertEqual([], self.queue(gang))
        self.assertEqual([], self.queue(request("c")))
        ended = self.scheduler.step(RequestEnded("a", EndReason.FINISHED, 5), 5)
        self.assertEqual([["w1", "w2"], ["w1"]], self.workers_of(ended))

    def test_an_infeasible_request_is_rejected_at_once(self):
        [reject] = self.queue(request("a", accelerators=9))
        self.assertEqual(RejectReason.INFEASIBLE, reject.reason)
        [reject] = self.queue(request("b", team="nobody"))
        self.assertIsInstance(reject, Reject)
        self.assertEqual(RejectReason.UNKNOWN_TEAM, reject.reason)

    def test_a_withdrawn_request_does_not_start(self):
        self.queue(request("a", members=3, accelerators=8))
        self.queue(request("b"))
        self.scheduler.step(RequestWithdrawn("b"), 1)
        self.assertEqual([], self.scheduler.step(RequestEnded("a", EndReason.FINISHED, 5), 5))

    def test_a_lost_worker_gets_no_work(self):
        self.scheduler.step(WorkerLost("w1"), 1)
        self.assertEqual([["w2"]], self.workers_of(self.queue(request("a"))))
        self.assertEqual("running", self.scheduler.explain("a", 1).state)
