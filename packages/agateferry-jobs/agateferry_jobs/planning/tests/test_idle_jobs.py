"""Whether jobs are kept idle beside free workers; see `support/idle_watch.py` for the rule.

The environment variables AGATEFERRY_IDLE_SCENARIOS, AGATEFERRY_IDLE_SEED and AGATEFERRY_IDLE_MS set
how many scenarios are played, their seed, and how long each lasts at most.
"""

import os
from unittest import mock

import msgspec
import testtools

from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.planning import Plan, Planner
from agateferry_jobs.support import job_command, manifest, worker
from agateferry_jobs.support.builders import SUBTASK_RESOURCES
from agateferry_jobs.support.idle_scenarios import DEFAULT_DURATION_MS, IdleScenario
from agateferry_jobs.support.idle_watch import IDLE_LIMIT_MS, IdleWatch
from agateferry_jobs.support.planning_play import PLAN_INTERVAL_MS, START_MS, PlanningPlay

SCENARIOS = int(os.environ.get("AGATEFERRY_IDLE_SCENARIOS", 600))
SEED = int(os.environ.get("AGATEFERRY_IDLE_SEED", 1))
DURATION_MS = int(os.environ.get("AGATEFERRY_IDLE_MS", DEFAULT_DURATION_MS))
OBSERVED_MS = 45_000
"""How long a test waits for a late start, to show how late it is."""
WHOLE_WORKER = Resources(cpu=16_000, mem_mb=200, gpu=8)
LONG_MS = 600_000


class IdleScenarioTests(testtools.TestCase):
    def test_no_job_is_kept_idle_beside_free_workers(self):
        """Guards against jobs that wait by choice while most of the workers' room is free."""
        found = []
        for number in range(SCENARIOS):
            scenario = IdleScenario(SEED, number)
            scenario.play_to_end(DURATION_MS)
            found += [f"{scenario.name}: {idle}" for idle in scenario.watch.found]
        if found:
            self.fail("\n".join([f"{len(found)} idle in {SCENARIOS} scenarios", *found]))

    def test_many_scenarios_have_a_job_that_might_run(self):
        """Guards against a generator whose scenarios no longer meet the rule's conditions."""
        scenarios = [IdleScenario(SEED, number) for number in range(100)]
        for scenario in scenarios:
            scenario.watch.observe()
        self.assertGreaterEqual(sum(bool(each.watch.idle_jobs()) for each in scenarios), 30)


class IdleWatchTests(testtools.TestCase):
    """The watch must find what breaks the rule, and nothing else."""

    def setUp(self):
        super().setUp()
        self.play = PlanningPlay()
        self.watch = IdleWatch(self.play)
        for number in range(4):
            self.play.add(worker(f"w{number}"))

    def observe(self, duration_ms):
        """Observe a planner that starts nothing."""
        with mock.patch.object(Planner, "plan", lambda planner: Plan()):
            for _ in range(0, duration_ms + 1, PLAN_INTERVAL_MS):
                self.play.step()
                self.watch.observe()
                self.play.advance()
        return [(each.job, each.idle_ms) for each in self.watch.found]

    def occupy(self, *ids):
        self.play.submit(job_command("load", StepSpec(len(ids), WHOLE_WORKER)))
        on = {f"0.0.{number}": id for number, id in enumerate(ids)}
        self.play.start_on("load", on, age_ms=0, run_ms=LONG_MS)

    def test_a_job_that_might_run_is_found_after_the_limit(self):
        self.play.submit(job_command("j", StepSpec(2, WHOLE_WORKER, is_gang=True)))
        self.assertEqual([], self.observe(IDLE_LIMIT_MS - PLAN_INTERVAL_MS))
        self.assertEqual([("j", IDLE_LIMIT_MS)], self.observe(0))

    def test_a_gang_that_fits_once_is_not_found(self):
        self.play.submit(job_command("j", StepSpec(3, WHOLE_WORKER, is_gang=True)))
        self.assertEqual([], self.observe(2 * IDLE_LIMIT_MS))

    def test_a_job_beside_workers_half_in_use_is_not_found(self):
        self.occupy("w0", "w1")
        self.play.submit(job_command("j"))
        self.assertEqual([], self.observe(2 * IDLE_LIMIT_MS))

    def test_the_room_of_workers_that_may_not_start_runs_does_not_count(self):
        self.play.submit(job_command("j", StepSpec(1, WHOLE_WORKER)))
        for id, flag in (("w0", "answers"), ("w1", "accepts_starts"), ("w2", "has_recent_report")):
            self.play.set_health(id, **{flag: False})
        self.assertEqual([], self.observe(2 * IDLE_LIMIT_MS))

    def test_the_time_counts_on_end_only(self):
        self.play.submit(job_command("j"))
        self.observe(IDLE_LIMIT_MS - PLAN_INTERVAL_MS)
        for number in range(4):
            self.play.set_health(f"w{number}", answers=False)
        self.observe(0)
        for number in range(4):
            self.play.set_health(f"w{number}", answers=True)
        self.assertEqual([], self.observe(IDLE_LIMIT_MS - PLAN_INTERVAL_MS))

    def test_a_job_that_is_not_due_or_has_a_run_is_not_found(self):
        due_ms = START_MS + 60_000
        self.play.submit(job_command("later", start_at_ms=due_ms, repeat_count=1))
        self.play.submit(job_command("running", StepSpec(2, SUBTASK_RESOURCES)))
        self.play.start_on("running", {"0.0.0": "w0"}, age_ms=0, run_ms=LONG_MS)
        self.assertEqual([], self.observe(2 * IDLE_LIMIT_MS))


