from unittest import mock

import msgspec
import testtools

from agateferry_jobs.ledger import Ledger, WorkerState, commands
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.planning import Fleet, Planner, WorkerHealth
from agateferry_jobs.planning.future_capacity import MAX_PLACEMENTS, FutureCapacity
from agateferry_jobs.planning.options import DEFAULT_OPTIONS
from agateferry_jobs.planning.preemption_cost import PreemptionCost
from agateferry_jobs.planning.ready_subtasks import ReadySubtasks
from agateferry_jobs.planning.wait_reasons import WaitReason
from agateferry_jobs.start_budget import DEFAULT_BUDGET
from agateferry_jobs.support import job_command, manifest, start_of, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES, WORKER_CAPACITY

ANY_WORKER_AFTER_MS = 201
"""The wait after which the least urgent work uses any worker; its slack is 1000 ms here."""
WHOLE_WORKER = Resources(cpu=1000, mem_mb=100, gpu=8)
HOPELESS_MS = 23_000
"""When a job of 2.5 s is hopeless: three times its objective of 8.5 s, less its work."""


class PlannerCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        self.health = {}
        self.stopping = set()
        self.apply(commands.PutManifest(manifest()))

    def apply(self, command):
        return self.ledger.apply(1, commands.encode(command))

    def add(self, *incarnations, **health):
        for incarnation in incarnations:
            self.apply(commands.NoteWorker(incarnation))
            self.health[incarnation.id] = WorkerHealth(**health)

    def plan(self, now_ms=0):
        fleet = Fleet.from_ledger(self.ledger, self.health, self.stopping)
        return Planner(self.ledger, fleet, now_ms).plan()

    def placed(self, now_ms=0):
        """Return the worker of each subtask that the plan starts, and apply the starts."""
        starts = self.plan(now_ms).starts
        self.apply(commands.StartRuns(tuple(starts)))
        return {(s.job, s.subtask): s.run.worker for s in starts}

    def fill_rack(self, rack, workers):
        """Add workers whose urgent runs hold all their resources for long."""
        for number in range(1, workers + 1):
            id = f"{rack}{number}"
            self.add(worker(id, rack=rack))
            whole = StepSpec(1, WORKER_CAPACITY, estimated_ms=600_000)
            run = job_command(f"long-{id}", whole, priority=0)
            self.apply(msgspec.structs.replace(run, team="owner"))
            self.apply(commands.StartRuns((start_of(f"long-{id}", "0.0.0", on=id),)))


class CapacityTests(PlannerCase):
    def test_no_worker_gets_more_than_it_has(self):
        self.add(worker("w1"))
        self.apply(job_command("j", StepSpec(3, Resources(gpu=4))))
        self.assertEqual(2, len(self.placed()))
        self.assertEqual({}, self.placed())

    def test_a_stopping_run_still_holds_its_resources(self):
        self.add(worker("w1"))
        self.apply(job_command("j", StepSpec(1, WHOLE_WORKER)))
        self.placed()
        self.apply(commands.CancelJob("j", 0))
        self.apply(job_command("k", StepSpec(1, WHOLE_WORKER)))
        self.assertEqual({}, self.placed())

    def test_an_unexpected_run_holds_resources(self):
        self.apply(job_command("j", StepSpec(1, WHOLE_WORKER)))
        self.add(worker("w1"), unexpected_runs=(("j", "0.0.0"),))
        self.apply(job_command("k", StepSpec(1, WHOLE_WORKER)))
        self.assertEqual({}, self.placed())

    def test_draining_and_unreachable_workers_get_nothing(self):
        self.add(worker("w1", state=WorkerState.DRAINING))
        self.add(worker("w2"), answers=False)
        self.apply(job_command("j"))
        self.assertEqual({}, self.placed())

    def test_a_suspect_worker_is_the_last_choice(self):
        self.add(worker("w1"), is_suspect=True)
        self.add(worker("w2"))
        self.apply(job_command("j", StepSpec(1, WHOLE_WORKER)))
        self.assertEqual({("j", "0.0.0"): "w2"}, self.placed())

    def test_small_subtasks_fill_a_worker_before_they_open_another(self):
        self.add(worker("w1"), worker("w2"))
        self.apply(job_command("j", StepSpec(6, SUBTASK_RESOURCES)))
        self.assertEqual(1, len(set(self.placed().values())))


