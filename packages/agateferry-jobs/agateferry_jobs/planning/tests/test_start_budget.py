import msgspec
import testtools

from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.manifest import Team
from agateferry_jobs.start_budget import DEFAULT_BUDGET, StartBudget
from agateferry_jobs.support import job_command, manifest, worker
from agateferry_jobs.support.planning_play import PlanningPlay

BUDGET = StartBudget(start_ms=2_700, stop_ms=200)
RUN_MS = 60_000
WHOLE_WORKER = Resources(gpu=8)
REPEATED_STOP_MS = 1_000
"""How long a stop takes whose order was lost; it is sent again after 600 ms."""
TEAMS = (Team("team", reserved_gpus=16), Team("other", reserved_gpus=24), Team("third"))


class StartBudgetTests(testtools.TestCase):
    def test_waits_by_choice_get_what_two_preemptions_and_the_order_leave(self):
        self.assertEqual(1_500, BUDGET.choice_ms)

    def test_slow_stops_leave_less_for_waits_by_choice(self):
        """A bound of one deployment was taken for that of all, whatever a stop takes there."""
        self.assertEqual(800, StartBudget(start_ms=3_400, stop_ms=900).choice_ms)

    def test_a_bound_that_is_too_short_leaves_nothing(self):
        self.assertEqual(0, StartBudget(start_ms=500, stop_ms=200).choice_ms)

    def test_a_platform_without_bounds_gets_the_default(self):
        self.assertEqual(1_800, DEFAULT_BUDGET.choice_ms)


class StartBudgetCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.play = PlanningPlay(
            msgspec.structs.replace(manifest(), teams=TEAMS), stop_delay_ms=REPEATED_STOP_MS
        )
        self.play.budget = BUDGET

    def run_on(self, id, worker_id, team, priority):
        step = StepSpec(1, WHOLE_WORKER, RUN_MS)
        command = job_command(id, step, priority=priority, at_ms=self.play.now_ms)
        self.play.submit(msgspec.structs.replace(command, team=team))
        self.play.start_on(id, {"0.0.0": worker_id}, age_ms=0, run_ms=RUN_MS)

    def submit_urgent(self, *steps):
        self.play.submit(job_command("j", *steps, priority=0, at_ms=self.play.now_ms), RUN_MS)


class LateChoiceTests(StartBudgetCase):
    """Waits by choice left no time for a stop whose order was lost."""

    def setUp(self):
        super().setUp()
        for rack in ("a", "b"):
            self.play.add(worker(f"{rack}1", rack), worker(f"{rack}2", rack))
            self.run_on(f"kept-{rack}", f"{rack}1", "other", priority=0)
            self.run_on(f"batch-{rack}", f"{rack}2", "third", priority=2)

    def test_a_gang_gives_up_its_rack_while_there_is_time_for_a_repeated_stop(self):
        """The wait for a rack took 1.8 s of 2.7 s, and the stop that followed had 0.9 s."""
        gang = StepSpec(2, WHOLE_WORKER, RUN_MS, is_gang=True, same_rack=True)
        self.submit_urgent(gang)
        self.assertIsNotNone(self.play.wait_until_started("j", BUDGET.start_ms))

    def test_a_subtask_gives_up_the_rack_of_its_data_in_the_same_time(self):
        self.play.add(worker("d1", "d"))
        self.run_on("kept-d", "d1", "other", priority=0)
        self.submit_urgent(StepSpec(1, WHOLE_WORKER, RUN_MS, data_rack="d"))
        self.assertIsNotNone(self.play.wait_until_started("j", BUDGET.start_ms))


class OverdueStopTests(StartBudgetCase):
    """A stop that was never carried out was waited for without end."""

    def test_another_run_is_stopped_if_one_does_not_end_in_its_time(self):
        for number in (1, 2):
            self.play.add(worker(f"w{number}"))
            self.run_on(f"batch-{number}", f"w{number}", "third", priority=2)
        self.submit_urgent(StepSpec(1, WHOLE_WORKER, RUN_MS))
        self.play.step()
        first = self.play.plan.stops[0].run.worker
        self.hang(first)
        self.assertIsNotNone(self.play.wait_until_started("j", BUDGET.start_ms))
        self.assertNotIn(first, self.play.workers_of("j"))

    def hang(self, id):
        """Let the runs on a worker never end, whatever was ordered."""
        end = self.play._end

        def end_elsewhere(key, run, outcome):
            if run.worker != id:
                end(key, run, outcome)

        self.play._end = end_elsewhere
