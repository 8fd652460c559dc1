import testtools

from agateferry_core.demand import Adjacency, Urgency
from agateferry_scheduling.scheduler.messages import (
    EndReason,
    EvacuationChanged,
    GuaranteeAtRisk,
    Preempt,
    Quarantine,
    Reject,
    RejectReason,
    RequestEnded,
    RequestRunning,
    RequestWithdrawn,
    SchedulingConfig,
    Tick,
    UsageReported,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
)
from agateferry_scheduling.scheduler.tests.support import (
    make_scheduler,
    of_type,
    queue,
    request,
    started,
    team,
    worker,
)


class EvacuationTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.scheduler = make_scheduler()

    def evacuate(self, evacuated=True, now_ms=0):
        return self.scheduler.step(EvacuationChanged(evacuated), now_ms)

    def test_nothing_starts_before_the_zone_is_readmitted(self):
        self.evacuate()
        self.assertEqual([], started(queue(self.scheduler, request("a1"))))
        self.assertEqual([], started(self.scheduler.step(Tick(), 5_000)))
        self.assertEqual(["a1"], started(self.evacuate(False, 6_000)))

    def test_a_worker_that_joins_later_is_covered(self):
        self.evacuate()
        self.scheduler.step(WorkerJoined(worker("w9")), 0)
        self.assertEqual([], started(queue(self.scheduler, request("a1"))))

    def test_a_waiting_request_is_explained(self):
        self.evacuate()
        queue(self.scheduler, request("a1"))
        explanation = self.scheduler.explain("a1", 0)
        self.assertIn("evacuation of z", explanation.waits_for)
        self.assertIn("readmits z", explanation.would_start_if)

    def test_nothing_is_preempted_for_work_that_cannot_start(self):
        for number in range(2):
            queue(self.scheduler, request(f"a{number}", accelerators=8))
        self.evacuate()
        urgent = request("u", "b", Urgency.URGENT, accelerators=8)
        self.assertEqual([], queue(self.scheduler, urgent))

    def test_a_claim_of_workers_waits_again(self):
        for number in range(2):
            queue(self.scheduler, request(f"a{number}", accelerators=8))
        urgent = request("u", "b", Urgency.URGENT, accelerators=8)
        victim = of_type(queue(self.scheduler, urgent), Preempt)[0].request_id
        self.evacuate(now_ms=10)
        ended = RequestEnded(victim, EndReason.PREEMPTED, 10)
        self.assertEqual([], started(self.scheduler.step(ended, 20)))
        self.assertEqual(["u"], started(self.evacuate(False, 30)))

    def test_the_probe_of_a_quarantined_worker_does_not_start(self):
        config = SchedulingConfig(quarantine_after_failures=1, quarantine_probe_ms=10)
        scheduler = self.scheduler = make_scheduler(per_rack=1, config=config)
        queue(scheduler, request("bad"))
        ended = RequestEnded("bad", EndReason.FAILED, 5, ("w0",))
        scheduler.step(ended, 5)
        self.evacuate(now_ms=6)
        queue(scheduler, request("a1", job="other", at_ms=10), 10)
        self.assertEqual([], started(scheduler.step(Tick(), 5_000)))
        decisions = self.evacuate(False, 6_000) + scheduler.step(Tick(), 7_000)
        self.assertEqual(["a1"], started(decisions))

    def test_guarantees_are_at_risk_until_the_zone_is_readmitted(self):
        self.scheduler = make_scheduler(teams=(team("a"), team("b", (8,))))
        queue(self.scheduler, request("b0", "b", accelerators=8))
        risks = of_type(self.evacuate(), GuaranteeAtRisk)
        self.assertEqual([("b",)], [risk.teams for risk in risks])
        risks = of_type(self.evacuate(False, 10), GuaranteeAtRisk)
        self.assertEqual([()], [risk.teams for risk in risks])
        allocation = self.scheduler.zone.topology.allocations["b0"]
        self.assertEqual("guaranteed", allocation.kind)


class ReclaimTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        config = SchedulingConfig(urgent_headroom_slots=0)
        self.scheduler = make_scheduler(teams=(team("a"), team("b", (8,))), config=config)
        for number in range(16):
            queue(self.scheduler, request(f"a{number}", accelerators=1, checkpointable=True))

    def reclaim(self, now_ms=10_000):
        return queue(self.scheduler, request("b0", "b", accelerators=8, at_ms=now_ms), now_ms)

    def test_a_team_reclaims_its_shape_within_the_bound(self):
        preempts = of_type(self.reclaim(), Preempt)
        self.assertEqual(8, len(preempts))
        self.assertTrue(all(p.stop_by_ms <= 10_000 + 30_000 for p in preempts))
        for preempt in preempts[:-1]:
            ended = RequestEnded(preempt.request_id, EndReason.PREEMPTED, 10_000)
            self.assertEqual([], started(self.scheduler.step(ended, 12_000)))
        last = RequestEnded(preempts[-1].request_id, EndReason.PREEMPTED, 10_000)
        self.assertEqual(["b0"], started(self.scheduler.step(last, 12_000)))

    def test_resources_freed_for_a_claim_are_not_given_to_others(self):
        preempts = of_type(self.reclaim(), Preempt)
        ended = RequestEnded(preempts[0].request_id, EndReason.PREEMPTED, 10_000)
        self.scheduler.step(ended, 11_000)
        self.assertEqual([], started(queue(self.scheduler, request("a99", accelerators=1), 11_000)))

    def test_a_cancelled_claim_frees_its_workers(self):
        preempts = of_type(self.reclaim(), Preempt)
        self.scheduler.step(RequestWithdrawn("b0"), 11_000)
        ended = RequestEnded(preempts[0].request_id, EndReason.PREEMPTED, 10_000)
        self.scheduler.step(ended, 11_000)
        self.assertEqual(
            ["a99"], started(queue(self.scheduler, request("a99", accelerators=1), 11_000))
        )

    def test_non_preemptible_work_stays_outside_guarantees(self):
        scheduler = make_scheduler(teams=(team("a"), team("b", (8,))))
        ids = [
            name
            for number in range(16)
            for name in started(
                queue(scheduler, request(f"a{number}", accelerators=1, preemptible=False))
            )
        ]
        self.assertEqual(8, len(ids))
        self.assertEqual(["b0"], started(queue(scheduler, request("b0", "b", accelerators=8))))

    def test_a_claim_on_a_lost_worker_requeues_its_request(self):
        preempts = of_type(self.reclaim(), Preempt)
        [name] = self.scheduler.zone.claims.by_request_id["b0"].allocation.member_counts
        decisions = self.scheduler.step(WorkerLost(name), 11_000)
        for preempt in preempts:
            ended = RequestEnded(preempt.request_id, EndReason.WORKER_LOST, 1_000)
            decisions += self.scheduler.step(ended, 11_000)
        self.assertEqual(8, len({p.request_id for p in of_type(decisions, Preempt)}))


class CellMoveTests(testtools.TestCase):
    def test_a_gang_that_its_cells_cannot_cover_leaves_them_in_place(self):
        scheduler = make_scheduler(per_rack=3, teams=(team("a", (8,)), team("b", (8,))))
        before = [dict(places) for places in scheduler.zone.layout.placements()]
        gang = request("x", members=2, accelerators=4, preemptible=False)
        pinned = request("y", members=2, accelerators=8, preemptible=False)
        self.assertEqual([], started(queue(scheduler, pinned)))
        self.assertEqual(before, scheduler.zone.layout.placements())
        self.assertEqual(["x"], started(queue(scheduler, gang)))