class PlayCase(testtools.TestCase):
    """The waits of jobs in plays of their own; `team` has 8 accelerators guaranteed."""

    def new_play(self, racks, workers_per_rack, **options):
        """Return a play with workers named by their rack and a number."""
        play = PlanningPlay(**options)
        for rack in racks:
            play.add(*(worker(f"{rack}{n}", rack) for n in range(workers_per_rack)))
        return play

    def submit(self, play, id, step, priority, team="other", age_ms=0, run_ms=0):
        at_ms = play.now_ms - age_ms
        command = job_command(id, step, priority=priority, at_ms=at_ms)
        play.submit(msgspec.structs.replace(command, team=team), run_ms)

    def run_on(self, play, id, workers, need, priority, run_ms=LONG_MS):
        """Start a run on each of some workers."""
        self.submit(play, id, StepSpec(len(workers), need, estimated_ms=run_ms), priority)
        on = {f"0.0.{number}": name for number, name in enumerate(workers)}
        play.start_on(id, on, age_ms=0, run_ms=run_ms)

    def wait_of(self, play, id):
        """Return after how many ms a job starts that the rule applies to from the beginning."""
        watch = IdleWatch(play)
        watch.observe()
        self.assertIn(id, watch.idle_jobs())
        return play.wait_until_started(id, OBSERVED_MS)

    def assert_in_time(self, waits_ms):
        """Check waits by their cases; None is longer than `OBSERVED_MS`."""
        late = {case: ms for case, ms in waits_ms.items() if ms is None or ms > IDLE_LIMIT_MS}
        self.assertEqual({}, late)


URGENCIES = ((0, "team"), (0, "other"), (1, "other"), (2, "other"))
"""Priorities and teams: within a guarantee, beyond it, usual, and least urgent."""


