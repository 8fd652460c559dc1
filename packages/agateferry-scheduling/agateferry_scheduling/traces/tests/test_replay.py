import tempfile
from pathlib import Path

import testtools

from agateferry_core.demand import Adjacency, Assignment, Demand, Urgency
from agateferry_scheduling.scheduler.messages import (
    EndReason,
    EvacuationChanged,
    RequestEnded,
    RequestQueued,
    RequestWithdrawn,
    TeamsChanged,
    Tick,
    WorkerJoined,
)
from agateferry_scheduling.scheduler.tests.support import request, team, worker
from agateferry_scheduling.traces.cluster import Cluster, InvariantError
from agateferry_scheduling.traces.recorder import Recorder
from agateferry_scheduling.traces.records import (
    Cancelled,
    Ended,
    Submitted,
    TeamsSet,
    TraceError,
    WorkerUp,
    merge_run_times,
    read_trace,
)
from agateferry_scheduling.traces.replay import Policy, replay
from agateferry_scheduling.traces.report import percentiles_of

ZONE = [TeamsSet(0, (team("a"),)), WorkerUp(0, worker("w0")), WorkerUp(0, worker("w1"))]


def temporary_folder(case):
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    return Path(folder.name)


def submitted(name, at_ms, run_ms, **fields):
    return Submitted(at_ms, request(name, at_ms=at_ms, **fields), run_ms)


class ReplayTests(testtools.TestCase):
    def test_completion_waiting_and_utilization_are_measured(self):
        records = [
            *ZONE,
            submitted("x1", 0, 100_000, members=2, accelerators=8),
            submitted("x2", 50_000, 10_000, members=2, accelerators=8),
            Cancelled(200_000, "nobody"),
        ]
        report = replay(records, Policy.BASELINE)
        self.assertEqual((2, 2, 0), (report.submitted, report.finished, report.unfinished))
        self.assertEqual(100_000, report.completion[Urgency.NORMAL].p99_ms)
        self.assertEqual(60_000, report.completion[Urgency.NORMAL].median_ms)
        self.assertEqual(50_000, report.large_longest_wait_ms)
        self.assertEqual(55.0, report.utilization_pct)

    def test_scattered_free_accelerators_count_as_stranded(self):
        records = [
            *ZONE,
            submitted("x1", 0, 10_000, accelerators=4),
            submitted("x2", 0, 100_000, accelerators=4),
            submitted("x3", 0, 100_000, accelerators=4),
            Cancelled(110_000, "nobody"),
        ]
        report = replay(records, Policy.BASELINE)
        self.assertEqual(20.45, round(report.fragmentation_pct, 2))

    def test_a_cancelled_request_is_neither_finished_nor_lost(self):
        records = [*ZONE, submitted("x1", 0, 90_000, accelerators=8), Cancelled(30_000, "x1")]
        report = replay(records, Policy.FAIR)
        self.assertEqual((0, 1, 0.0), (report.finished, report.cancelled, report.lost_pct))

    def test_a_late_urgent_start_is_counted(self):
        records = [
            *ZONE,
            submitted("x1", 0, 10_000, members=16, preemptible=False),
            submitted("u1", 1_000, 1_000, urgency=Urgency.URGENT),
        ]
        report = replay(records, Policy.BASELINE)
        self.assertEqual((1, 1), (report.urgent_starts, report.urgent_late))

    def test_a_report_prints_its_measures(self):
        text = replay([*ZONE, submitted("x1", 0, 1_000)], Policy.FAIR, name="tiny").table()
        self.assertIn("tiny under fair", text)
        self.assertIn("fragmentation", text)

    def test_equal_traces_give_equal_reports(self):
        records = [
            *ZONE,
            *(submitted(f"x{n}", n, 1_000 * n, accelerators=n % 4) for n in range(40)),
        ]
        one, other = (replay(records, Policy.FAIR).rows() for _ in range(2))
        self.assertEqual(one, other)


