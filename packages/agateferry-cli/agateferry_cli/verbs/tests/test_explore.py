from unittest import mock

from agateferry_cli.client import ExitCode
from agateferry_cli.verbs.tests.case import VerbCase
from agateferry_jobs.workers.lease import Lease
from agateferry_platform.exploration import day, search
from agateferry_platform.exploration.faults import Fault, FaultKind
from agateferry_platform.exploration.search import play_drawn

CUT = Fault(FaultKind.CUT, tuple(f"10.0.2.{number}" for number in range(4)), 8_000, 13_000)
SEEDS = (1, 2, 3, 4, 5, 6)
NEEDLESS = Fault(FaultKind.FREEZE, ("10.0.1.1",), 20_000, 20_500)


class OptionsTests(VerbCase):
    def test_an_unknown_kind_of_fault(self):
        self.assertEqual(ExitCode.USAGE, self.run_verb("explore", "--faults", "kill,rain"))
        self.assertIn("no kind of fault: rain", self.err)
        self.assertIn(f"The kinds are {', '.join(FaultKind)}.", self.err)

    def test_no_days_and_too_many_jobs(self):
        self.assertEqual(ExitCode.USAGE, self.run_verb("explore", "--days", "0"))
        self.assertEqual(ExitCode.USAGE, self.run_verb("explore", "--jobs", "100000"))


class ExploreTests(VerbCase):
    def test_summary_of_sound_days(self):
        code = self.run_verb("explore", "--days", "2", "--faults", "kill", "--jobs", "2", "--json")
        self.assertEqual(ExitCode.OK, code)
        summary = self.json_out()
        self.assertEqual((2, {"kill": 2}, {}), self.counts(summary))

    def test_replay_shows_the_day_that_was_explored(self):
        self.assertEqual(ExitCode.OK, self.run_verb("explore", "--replay", "1", "--json"))
        shown = self.json_out()
        self.assertEqual(play_drawn(1, tuple(FaultKind)).digest, shown["digest"])
        self.assertIn("answered", " ".join(shown["observations"]))

    def counts(self, summary):
        return summary["days"], summary["days_by_fault"], summary["broken_rules"]


class SearchTests(VerbCase):
    def test_days_go_on_in_new_processes(self):
        """A search once stopped for good when a process had played its days."""
        with mock.patch.object(search, "DAYS_PER_PROCESS", 2):
            played = list(search.explore(SEEDS, (FaultKind.KILL,), 2))
        self.assertEqual(SEEDS, tuple(each.seed for each in played))


class ShrinkTests(VerbCase):
    def test_a_day_keeps_only_the_faults_that_break_its_rule(self):
        """Leases that are not waited for are seen where a worker is cut off, not where it isn't."""
        plan = day.DayPlan(job_count=80, faults=(NEEDLESS, CUT))
        with (
            mock.patch.multiple(Lease, is_expired=lambda *_: True, left_ms=lambda *_: 0),
            mock.patch("agateferry_platform.exploration.search.draw_plan", lambda *_: plan),
        ):
            played = play_drawn(1, tuple(FaultKind))
        self.assertEqual({"TWICE"}, {each.rule for each in played.violations})
        self.assertEqual((CUT,), played.faults)
