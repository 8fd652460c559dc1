"""For how long the planner finds a job idle, and what it tells the log about that."""

from unittest import mock

from agateferry_jobs.ledger import commands
from agateferry_jobs.ledger.specs import StepSpec
from agateferry_jobs.planning import Fleet, Planner
from agateferry_jobs.planning.idle_jobs import MAX_IDLE_BY_CHOICE_MS, IdleTimes, WaitChoice
from agateferry_jobs.planning.tests.test_planner import WHOLE_WORKER, PlannerCase
from agateferry_jobs.planning.wait_reasons import WaitReason
from agateferry_jobs.planning.worker_selection import WorkerSelector
from agateferry_jobs.support import job_command, start_of, worker


class IdleTimeTests(PlannerCase):
    """A gang of four whole workers prefers one rack; what the log tells must match the platform.

    Of two racks of four workers, three workers have a small run: the gang fits once, in no rack.
    """

    def setUp(self):
        super().setUp()
        self.idle_times = IdleTimes()
        self.held = set()
        for rack in "ab":
            self.add(*(worker(f"{rack}{number}", rack) for number in range(4)))
        for id in ("a0", "a1", "b0"):
            self.apply(job_command(id))
            self.apply(commands.StartRuns((start_of(id, "0.0.0", on=id),)))
        step = StepSpec(4, WHOLE_WORKER, estimated_ms=9_000, is_gang=True, same_rack=True)
        self.apply(job_command("j", step))

    def plan(self, now_ms=0):
        fleet = Fleet.from_ledger(self.ledger, self.health, self.stopping)
        times = self.idle_times
        return Planner(self.ledger, fleet, now_ms, held=self.held, idle_times=times).plan()

    def add_room(self, **health):
        """Add three workers, so that the gang fits almost twice."""
        self.add(*(worker(f"c{number}", "c") for number in range(3)), **health)

    def test_a_job_that_fits_once_is_not_idle_by_choice(self):
        """Guards against runs of three times the length for a gang that may find a rack soon."""
        self.plan(0)
        self.assertEqual(({}, []), (self.plan(5_000).idle, self.plan(5_000).starts))

    def test_it_tells_the_room_and_what_the_job_waits_for(self):
        """Guards against log lines that name too little room, or not the choice."""
        self.add_room()
        self.plan(0)
        idle = self.plan(300).idle["j"]
        self.assertEqual((300, 8, 4), (idle.idle_ms, idle.room, idle.needed))
        self.assertEqual((WaitChoice.RACK,), idle.choices)

    def test_the_time_begins_anew_after_a_plan_without_room(self):
        """Guards against times that add up although the rule did not hold in between."""
        self.add_room()
        self.plan(0)
        self.add_room(answers=False)
        self.plan(1_000)
        self.add_room()
        self.assertEqual(0, self.plan(1_500).idle["j"].idle_ms)

    def test_a_job_with_a_run_is_not_idle(self):
        """Guards against runs far from their data for the rest of a job that has begun."""
        self.add_room()
        self.apply(
            job_command("k", StepSpec(2, WHOLE_WORKER, estimated_ms=9_000, data_rack="gone"))
        )
        self.add(worker("g1", "gone"), answers=False)
        self.plan(0)
        self.assertIn("k", self.plan(0).idle)
        self.apply(commands.StartRuns((start_of("k", "0.0.0", on="c0"),)))
        self.assertNotIn("k", self.plan(0).idle)

    def test_the_time_for_which_a_start_is_held_back_counts(self):
        """Guards against a wait after a refused start and a whole one for a rack after it."""
        self.add_room()
        self.held = {("j", "0.0.0")}
        self.assertIs(WaitReason.HELD, self.plan(0).waits["j"])
        self.held = set()
        self.assertEqual([], self.plan(MAX_IDLE_BY_CHOICE_MS - 1).starts)
        self.assertEqual(4, len(self.plan(MAX_IDLE_BY_CHOICE_MS).starts))

    def test_a_job_that_starts_nowhere_stays_idle_in_the_log(self):
        """Guards against a fault of the placement that ends the warning that it is there for."""
        self.add_room()
        with mock.patch.object(WorkerSelector, "select_for_gang", lambda selector: None):
            idle_ms = [self.plan(now_ms).idle["j"].idle_ms for now_ms in (0, 2_000, 4_000)]
        self.assertEqual([0, 2_000, 4_000], idle_ms)

    def test_a_job_that_starts_is_not_idle_in_the_log(self):
        """Guards against a warning of a job that started in the same plan."""
        self.add_room()
        self.plan(0)
        plan = self.plan(MAX_IDLE_BY_CHOICE_MS)
        self.assertEqual((4, {}), (len(plan.starts), plan.idle))