class ClusterTests(testtools.TestCase):
    def start(self, pending, *names):
        cluster = Cluster()
        for number, rack in enumerate(("r0", "r0", "r1")):
            cluster.join(worker(f"w{number}", rack))
        demand = pending.demand
        assignments = tuple(
            Assignment(n, name, demand.accelerators) for n, name in enumerate(names)
        )
        cluster.start(pending, assignments, 0, 1)

    def test_a_start_that_no_zone_could_execute_is_an_error(self):
        rack, one = Adjacency.RACK, Adjacency.WORKER
        cases = (
            (request("x", members=2), ("w0",), "members"),
            (request("x", members=2, adjacency=rack), ("w0", "w2"), "several racks"),
            (request("x", members=2, adjacency=one), ("w0", "w1"), "several workers"),
            (request("x", members=2, accelerators=5), ("w0", "w0"), "over its capacity"),
            (request("x"), ("gone",), "closed"),
        )
        for pending, names, text in cases:
            exc = self.assertRaises(InvariantError, self.start, pending, *names)
            self.assertIn(text, str(exc))

    def test_urgent_work_must_fit_into_the_capacity_of_a_worker(self):
        cluster = Cluster()
        cluster.join(worker("w0"))
        self.assertTrue(cluster.could_fit_urgent(Demand(accelerators=8)))
        self.assertFalse(cluster.could_fit_urgent(Demand(accelerators=9)))


class RecordTests(testtools.TestCase):
    def test_an_invalid_line_is_reported_with_its_number(self):
        path = temporary_folder(self) / "bad.jsonl"
        path.write_text('{"event":"cancelled","at_ms":1,"request_id":"x"}\n{"event":"what"}\n')
        exc = self.assertRaises(TraceError, read_trace, path)
        self.assertIn("bad.jsonl:2", str(exc))

    def test_recorded_run_times_are_merged_into_their_requests(self):
        records = merge_run_times([Submitted(0, request("x")), Ended(9, "x", 7, True)])
        self.assertEqual([Submitted(0, request("x"), 7, True)], records)


class RecorderTests(testtools.TestCase):
    def test_recorded_events_can_be_replayed(self):
        path = temporary_folder(self) / "day.jsonl"
        lines = []
        recorder = Recorder(lines.append)
        recorder.record(TeamsChanged((team("a"),)), 0)
        recorder.record(WorkerJoined(worker("w0")), 0)
        for name in ("x1", "x2"):
            recorder.record(RequestQueued(request(name, at_ms=5)), 5)
        recorder.record(Tick(), 6)
        recorder.record(RequestEnded("x1", EndReason.PREEMPTED, 100), 7)
        recorder.record(RequestQueued(request("x1", at_ms=5)), 8)
        recorder.record(RequestWithdrawn("x2"), 9)
        recorder.record(RequestEnded("x1", EndReason.FINISHED, 700), 10)
        path.write_text("\n".join(lines))
        report = replay(path, Policy.FAIR)
        self.assertEqual((2, 1, 1), (report.submitted, report.finished, report.cancelled))
        self.assertEqual(700, report.completion[Urgency.NORMAL].median_ms)

    def test_an_evacuation_is_replayed(self):
        path = temporary_folder(self) / "day.jsonl"
        lines = []
        recorder = Recorder(lines.append)
        recorder.record(TeamsChanged((team("a"),)), 0)
        recorder.record(WorkerJoined(worker("w0")), 0)
        recorder.record(EvacuationChanged(True), 1)
        recorder.record(RequestQueued(request("x1", at_ms=5)), 5)
        recorder.record(EvacuationChanged(False), 10_005)
        recorder.record(RequestEnded("x1", EndReason.FINISHED, 700), 10_705)
        path.write_text("\n".join(lines))
        for policy in Policy:
            report = replay(path, policy)
            self.assertEqual((1, None), (report.finished, report.broken))
            self.assertEqual(10_700, report.completion[Urgency.NORMAL].median_ms)


class PercentilesTests(testtools.TestCase):
    def test_percentiles_use_the_nearest_rank(self):
        found = percentiles_of(range(1, 201))
        self.assertEqual(
            (200, 100, 190, 198), (found.count, found.median_ms, found.p95_ms, found.p99_ms)
        )
        self.assertEqual(0, percentiles_of([]).p99_ms)