class StepTests(PlannerCase):
    def test_a_step_waits_for_those_it_depends_on(self):
        self.add(worker("w1"))
        self.apply(
            job_command(
                "j", StepSpec(1, SUBTASK_RESOURCES), StepSpec(1, SUBTASK_RESOURCES, depends_on=(0,))
            )
        )
        self.assertEqual({("j", "0.0.0"): "w1"}, self.placed())
        end = commands.RunEnded("j", "0.0.0", start_of("j", "0.0.0").run, commands.RunOutcome.DONE)
        self.apply(commands.EndRuns((end,), 0))
        self.assertEqual({("j", "0.1.0"): "w1"}, self.placed())

    def test_an_occurrence_waits_for_its_time(self):
        self.add(worker("w1"))
        self.apply(job_command("j", start_at_ms=1000, interval_ms=500, repeat_count=2))
        self.assertEqual({}, self.placed(999))
        self.assertEqual([("j", "0.0.0")], list(self.placed(1000)))
        self.assertEqual([("j", "1.0.0")], list(self.placed(1500)))

    def test_a_label_and_a_limit_for_each_worker_are_kept(self):
        self.add(worker("w1"), worker("w2"))
        self.apply(job_command("j", StepSpec(3, SUBTASK_RESOURCES, required_label="other")))
        self.apply(
            job_command(
                "k", StepSpec(3, SUBTASK_RESOURCES, required_label="kind", max_per_worker=1)
            )
        )
        self.assertEqual({"w1", "w2"}, set(self.placed().values()))
        self.assertEqual({}, self.placed())

    def test_a_subtask_waits_for_the_rack_of_its_data_for_a_limited_time(self):
        self.add(worker("w1", rack="far"), worker("w2", rack="near"))
        self.apply(job_command("big", StepSpec(1, WHOLE_WORKER, required_label="near")))
        self.placed()
        self.apply(
            job_command("j", StepSpec(1, SUBTASK_RESOURCES, data_rack="near", estimated_ms=100))
        )
        self.assertEqual({}, self.placed(100))
        self.assertEqual({("j", "0.0.0"): "w1"}, self.placed(201))


class GangTests(PlannerCase):
    def test_a_gang_starts_whole_or_not_at_all(self):
        self.add(worker("w1"))
        self.apply(job_command("j", StepSpec(2, WHOLE_WORKER, is_gang=True)))
        self.assertEqual({}, self.placed())
        self.add(worker("w2"))
        self.assertEqual({"w1", "w2"}, set(self.placed().values()))

    def test_members_share_the_run_number(self):
        self.add(worker("w1"), worker("w2"))
        self.apply(job_command("j", StepSpec(2, WHOLE_WORKER, is_gang=True)))
        self.apply(commands.StartRuns((start_of("j", "0.0.0", 4),)))
        end = commands.RunEnded(
            "j", "0.0.0", start_of("j", "0.0.0", 4).run, commands.RunOutcome.STOPPED, "saved"
        )
        self.apply(commands.EndRuns((end,), 0))
        starts = self.plan().starts
        self.assertEqual([(5, "saved")] * 2, [(s.run.number, s.checkpoint) for s in starts])

    def test_one_rack_holds_the_gang(self):
        self.add(worker("a1", rack="a"), worker("b1", rack="b"), worker("b2", rack="b"))
        self.apply(job_command("j", StepSpec(2, WHOLE_WORKER, is_gang=True, same_rack=True)))
        self.assertEqual({"b1", "b2"}, set(self.placed().values()))

    def test_a_gang_that_fits_into_no_rack_spans_racks(self):
        self.add(worker("a1", rack="a"), worker("b1", rack="b"))
        step = StepSpec(2, WHOLE_WORKER, is_gang=True, same_rack=True, estimated_ms=9000)
        self.apply(job_command("j", step))
        self.assertEqual({"a1", "b1"}, set(self.placed().values()))

    def test_a_gang_waits_for_a_rack_with_an_unreachable_worker(self):
        """The worker is likely to be back soon; across racks a gang takes three times as long.

        Most of the capacity is in use; where most is free, the wait is short (test_idle_jobs.py).
        """
        self.fill_rack("c", workers=3)
        self.add(worker("a1", rack="a"), worker("b1", rack="b"))
        self.add(worker("b2", rack="b"), answers=False)
        step = StepSpec(2, WHOLE_WORKER, is_gang=True, same_rack=True, estimated_ms=9000)
        self.apply(job_command("j", step))
        self.assertEqual({}, self.placed(74_999))
        self.assertEqual({"a1", "b1"}, set(self.placed(75_000).values()))

    def test_a_gang_does_not_wait_for_a_rack_whose_workers_are_gone(self):
        """Workers that were lost for good stay known, and gangs waited for their racks."""
        for rack in ("c", "d", "e"):
            self.fill_rack(rack, workers=1)
        self.add(worker("a1", rack="a"), worker("b1", rack="b"))
        self.add(worker("b2", rack="b"), answers=False, may_return=False)
        step = StepSpec(2, WHOLE_WORKER, is_gang=True, same_rack=True, estimated_ms=9000)
        self.apply(job_command("j", step))
        self.assertEqual({"a1", "b1"}, set(self.placed().values()))

    def test_a_gang_that_no_rack_can_hold_reserves_workers_in_several(self):
        """It got no reservation, as if only workers in one rack could become free for it."""
        for rack in ("c", "d", "e"):
            self.fill_rack(rack, workers=1)
        self.add(worker("a1", rack="a"), worker("b1", rack="b"))
        self.add(worker("b2", rack="b"), answers=False, may_return=False)
        self.apply(job_command("small", StepSpec(1, WHOLE_WORKER, estimated_ms=9000)))
        self.placed()
        step = StepSpec(2, WHOLE_WORKER, is_gang=True, same_rack=True, estimated_ms=9000)
        self.apply(job_command("j", step))
        waits = self.plan(now_ms=5000).waits
        self.assertIs(WaitReason.RESERVED, waits["j"])