class ChosenWaitTests(PlayCase):
    """A job may wait by choice for `IDLE_LIMIT_MS` at most while most of the room is free."""

    def test_a_gang_does_not_wait_for_a_rack_that_too_few_workers_answer_in(self):
        """Guards against a wait until the job is hopeless, for workers that do not answer."""
        waits_ms = {}
        for priority, team in URGENCIES:
            for work_ms in (2_500, 8_500):
                play = self.new_play("abcd", 10)
                for rack in "abcd":
                    for number in range(4, 10):
                        play.set_health(f"{rack}{number}", answers=False)
                need = Resources(cpu=16_000, mem_mb=200, gpu=1 if team == "team" else 8)
                step = StepSpec(5, need, estimated_ms=work_ms, is_gang=True, same_rack=True)
                self.submit(play, "gang", step, priority, team)
                waits_ms[priority, team, work_ms] = self.wait_of(play, "gang")
        self.assert_in_time(waits_ms)

    def test_a_subtask_does_not_wait_for_a_data_rack_that_does_not_answer(self):
        """Guards against a wait of twice the expected duration for a rack that is cut off."""
        waits_ms = {}
        for priority, team in URGENCIES:
            for work_ms in (2_500, 8_500):
                play = self.new_play("ab", 4)
                for number in range(4):
                    play.set_health(f"a{number}", answers=False)
                step = StepSpec(1, SUBTASK_RESOURCES, estimated_ms=work_ms, data_rack="a")
                self.submit(play, "j", step, priority, team)
                waits_ms[priority, team, work_ms] = self.wait_of(play, "j")
        self.assert_in_time(waits_ms)

    def test_work_does_not_wait_for_a_rack_whose_workers_have_shrunk(self):
        """Guards against a wait until the job is hopeless, for capacity that was there once."""
        waits_ms = {}
        gang = StepSpec(5, WHOLE_WORKER, estimated_ms=8_500, is_gang=True, same_rack=True)
        subtask = StepSpec(1, WHOLE_WORKER, estimated_ms=8_500, data_rack="a")
        for name, step in (("gang", gang), ("subtask", subtask)):
            play = self.new_play("abcd", 10)
            for rack in "abcd":
                for number in range(0 if rack == "a" else 4, 10):
                    shrunken = worker(f"{rack}{number}", rack)
                    shrunken.capacity = Resources(cpu=8_000, mem_mb=5_000, gpu=4)
                    play.add(shrunken)
            if step.is_gang:
                play.add(worker("a0", "a"), worker("a1", "a"))
            self.submit(play, "j", step, 1)
            waits_ms[name] = self.wait_of(play, "j")
        self.assert_in_time(waits_ms)

    def test_a_small_job_starts_beside_a_gang_that_cannot(self):
        """Guards against room that is kept for a gang while nothing shows when the rest is free.

        A run of long duration on each of six workers is in the way of a gang of all ten.
        """
        waits_ms = {}
        for priority in (1, 2):
            play = self.new_play("a", 10)
            self.run_on(play, "load", [f"a{n}" for n in range(6)], SUBTASK_RESOURCES, 0)
            gang = StepSpec(10, WHOLE_WORKER, estimated_ms=30_000, is_gang=True)
            self.submit(play, "gang", gang, 1, age_ms=5_000)
            small = StepSpec(1, SUBTASK_RESOURCES, estimated_ms=30_000)
            self.submit(play, "small", small, priority)
            waits_ms[priority] = self.wait_of(play, "small")
        self.assert_in_time(waits_ms)

    def test_the_least_urgent_work_does_not_leave_free_workers_empty(self):
        """Guards against a wait for a share of a long slack while nothing else needs the room.

        Nine of ten workers run one subtask of more urgent work each.
        """
        waits_ms = {}
        for target_ms in (1_000, 30_000):
            play = self.new_play("a", 10, in_force=manifest(target_ms=target_ms))
            self.run_on(play, "load", [f"a{n}" for n in range(9)], SUBTASK_RESOURCES, 1)
            self.submit(play, "j", StepSpec(1, SUBTASK_RESOURCES, estimated_ms=8_500), 2)
            waits_ms[target_ms] = self.wait_of(play, "j")
        self.assert_in_time(waits_ms)


class WaitsInARowTests(PlayCase):
    """Several waits, each of which is short enough, must not add up to more than the limit.

    The rack of the data is full. Outside it slow workers are free, and the runs on the fast ones,
    which may be preempted, do not stop as ordered.
    """

    def new_crowded_play(self, slow_pace):
        play = self.new_play("dfs", 4, stop_delay_ms=OBSERVED_MS)
        for rack, pace in (("d", 1.0), ("f", 0.6), ("s", slow_pace)):
            play.paces.update({(f"{rack}{number}", 1): pace for number in range(4)})
        play.add(*(worker(f"spare{number}", "s") for number in range(8)))
        play.paces.update({(f"spare{number}", 1): slow_pace for number in range(8)})
        self.run_on(play, "data", [f"d{n}" for n in range(4)], Resources(cpu=500, gpu=8), 0)
        self.run_on(play, "batch", [f"f{n}" for n in range(4)], Resources(cpu=500, gpu=8), 2)
        return play

    def test_a_wait_for_a_rack_and_one_for_a_pace(self):
        """Guards against a second wait that begins where the first one ends."""
        waits_ms = {}
        for priority, team in URGENCIES:
            for work_ms in (700, 1_000, 1_400):
                for slow_pace in (1.7, 2.0):
                    play = self.new_crowded_play(slow_pace)
                    step = StepSpec(1, SUBTASK_RESOURCES, estimated_ms=work_ms, data_rack="d")
                    self.submit(play, "j", step, priority, team)
                    case = (priority, team, work_ms, slow_pace)
                    waits_ms[case] = self.wait_of(play, "j")
        self.assert_in_time(waits_ms)

    def test_a_wait_for_a_trial_then_one_for_a_rack_then_one_for_a_pace(self):
        """Guards against waits of a suspect that add up, where each alone is short enough."""
        waits_ms = {}
        for priority, team in URGENCIES:
            for work_ms in (700, 1_000, 1_400):
                play = self.new_crowded_play(slow_pace=2.0)
                self.run_on(play, "beside", self.free_workers(), Resources(cpu=500, gpu=1), 1)
                step = StepSpec(1, SUBTASK_RESOURCES, estimated_ms=work_ms, data_rack="d")
                self.submit(play, "j", step, priority, team)
                self.crash_under(play, "j")
                waits_ms[priority, team, work_ms] = self.wait_of(play, "j")
        self.assert_in_time(waits_ms)

    def free_workers(self):
        return [f"s{n}" for n in range(4)] + [f"spare{n}" for n in range(8)]

    def crash_under(self, play, job):
        """Let a worker crash under the first subtask of a job just now."""
        crashed = worker("crashed", "s")
        play.add(crashed)
        play.start_on(job, {"0.0.0": "crashed"}, age_ms=10, run_ms=LONG_MS)
        play.crash(crashed, play.now_ms, play.now_ms)