class UrgentTests(testtools.TestCase):
    def test_an_urgent_request_preempts_the_cheapest_borrowed_work(self):
        scheduler = make_scheduler(config=SchedulingConfig(urgent_headroom_slots=0))
        for number in range(16):
            pending = request(f"a{number}", accelerators=1, checkpointable=number == 3)
            queue(scheduler, pending, number)
        now_ms = 500_000
        urgent = request("u", "b", Urgency.URGENT, now_ms, accelerators=1)
        [preempt] = of_type(queue(scheduler, urgent, now_ms), Preempt)
        self.assertEqual("a3", preempt.request_id)
        self.assertTrue(preempt.stop_by_ms <= now_ms + 3_600)
        ended = RequestEnded("a3", EndReason.PREEMPTED, 1)
        self.assertEqual(["u"], started(scheduler.step(ended, now_ms + 2_000)))

    def test_headroom_is_kept_free_for_urgent_work(self):
        scheduler = make_scheduler(config=SchedulingConfig(urgent_headroom_slots=2))
        ids = [started(queue(scheduler, request(f"a{n}"))) for n in range(16)]
        self.assertEqual(14, sum(map(len, ids)))
        self.assertEqual(["u"], started(queue(scheduler, request("u", "b", Urgency.URGENT))))


class MassCancellationTests(testtools.TestCase):
    """Cancel 100 requests in each simulated millisecond, in order of submission."""

    CANCELLED = 10_000
    PER_MS = 100

    def cancel_all(self, scheduler, urgent_at_ms, urgent):
        """Cancel all requests around an urgent one and return the start time of the urgent one."""
        preempted = {}
        for ms in range(self.CANCELLED // self.PER_MS + 3_601):
            decisions = (
                queue(scheduler, urgent, ms) if ms == urgent_at_ms else scheduler.step(Tick(), ms)
            )
            for number in range(ms * self.PER_MS, min((ms + 1) * self.PER_MS, self.CANCELLED)):
                decisions += scheduler.step(RequestWithdrawn(f"a{number}"), ms)
            preempted |= {p.request_id: p.stop_by_ms for p in of_type(decisions, Preempt)}
            for name in [name for name, by_ms in preempted.items() if by_ms <= ms]:
                del preempted[name]
                decisions += scheduler.step(RequestEnded(name, EndReason.PREEMPTED, ms), ms)
            if urgent.request_id in started(decisions):
                return ms
        return None

    def test_an_urgent_request_starts_in_time_during_a_mass_cancellation(self):
        for at_ms in (0, 50, 99):
            config = SchedulingConfig(urgent_headroom_slots=0)
            teams = (team("a", max_queued=self.CANCELLED), team("b"))
            scheduler = make_scheduler(teams=teams, config=config)
            for number in range(16):
                queue(scheduler, request(f"r{number}", accelerators=1, checkpointable=True))
            for number in range(self.CANCELLED):
                queue(scheduler, request(f"a{number}", accelerators=1))
            urgent = request("u", "b", Urgency.URGENT, at_ms, accelerators=1)
            start_ms = self.cancel_all(scheduler, at_ms, urgent)
            self.assertIsNot(None, start_ms)
            self.assertTrue(start_ms - at_ms <= 3_600, start_ms)


class GangTests(testtools.TestCase):
    def test_a_gang_starts_whole_and_is_not_starved_by_small_work(self):
        scheduler = make_scheduler(teams=(team("a"), team("b")))
        queue(scheduler, request("a0", accelerators=4, run_ms=1_000_000), 0)
        gang = request("g", "b", members=2, accelerators=8, adjacency=Adjacency.RACK)
        self.assertEqual([], started(queue(scheduler, gang, 0)))
        scheduler.step(Tick(), 20 * 60_000)
        self.assertEqual("g", scheduler.zone.reservation.request.request_id)
        late = request("a1", accelerators=1, at_ms=20 * 60_000, run_ms=10**8)
        self.assertEqual([], started(queue(scheduler, late, 20 * 60_000)))
        ended = RequestEnded("a0", EndReason.FINISHED, 1_300_000)
        self.assertEqual(["g"], started(scheduler.step(ended, 1_300_000))[:1])

    def test_short_work_backfills_in_front_of_a_reservation(self):
        scheduler = make_scheduler(teams=(team("a"), team("b")))
        queue(scheduler, request("a0", accelerators=4, run_ms=10_000_000), 0)
        queue(scheduler, request("g", "b", members=2, accelerators=8, adjacency=Adjacency.RACK), 0)
        scheduler.step(Tick(), 20 * 60_000)
        short = request("a1", accelerators=1, at_ms=20 * 60_000, run_ms=1_000)
        self.assertEqual(["a1"], started(queue(scheduler, short, 20 * 60_000)))

    def test_a_waiting_request_is_explained(self):
        scheduler = make_scheduler()
        queue(scheduler, request("a0", accelerators=4))
        queue(scheduler, request("g", "b", members=2, accelerators=8, adjacency=Adjacency.RACK))
        explanation = scheduler.explain("g", 5_000)
        self.assertEqual("waiting", explanation.state)
        self.assertIn("2 x (8 accelerators", explanation.waits_for)
        self.assertIn("waits for 5000 ms", explanation.details)
        self.assertEqual("running", scheduler.explain("a0", 5_000).state)
        self.assertEqual("unknown", scheduler.explain("nobody", 5_000).state)


class RejectionTests(testtools.TestCase):
    def rejection(self, scheduler, pending, now_ms=0):
        [reject] = of_type(queue(scheduler, pending, now_ms), Reject)
        return reject

    def test_an_infeasible_request_is_rejected_at_once_with_the_reason(self):
        scheduler = make_scheduler()
        cases = (
            ({"accelerators": 9}, "no worker"),
            ({"members": 3, "accelerators": 8}, "2 of the 3"),
            ({"members": 2, "accelerators": 8, "adjacency": Adjacency.WORKER}, "1 of the 2"),
        )
        for demand, text in cases:
            reject = self.rejection(scheduler, request("x", **demand))
            self.assertEqual(RejectReason.INFEASIBLE, reject.reason)
            self.assertIn(text, reject.detail)
            self.assertIs(None, reject.retry_after_ms)

    def test_a_request_that_a_lost_worker_could_run_is_not_infeasible(self):
        scheduler = make_scheduler()
        scheduler.step(WorkerLost("w0"), 0)
        self.assertEqual([], of_type(queue(scheduler, request("x", members=16)), Reject))

    def test_a_full_team_queue_rejects_with_a_retry_time(self):
        scheduler = make_scheduler(teams=(team("a", max_queued=1),))
        queue(scheduler, request("a0", members=2, accelerators=8))
        queue(scheduler, request("a1", accelerators=1))
        reject = self.rejection(scheduler, request("a2", accelerators=1))
        self.assertEqual(RejectReason.TEAM_QUEUE_FULL, reject.reason)
        self.assertTrue(1_000 <= reject.retry_after_ms <= 60_000)

    def test_the_total_number_of_queued_requests_is_limited(self):
        scheduler = make_scheduler(config=SchedulingConfig(max_queued_total=0))
        self.assertEqual(RejectReason.QUEUE_FULL, self.rejection(scheduler, request("a0")).reason)

    def test_a_request_past_its_deadline_is_rejected(self):
        scheduler = make_scheduler()
        late = request("a0", deadline_ms=5)
        self.assertEqual(
            RejectReason.DEADLINE_UNREACHABLE, self.rejection(scheduler, late, 5).reason
        )
        queue(scheduler, request("a1", members=2, accelerators=8), 5)
        queue(scheduler, request("a2", accelerators=1, deadline_ms=900), 5)
        [reject] = of_type(scheduler.step(Tick(), 1_000), Reject)
        self.assertEqual(
            ("a2", RejectReason.DEADLINE_UNREACHABLE), (reject.request_id, reject.reason)
        )

    def test_an_unknown_team_is_rejected(self):
        reject = self.rejection(make_scheduler(), request("x", "nobody"))
        self.assertEqual(RejectReason.UNKNOWN_TEAM, reject.reason)


class FailureTests(testtools.TestCase):
    def fail(self, scheduler, number, job, now_ms):
        pending = request(f"{job}{number}", accelerators=1, job=job)
        [start] = queue(scheduler, pending, now_ms)
        [name] = {a.worker for a in start.assignments}
        ended = RequestEnded(pending.request_id, EndReason.FAILED, 10, (name,))
        return scheduler.step(ended, now_ms)

    def test_a_worker_that_fails_everything_gets_single_probes(self):
        scheduler = make_scheduler()
        decisions = [d for n in range(3) for d in self.fail(scheduler, n, f"j{n}", n)]
        [quarantine] = of_type(decisions, Quarantine)
        [start] = queue(scheduler, request("x", accelerators=8), 10)
        self.assertNotIn(quarantine.worker, {a.worker for a in start.assignments})
        for number in range(3):
            queue(scheduler, request(f"y{number}", accelerators=1), 10)
        probes = started(scheduler.step(Tick(), 70_000)) + started(scheduler.step(Tick(), 71_000))
        self.assertEqual(["y0"], probes)
        ended = scheduler.step(RequestEnded("y0", EndReason.FINISHED, 10), 72_000)
        self.assertEqual([True], [q.lifted for q in of_type(ended, Quarantine)])

    def test_a_request_that_failed_on_all_suitable_workers_is_rejected(self):
        scheduler = make_scheduler()
        pending = request("x", members=2, accelerators=8)
        queue(scheduler, pending)
        scheduler.step(RequestEnded("x", EndReason.FAILED, 10, ("w0",)), 1)
        [reject] = of_type(queue(scheduler, pending, 1), Reject)
        self.assertEqual(RejectReason.FAILS_EVERYWHERE, reject.reason)


class DuplicateTests(testtools.TestCase):
    def test_a_waiting_or_running_request_is_not_queued_twice(self):
        scheduler = make_scheduler()
        self.assertEqual(["x"], started(queue(scheduler, request("x", members=2, accelerators=8))))
        self.assertEqual([], queue(scheduler, request("x", members=2, accelerators=8)))
        for _ in range(2):
            queue(scheduler, request("y", accelerators=8))
        self.assertEqual(1, scheduler.zone.queue.count_by_team["a"])


class ChangeTests(testtools.TestCase):
    def test_guarantees_are_at_risk_while_too_few_workers_are_left(self):
        scheduler = make_scheduler(teams=(team("a", (8,)), team("b", (8,))))
        [risk] = of_type(scheduler.step(WorkerLost("w0"), 0), GuaranteeAtRisk)
        self.assertEqual(1, len(risk.teams))
        [risk] = of_type(scheduler.step(WorkerJoined(worker("w9")), 0), GuaranteeAtRisk)
        self.assertEqual((), risk.teams)

    def test_a_leaving_worker_gets_no_new_work(self):
        scheduler = make_scheduler()
        scheduler.step(WorkerLeaving("w0"), 0)
        [start] = queue(scheduler, request("x"))
        self.assertEqual({"w1"}, {a.worker for a in start.assignments})

    def test_reported_usage_does_not_undo_newer_placements(self):
        scheduler = make_scheduler()
        queue(scheduler, request("a0", accelerators=8))
        queue(scheduler, request("a1", accelerators=8))
        for name in ("w0", "w1"):
            scheduler.step(UsageReported(name, 0, 0, 0), 1_000)
        self.assertEqual([], started(queue(scheduler, request("a2", accelerators=1), 1_000)))

    def test_a_new_scheduler_adopts_running_work(self):
        before = make_scheduler(teams=(team("a", (8,)), team("b", (8,))))
        pending = request("a0", accelerators=8, preemptible=False)
        [start] = queue(before, pending)
        after = make_scheduler(teams=(team("a", (8,)), team("b", (8,))))
        after.step(RequestRunning(pending, start.assignments, 0), 0)
        self.assertEqual(["b0"], started(queue(after, request("b0", "b", accelerators=8), 1)))
        self.assertEqual((), after.zone.layout.teams_missing_cells())
        self.assertEqual("guaranteed", after.zone.topology.allocations["a0"].kind)

    def test_equal_events_give_equal_decisions(self):
        def run():
            scheduler = make_scheduler(racks=2, teams=(team("a", (8,)), team("b", (4,))))
            return [
                queue(scheduler, request(f"x{n}", "ab"[n % 2], accelerators=n % 5))
                for n in range(30)
            ]

        self.assertEqual(run(), run())