class DataRackTests(PlannerCase):
    def test_a_subtask_does_not_wait_for_workers_that_are_gone(self):
        """Workers that were lost for good stay known, and subtasks waited for their data there."""
        self.add(worker("a1", rack="a"))
        self.add(worker("b1", rack="b"), answers=False, may_return=False)
        step = StepSpec(1, WHOLE_WORKER, data_rack="b", estimated_ms=9000)
        self.apply(job_command("j", step))
        self.assertEqual({"a1"}, set(self.placed().values()))

    def test_urgent_work_preempts_where_its_data_lie_only_while_it_waits_for_them(self):
        """Runs on other racks were stopped, where the work then did not start."""
        self.add(worker("a1", rack="a"), worker("b1", rack="b"))
        for id, cores in (("a1", 16_000), ("b1", 1_000)):
            step = StepSpec(1, Resources(cpu=cores, gpu=8), estimated_ms=600_000)
            self.apply(job_command(f"batch-{id}", step, priority=2))
            self.apply(commands.StartRuns((start_of(f"batch-{id}", "0.0.0", on=id),)))
        step = StepSpec(1, WHOLE_WORKER, data_rack="a", estimated_ms=9000)
        self.apply(msgspec.structs.replace(job_command("u", step, priority=0), team="other"))
        self.assertEqual(["batch-a1"], [stop.key[0] for stop in self.plan().stops])


class LeastUrgentTests(PlannerCase):
    def test_it_uses_an_empty_worker_only_after_a_wait(self):
        self.add(worker("w1"))
        self.apply(job_command("low", priority=2))
        self.assertEqual({}, self.placed(ANY_WORKER_AFTER_MS - 1))
        self.assertEqual({("low", "0.0.0"): "w1"}, self.placed(ANY_WORKER_AFTER_MS))

    def test_it_does_not_share_workers_with_more_urgent_work(self):
        self.add(worker("w1"), worker("w2"), worker("w3"))
        self.apply(job_command("gang", StepSpec(1, SUBTASK_RESOURCES), priority=1))
        self.apply(job_command("low", priority=2))
        placed = self.placed()
        self.assertNotEqual(placed[("gang", "0.0.0")], placed[("low", "0.0.0")])

    def test_it_shares_workers_with_its_peers(self):
        self.add(worker("w1"), worker("w2"))
        self.apply(job_command("low", StepSpec(4, SUBTASK_RESOURCES), priority=2))
        self.assertEqual(1, len(set(self.placed().values())))