class KeptWaitTests(PlayCase):
    """What a bound on waits must not break."""

    def test_a_large_gang_is_not_starved_by_small_jobs(self):
        """Guards against a gang whose reservation small jobs may pass for ever.

        Three subtasks of 3 s arrive with each plan, which keep 45 of 64 accelerators busy. The gang
        needs half of the workers.
        """
        work_ms = 8_500
        for priority in (1, 2):
            play = self.new_play("ab", 4)
            for _ in range(30):
                self.advance_beside_small_jobs(play, priority)
            gang = StepSpec(4, WHOLE_WORKER, estimated_ms=work_ms, is_gang=True)
            self.submit(play, "gang", gang, 1)
            slack_ms = 2 * work_ms + 1_000
            began_ms = play.now_ms
            while not play.is_running("gang") and play.now_ms - began_ms <= 2 * slack_ms:
                self.advance_beside_small_jobs(play, priority)
            self.assertLessEqual(play.now_ms - began_ms, slack_ms, f"priority {priority}")

    def advance_beside_small_jobs(self, play, priority):
        for number in range(3):
            small = StepSpec(1, SUBTASK_RESOURCES, estimated_ms=3_000)
            self.submit(play, f"small{play.now_ms}-{number}", small, priority)
        play.step()
        play.advance()

    def test_a_gang_waits_for_its_rack_where_most_of_the_fleet_is_in_use(self):
        """Guards against gangs across racks, which take three times as long, under load.

        One worker of each rack is free. Runs in the first rack end after 8 s.
        """
        for priority in (0, 1, 2):
            play = self.new_play("abcd", 4)
            rest = [f"{rack}{number}" for rack in "bcd" for number in range(1, 4)]
            self.run_on(play, "long", rest, WHOLE_WORKER, 0)
            self.run_on(play, "short", ["a1", "a2", "a3"], WHOLE_WORKER, 0, run_ms=8_000)
            gang = StepSpec(2, WHOLE_WORKER, estimated_ms=9_000, is_gang=True, same_rack=True)
            self.submit(play, "gang", gang, priority)
            self.assertEqual(8_000, play.wait_until_started("gang", OBSERVED_MS))
            self.assertEqual({"a"}, {id[0] for id in play.workers_of("gang")})

    def test_a_subtask_waits_for_its_data_where_most_of_the_fleet_is_in_use(self):
        """Guards against runs far from their data, which take three times as long, under load."""
        for priority in (0, 1, 2):
            play = self.new_play("ab", 4)
            self.run_on(play, "long", ["b0", "b1", "b2"], WHOLE_WORKER, 0)
            near = [f"a{number}" for number in range(4)]
            self.run_on(play, "short", near, WHOLE_WORKER, 0, run_ms=8_000)
            step = StepSpec(1, WHOLE_WORKER, estimated_ms=9_000, data_rack="a")
            self.submit(play, "j", step, priority)
            self.assertEqual(8_000, play.wait_until_started("j", OBSERVED_MS))
            self.assertEqual("a", play.workers_of("j")[0][0])
