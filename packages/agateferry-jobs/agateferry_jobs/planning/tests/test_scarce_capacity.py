from dataclasses import replace

import msgspec
import testtools

from agateferry_jobs.ledger import Ledger, commands
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.planning import Fleet, Planner, WorkerHealth
from agateferry_jobs.planning.options import DEFAULT_OPTIONS
from agateferry_jobs.support import job_command, manifest, worker

WHOLE_WORKER = Resources(cpu=1000, mem_mb=100, gpu=8)
HALF_WORKER = Resources(cpu=500, mem_mb=50, gpu=4)
BEFORE = replace(DEFAULT_OPTIONS, late_work_yields=False, values_victims=False, shares_fairly=False)


class ScarceCase(testtools.TestCase):
    """One worker with eight accelerators; jobs of 2 s have a slack of 5 s, and are late to 19 s."""

    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        self.workers = ["w1"]
        self.apply(commands.PutManifest(manifest()))
        self.apply(commands.NoteWorker(worker("w1")))

    def apply(self, command):
        self.ledger.apply(1, commands.encode(command))

    def submit(self, id, at_ms=0, priority=2, team="other", need=WHOLE_WORKER, **step):
        """Submit a job of a team without a guarantee."""
        spec = StepSpec(step.pop("count", 1), need, **({"estimated_ms": 2000} | step))
        command = job_command(id, spec, priority=priority, at_ms=at_ms)
        self.apply(msgspec.structs.replace(command, team=team))

    def plan(self, now_ms, options=DEFAULT_OPTIONS):
        health = {id: WorkerHealth() for id in self.workers}
        fleet = Fleet.from_ledger(self.ledger, health, ())
        return Planner(self.ledger, fleet, now_ms, options).plan()

    def start(self, now_ms):
        """Apply the starts of a plan, and return their jobs."""
        starts = self.plan(now_ms).starts
        self.apply(commands.StartRuns(tuple(starts), now_ms))
        return [start.job for start in starts]

    def stopped(self, now_ms, options=DEFAULT_OPTIONS):
        return [stop.key[0] for stop in self.plan(now_ms, options).stops]


class LateWorkTests(ScarceCase):
    def test_late_urgent_work_goes_after_work_that_can_be_in_time(self):
        self.submit("late", priority=0)
        self.submit("batch", at_ms=8_500, priority=2)
        self.assertEqual(["batch"], self.start(10_000))

    def test_late_urgent_work_preempts_nothing(self):
        """Nine of ten runs of some days were stopped for urgent jobs, some of them late already."""
        self.submit("low", priority=2)
        self.start(1_100)
        self.submit("urgent", priority=0)
        self.assertEqual(["low"], self.stopped(1_500))
        self.assertEqual([], self.stopped(5_001))

    def test_late_work_runs_when_there_is_free_capacity(self):
        self.submit("late", priority=0)
        self.assertEqual(["late"], self.start(30_000))

    def test_work_within_the_guarantee_goes_first_and_preempts_even_if_it_is_late(self):
        self.submit("low", at_ms=8_500)
        self.start(9_900)
        self.submit("owed", priority=0, team="team")
        self.submit("borrowed", at_ms=10_000, priority=0)
        self.assertEqual(["low"], self.stopped(10_001))
        self.assertEqual({"owed"}, {stop.for_job for stop in self.plan(10_001).stops})


class VictimTests(ScarceCase):
    def test_a_job_that_can_no_longer_be_in_time_is_stopped_first(self):
        """By rank and lost work alone the run that started last is stopped."""
        self.submit("hopeless", need=HALF_WORKER)
        self.start(31_400)
        self.submit("in-time", at_ms=28_000, need=HALF_WORKER)
        self.start(32_000)
        self.submit("urgent", at_ms=32_400, priority=0, need=HALF_WORKER)
        self.assertEqual(["in-time"], self.stopped(32_400, BEFORE))
        self.assertEqual(["hopeless"], self.stopped(32_400))

    def test_a_run_that_is_nearly_done_is_spared(self):
        self.submit("old", need=HALF_WORKER)
        self.start(1_100)
        self.submit("new", at_ms=1_500, need=HALF_WORKER)
        self.start(2_600)
        self.submit("urgent", at_ms=3_000, priority=0, need=HALF_WORKER)
        self.assertEqual(["new"], self.stopped(3_000))

    def test_a_gang_is_not_stopped_for_a_job_that_gains_less(self):
        self.submit("gang", priority=1, count=2, need=HALF_WORKER, is_gang=True, estimated_ms=9_000)
        self.start(100)
        self.submit("urgent", at_ms=8_000, priority=0, need=Resources(gpu=1), estimated_ms=500)
        self.assertEqual(["gang", "gang"], self.stopped(8_000, BEFORE))
        self.assertEqual([], self.stopped(8_000))


class RoomTests(ScarceCase):
    def test_a_day_with_room_is_planned_as_before(self):
        for number in range(2, 8):
            self.workers.append(f"w{number}")
            self.apply(commands.NoteWorker(worker(f"w{number}")))
        for number, (priority, at_ms) in enumerate([(0, 0), (2, 100), (1, 2_000), (0, 9_000)]):
            self.submit(f"j{number}", at_ms, priority, count=2, need=HALF_WORKER, is_gang=True)
        for now_ms in (9_000, 12_000, 40_000):
            self.assertEqual(self.plan(now_ms, BEFORE), self.plan(now_ms))
            self.assertEqual(8, len(self.plan(now_ms).starts))


class FairShareTests(ScarceCase):
    def test_a_team_with_one_job_goes_before_a_team_with_a_hundred(self):
        for number in range(100):
            self.submit(f"many{number:02d}", team="large", need=HALF_WORKER)
        self.submit("one", at_ms=1, team="small", need=HALF_WORKER)
        self.assertEqual({"many00", "one"}, set(self.start(1_500)))

    def test_a_team_that_is_alone_gets_everything(self):
        for number in range(10):
            self.submit(f"many{number}", team="large", need=HALF_WORKER)
        self.assertEqual(2, len(self.start(1_500)))

    def test_what_a_team_uses_already_counts(self):
        self.submit("a", team="large", need=HALF_WORKER)
        self.start(1_500)
        self.submit("b", team="large", need=HALF_WORKER)
        self.submit("c", at_ms=1, team="small", need=HALF_WORKER)
        self.assertEqual(["c"], self.start(1_600))

    def test_a_guarantee_takes_precedence(self):
        self.submit("owed", priority=0, team="team")
        self.submit("other", priority=0, team="small")
        self.assertEqual(["owed"], self.start(100))

    def test_work_within_the_guarantee_does_not_count_against_its_team(self):
        self.submit("owed", priority=0, team="team", need=HALF_WORKER)
        self.submit("beyond", priority=2, team="team", need=HALF_WORKER)
        self.submit("other", at_ms=1, team="small", need=HALF_WORKER)
        self.assertEqual(["owed", "beyond"], self.start(1_500))