class UrgentTests(PlannerCase):
    def test_urgent_work_preempts_as_little_as_possible(self):
        self.add(worker("w1"), worker("w2"))
        self.apply(job_command("low", StepSpec(2, Resources(gpu=6)), priority=2))
        self.placed(ANY_WORKER_AFTER_MS)
        self.apply(job_command("small", StepSpec(1, Resources(gpu=2)), priority=2))
        self.placed(ANY_WORKER_AFTER_MS)
        self.apply(job_command("urgent", StepSpec(1, Resources(gpu=2)), priority=0))
        self.assertEqual([], self.plan().stops)
        self.placed()
        self.apply(job_command("urgent2", StepSpec(1, Resources(gpu=2)), priority=0))
        stops = self.plan().stops
        self.assertEqual([("small", "0.0.0")], [stop.key for stop in stops])

    def test_a_gang_is_preempted_whole(self):
        self.add(worker("w1"), worker("w2"))
        self.apply(job_command("low", StepSpec(2, WHOLE_WORKER, is_gang=True), priority=1))
        self.placed()
        self.apply(job_command("urgent", StepSpec(1, WHOLE_WORKER), priority=0))
        self.assertEqual(
            {("low", "0.0.0"), ("low", "0.0.1")}, {stop.key for stop in self.plan().stops}
        )

    def test_resources_of_a_preempted_run_are_reserved_for_the_preempting_job(self):
        self.add(worker("w1"))
        self.apply(job_command("low", StepSpec(1, Resources(gpu=6)), priority=2))
        self.placed(ANY_WORKER_AFTER_MS)
        self.apply(job_command("urgent", StepSpec(1, WHOLE_WORKER), priority=0))
        self.apply(job_command("late", StepSpec(1, SUBTASK_RESOURCES), priority=2))
        plan = self.plan()
        self.assertEqual([], plan.starts)
        self.stopping = {stop.key for stop in plan.stops}
        self.assertEqual(([], []), (self.plan().starts, self.plan().stops))

    def test_a_gang_short_of_slack_preempts_lower_ranks(self):
        self.add(worker("w1"))
        self.apply(job_command("low", StepSpec(1, WHOLE_WORKER), priority=2))
        self.placed(ANY_WORKER_AFTER_MS)
        step = StepSpec(1, WHOLE_WORKER, is_gang=True, estimated_ms=4500)
        self.apply(job_command("gang", step, priority=1))
        self.assertEqual([], self.plan(7000).stops)
        self.assertEqual([("low", "0.0.0")], [stop.key for stop in self.plan(7001).stops])
        self.assertEqual([], self.plan(10_001).stops)

    def test_a_waiting_gang_reserves_what_becomes_free(self):
        self.add(worker("w1"), worker("w2"))
        self.apply(job_command("low", StepSpec(1, WHOLE_WORKER), priority=2))
        self.placed(ANY_WORKER_AFTER_MS)
        step = StepSpec(2, WHOLE_WORKER, is_gang=True, estimated_ms=4500)
        self.apply(job_command("gang", step, priority=1))
        self.apply(job_command("small", priority=2))
        self.assertEqual([("small", "0.0.0")], [(s.job, s.subtask) for s in self.plan(500).starts])
        self.assertEqual([], self.plan(501).starts)

    def test_a_waiting_gang_reserves_what_becomes_free_soonest(self):
        """Under heavy load the planner reserved the workers whose runs had started last. The
        reservation moved with each new run, so gangs of whole workers never started."""
        self.add(worker("w1"), worker("w2"))
        for id, at_ms in (("old", ANY_WORKER_AFTER_MS), ("new", 3000)):
            self.apply(
                job_command(id, StepSpec(1, Resources(gpu=7), estimated_ms=4500), priority=2)
            )
            self.apply(commands.StartRuns(tuple(self.plan(at_ms + 2001).starts), at_ms))
        step = StepSpec(1, WHOLE_WORKER, is_gang=True, estimated_ms=4500)
        self.apply(job_command("gang", step, priority=1, at_ms=3000))
        small = StepSpec(2, SUBTASK_RESOURCES, estimated_ms=60_000)
        self.apply(job_command("small", small, priority=1, at_ms=3001))
        starts = self.plan(4000).starts
        self.assertEqual({"w2"}, {start.run.worker for start in starts})

    def test_work_that_is_not_urgent_preempts_nothing(self):
        self.add(worker("w1"))
        self.apply(job_command("low", StepSpec(1, WHOLE_WORKER), priority=2))
        self.placed(ANY_WORKER_AFTER_MS)
        self.apply(job_command("j", StepSpec(1, WHOLE_WORKER), priority=1))
        self.assertEqual([], self.plan().stops)


