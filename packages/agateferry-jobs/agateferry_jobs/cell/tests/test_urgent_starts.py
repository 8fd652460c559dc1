import testtools

from agateferry_jobs import metrics
from agateferry_jobs.cell.tests.test_waiting_jobs import RecordingLog
from agateferry_jobs.cell.urgent_starts import LATE_START_MS, MAX_STAGES, UrgentStarts
from agateferry_jobs.ledger import Ledger, Run, commands
from agateferry_jobs.ledger.specs import Resources, StepSpec
from agateferry_jobs.planning import Plan
from agateferry_jobs.planning.idle_jobs import WaitChoice
from agateferry_jobs.planning.plan import Stop
from agateferry_jobs.planning.wait_reasons import WaitReason
from agateferry_jobs.support import job_command, manifest
from agateferry_jobs.support.builders import start_of

ACCEPTED_MS = 100


class UrgentStartsTests(testtools.TestCase):
    """An urgent job began 3.1 s after its acceptance, and no log line told what had held it up."""

    def setUp(self):
        super().setUp()
        self.ledger = Ledger()
        self.ledger.apply(1, commands.encode(commands.PutManifest(manifest())))
        step = StepSpec(2, Resources(1000, 100, 4))
        self.accept(job_command("j", step, priority=0, at_ms=ACCEPTED_MS))
        self.starts = UrgentStarts(self.ledger)
        self.log = self.starts._log = RecordingLog()

    def accept(self, command):
        self.ledger.apply(2, commands.encode(command))

    def observe(self, age_ms, reason, rank=0, choices=(), stops=()):
        plan = Plan(
            waits={"j": reason}, ranks={"j": rank}, choices={"j": choices}, stops=list(stops)
        )
        self.starts.observe(plan, ACCEPTED_MS + age_ms)

    def begin(self, age_ms, *names):
        for name in names or ("0.0.0", "0.0.1"):
            self.starts.run_begun(("j", name), ACCEPTED_MS + age_ms)

    def counted(self, kind):
        return metrics.URGENT_START_SECONDS.labels(kind)._sum.get()

    def test_stages_tell_reason_rank_choices_and_the_teams_sum(self):
        self.observe(0, WaitReason.NOTHING_TO_STOP, choices=(WaitChoice.RACK,))
        self.observe(200, WaitReason.NOTHING_TO_STOP, choices=(WaitChoice.RACK,))
        self.observe(LATE_START_MS, WaitReason.LATE, rank=1)
        number, fields = self.log.lines[0]
        self.assertEqual((7318, LATE_START_MS), (number, fields["age_ms"]))
        expected = [
            "0 nothing-to-stop rank=0 choices=rack team=8/8",
            f"{LATE_START_MS} late rank=1 choices=none team=8/8",
        ]
        self.assertEqual(expected, fields["stages"])

    def test_a_job_that_waits_is_logged_once_and_again_when_it_begins(self):
        for age_ms in (LATE_START_MS, LATE_START_MS + 200):
            self.observe(age_ms, WaitReason.NO_ROOM)
        self.begin(LATE_START_MS + 500)
        self.assertEqual([7318, 7319], [number for number, _ in self.log.lines])

    def test_a_job_that_begins_soon_is_counted_but_not_logged(self):
        before = self.counted("guaranteed")
        self.begin(400)
        self.assertEqual([], self.log.lines)
        self.assertAlmostEqual(before + 0.4, self.counted("guaranteed"))

    def test_a_job_begins_with_the_last_subtask_of_its_first_step(self):
        """One subtask of a step that begins early would hide the others that wait."""
        before = self.counted("borrowed")
        self.observe(0, WaitReason.NO_ROOM, rank=1)
        self.begin(100, "0.0.1")
        self.assertEqual(before, self.counted("borrowed"))
        self.begin(300, "0.0.0")
        self.assertAlmostEqual(before + 0.3, self.counted("borrowed"))

    def test_later_runs_of_a_job_that_has_begun_are_not_counted(self):
        self.begin(100)
        before = self.counted("guaranteed")
        self.begin(9_000)
        self.observe(9_000, WaitReason.NO_ROOM)
        self.assertEqual([], self.log.lines)
        self.assertEqual(before, self.counted("guaranteed"))

    def test_stops_without_an_end_are_named(self):
        stops = [Stop((id, "0.0.0"), Run(1, f"on-{id}", 1), "j", 0) for id in ("a", "b")]
        self.observe(200, WaitReason.PREEMPTING, stops=stops)
        self.starts.run_ended(("a", "0.0.0"))
        self.observe(LATE_START_MS, WaitReason.PREEMPTING)
        self.assertEqual(["b.0.0.0 on on-b since 200"], self.log.lines[0][1]["open_stops"])

    def test_a_placed_run_stands_among_the_stages(self):
        """A start that is ordered in time and begins late would look like one that was in time."""
        self.starts.run_placed(start_of("j", "0.0.0"), ACCEPTED_MS + 300)
        self.observe(LATE_START_MS, WaitReason.HELD)
        self.assertIn("300 placed 0.0.0 run 1 on w1", self.log.lines[0][1]["stages"])

    def test_stages_are_limited(self):
        for number in range(3 * MAX_STAGES):
            self.observe(number, WaitReason.HELD if number % 2 else WaitReason.NO_ROOM)
        self.observe(LATE_START_MS, WaitReason.LATE)
        self.assertEqual(MAX_STAGES, len(self.log.lines[0][1]["stages"]))

    def test_other_jobs_are_not_tracked(self):
        self.accept(job_command("k", priority=1, at_ms=ACCEPTED_MS))
        plan = Plan(waits={"k": WaitReason.NO_ROOM})
        self.starts.observe(plan, ACCEPTED_MS + LATE_START_MS)
        self.starts.run_begun(("k", "0.0.0"), ACCEPTED_MS + LATE_START_MS)
        self.assertEqual([], self.log.lines)