class GuaranteeTests(PlannerCase):
    """The manifest's team has a guarantee of eight accelerators; other teams have none."""

    def borrow(self, id, team, gpu, at_ms=0):
        command = job_command(id, StepSpec(1, Resources(gpu=gpu)), priority=0, at_ms=at_ms)
        self.apply(msgspec.structs.replace(command, team=team))

    def test_urgent_work_beyond_the_guarantee_is_preempted(self):
        self.add(worker("w1"))
        self.borrow("borrowed", "other", 8)
        self.placed()
        self.borrow("reserved", "team", 8, at_ms=1)
        self.assertEqual([("borrowed", "0.0.0")], [stop.key for stop in self.plan().stops])

    def test_borrowers_do_not_preempt_each_other(self):
        self.add(worker("w1"))
        self.borrow("first", "other", 8)
        self.placed()
        self.borrow("second", "another", 8, at_ms=1)
        self.assertEqual([], self.plan().stops)

    def test_work_within_the_guarantee_is_never_preempted(self):
        self.add(worker("w1"))
        self.borrow("reserved", "team", 8)
        self.placed()
        self.borrow("borrowed", "other", 8, at_ms=1)
        self.assertEqual([], self.plan().stops)

    def test_work_within_the_guarantee_waits_briefly_for_its_rack(self):
        self.add(worker("a1", rack="a"), worker("b1", rack="b"))
        step = StepSpec(1, SUBTASK_RESOURCES, data_rack="c", estimated_ms=60_000)
        self.add(worker("c1", rack="c", state=WorkerState.READY), answers=True)
        full = job_command("full", StepSpec(1, WHOLE_WORKER, required_label="c"), priority=0)
        self.apply(msgspec.structs.replace(full, team="other"))
        self.placed()
        self.apply(job_command("j", step, priority=0))
        self.assertEqual({}, self.placed(DEFAULT_BUDGET.choice_ms - 1))
        self.assertEqual(1, len(self.placed(DEFAULT_BUDGET.choice_ms)))

    def test_an_urgent_gang_waits_for_its_rack_while_runs_there_are_preempted(self):
        """A gang across racks takes three times as long, so it waits for one until it is hopeless.

        When no rack was free for 0.8 s, a gang once started across racks at once and ended late.
        Most of the capacity is in use here.
        """
        self.fill_rack("c", workers=3)
        self.add(worker("a1", rack="a"), worker("a2", rack="a"))
        self.add(worker("b1", rack="b"), worker("b2", rack="b"))
        self.apply(job_command("a", StepSpec(1, WHOLE_WORKER, required_label="a"), priority=1))
        self.apply(job_command("b", StepSpec(1, WHOLE_WORKER, required_label="b"), priority=1))
        self.placed()
        gang = StepSpec(2, Resources(gpu=8), is_gang=True, same_rack=True, estimated_ms=2500)
        self.apply(msgspec.structs.replace(job_command("u", gang, priority=0), team="other"))
        stops = self.plan(DEFAULT_BUDGET.choice_ms).stops
        self.assertEqual(1, len(stops))
        self.stopping = {stops[0].key}
        self.assertEqual([], self.plan(HOPELESS_MS - 1).starts)
        self.assertEqual(2, len(self.plan(HOPELESS_MS).starts))


class OrderTests(PlannerCase):
    """The order of jobs of one rank; the queue has a stretch of 3 and a target of 1 s."""

    def first(self, now_ms):
        return self.plan(now_ms).starts[0].job

    def test_the_job_with_the_least_slack_left_goes_first(self):
        self.add(worker("w1"))
        self.apply(job_command("long", StepSpec(1, WHOLE_WORKER, estimated_ms=4000), at_ms=0))
        self.apply(job_command("short", StepSpec(1, WHOLE_WORKER, estimated_ms=100), at_ms=500))
        self.assertEqual("short", self.first(600))

    def test_a_job_that_is_late_already_goes_after_those_in_time(self):
        self.add(worker("w1"))
        self.apply(job_command("late", StepSpec(1, WHOLE_WORKER, estimated_ms=100), at_ms=0))
        self.apply(job_command("timely", StepSpec(1, WHOLE_WORKER, estimated_ms=4000), at_ms=1000))
        self.assertEqual("late", self.first(1200))
        self.assertEqual("timely", self.first(1201))

    def test_urgent_jobs_go_in_the_order_of_acceptance(self):
        self.add(worker("w1"))
        self.apply(
            job_command("b", StepSpec(1, WHOLE_WORKER, estimated_ms=4000), priority=0, at_ms=0)
        )
        self.apply(
            job_command("a", StepSpec(1, WHOLE_WORKER, estimated_ms=100), priority=0, at_ms=1)
        )
        self.assertEqual("b", self.first(2))


class PreemptionCostTests(PlannerCase):
    def test_the_run_with_the_least_lost_work_is_preempted(self):
        self.add(worker("w1"))
        for id, at_ms in (("old", ANY_WORKER_AFTER_MS), ("new", 9000)):
            self.apply(job_command(id, StepSpec(1, Resources(gpu=4)), priority=2))
            self.apply(commands.StartRuns(tuple(self.plan(at_ms).starts), at_ms))
        self.apply(job_command("urgent", StepSpec(1, Resources(gpu=4)), priority=0))
        self.assertEqual([("new", "0.0.0")], [stop.key for stop in self.plan(9500).stops])

    def test_a_run_that_saves_checkpoints_loses_little(self):
        self.add(worker("w1"))
        for id, saves, at_ms in (("saves", True, ANY_WORKER_AFTER_MS), ("new", False, 5000)):
            step = StepSpec(1, Resources(gpu=4), saves_checkpoints=saves)
            self.apply(job_command(id, step, priority=2))
            self.apply(commands.StartRuns(tuple(self.plan(at_ms).starts), at_ms))
        self.apply(job_command("urgent", StepSpec(1, Resources(gpu=4)), priority=0))
        self.assertEqual([("saves", "0.0.0")], [stop.key for stop in self.plan(9000).stops])


class UnexpectedErrorTests(PlannerCase):
    """An error that nobody expected in one job must not keep all others from starting."""

    def test_the_other_jobs_are_planned(self):
        self.add(worker("w1"))
        for id in ("j", "k", "l"):
            self.apply(job_command(id))
        place = Planner._place

        def fail_for_k(planner, ready):
            if ready.job.id == "k":
                raise RuntimeError("unexpected")
            return place(planner, ready)

        with mock.patch.object(Planner, "_place", fail_for_k):
            plan = self.plan()
        self.assertEqual(["j", "l"], sorted(start.job for start in plan.starts))
        self.assertEqual({"k": "RuntimeError('unexpected')"}, plan.errors)


class UnusualInputTests(PlannerCase):
    """Values that a manifest or a worker may hold must not stop the plans of all jobs."""

    def test_a_very_negative_priority_does_not_stop_all_plans(self):
        """The weight of such a job overflowed, and no job was planned any more."""
        self.add(worker("w1"))
        self.apply(job_command("odd", StepSpec(1, WHOLE_WORKER, estimated_ms=1), priority=-2000))
        self.apply(job_command("usual", StepSpec(1, WHOLE_WORKER, estimated_ms=1)))
        self.assertEqual(1, len(self.plan().starts))

    def test_a_worker_that_reports_very_many_slots_does_not_hold_up_the_plan(self):
        """The search for resources that become free went through all slots of the worker."""
        incarnation = worker("w1")
        incarnation.slots = 10_000_000
        self.add(incarnation)
        gang = StepSpec(2, Resources(), estimated_ms=1, is_gang=True, required_label="r1")
        self.apply(job_command("load", StepSpec(1, WHOLE_WORKER)))
        self.placed()
        capacity = FutureCapacity(PreemptionCost({}, 0, DEFAULT_OPTIONS))
        fleet = Fleet.from_ledger(self.ledger, self.health, set())
        self.apply(job_command("gang", gang))
        job = self.ledger.jobs["gang"]
        ready = ReadySubtasks(job, "0.0", gang, ("0.0.0", "0.0.1"), 2, 1, 0, 0, 0)
        self.assertEqual(2, len(capacity.cheapest([fleet.by_service["pool"]], ready, 2)))
        kept = capacity._kept_placements.values()
        self.assertTrue(all(len(placements) <= MAX_PLACEMENTS for _, placements in kept))
