import tempfile
from pathlib import Path
from unittest import mock

from agateferry_cli import main as main_module
from agateferry_cli.client import ExitCode
from agateferry_cli.verbs.tests.case import VerbCase
from agateferry_scheduling.traces.makers import storm
from agateferry_scheduling.traces.records import write_trace
from agateferry_scheduling.traces.report import Report

SETTINGS = """
[host]
name = "{name}"
zone = "a"
data_folder = "data"
[listen]
callers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
endpoints = "127.0.0.1:7003"
peers = "127.0.0.1:7004"
[[peers]]
name = "{name}"
zone = "a"
peers = "127.0.0.1:7004"
callers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
records_voter = true
"""


class LocalCase(VerbCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def file(self, name, text):
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return path


class CheckConfigTests(LocalCase):
    def test_a_valid_file(self):
        file = self.file("a.toml", SETTINGS.format(name="a1"))
        self.assertEqual(ExitCode.OK, self.run_verb("check-config", file))
        self.assertIn("1 settings file(s) are valid", self.out)

    def test_problems_are_listed(self):
        file = self.file("a.toml", SETTINGS.format(name="a1") + "[limits]\nmax_wait = 4\n")
        self.assertEqual(ExitCode.USAGE, self.run_verb("check-config", file, "--json"))
        (problem,) = self.json_out()["problems"]
        self.assertEqual("limits.max_wait", problem["key"])

    def test_hosts_with_different_peers_are_reported(self):
        files = [self.file(f"{n}.toml", SETTINGS.format(name=n)) for n in ("a1", "a2")]
        self.assertEqual(ExitCode.USAGE, self.run_verb("check-config", *files))
        self.assertIn("differ from those in", self.out)


class MainTests(LocalCase):
    def test_an_internal_error_shows_no_traceback(self):
        with mock.patch.object(main_module, "_dispatch", side_effect=KeyError("x")):
            self.assertEqual(ExitCode.INTERNAL, self.run_verb("status", "x"))
        self.assertNotIn("Traceback", self.err)

    def test_an_interrupt_has_its_own_exit_code(self):
        with mock.patch.object(main_module, "_dispatch", side_effect=KeyboardInterrupt):
            self.assertEqual(ExitCode.INTERRUPTED, self.run_verb("watch", "x"))

    def test_an_unknown_verb_is_a_usage_error(self):
        self.assertEqual(ExitCode.USAGE, self.run_verb("statu"))

    def test_every_verb_has_help_and_json(self):
        for name, verb in main_module.VERBS.items():
            nested = verb if isinstance(verb, dict) else {None: verb}
            for inner in nested:
                argv = [part for part in (name, inner) if part]
                self.assertEqual(ExitCode.OK, self.run_verb(*argv, "--help"))
                self.assertIn("--json", self.out)


class ReplayTests(LocalCase):
    def setUp(self):
        super().setUp()
        self.trace = self.folder / "storm.jsonl"
        write_trace(self.trace, storm(1, 0.02))

    def test_shows_the_report(self):
        self.assertEqual(ExitCode.OK, self.run_verb("replay", self.trace))
        self.assertRegex(self.out, r"storm +fair")
        self.assertRegex(self.out, r"broken invariant +none")

    def test_the_baseline_can_be_replayed_too(self):
        code = self.run_verb("replay", self.trace, "--policy", "baseline", "--json")
        self.assertEqual(("baseline", None), (self.json_out()["policy"], self.json_out()["broken"]))
        self.assertEqual(ExitCode.OK, code)

    def test_a_broken_invariant_sets_the_exit_code(self):
        report = Report("storm", "fair", broken="at 5 ms: x")
        with mock.patch("agateferry_scheduling.traces.replay.replay", return_value=report):
            code = self.run_verb("replay", self.trace, "--json")
        self.assertEqual(ExitCode.REQUEST_FAILED, code)
        self.assertEqual("at 5 ms: x", self.json_out()["broken"])

    def test_a_missing_trace_names_the_setting_that_records_one(self):
        self.assertEqual(ExitCode.USAGE, self.run_verb("replay", self.folder / "none.jsonl"))
        self.assertIn("recording.trace_file", self.err)

    def test_a_file_that_is_not_a_trace_is_a_usage_error(self):
        bad = self.file("bad.jsonl", '{"event": "nothing"}\n')
        self.assertEqual(ExitCode.USAGE, self.run_verb("replay", bad))
        self.assertIn("is not a trace", self.err)

    def test_an_empty_trace_is_a_usage_error(self):
        self.assertEqual(ExitCode.USAGE, self.run_verb("replay", self.file("none.jsonl", "")))
        self.assertIn("holds no records", self.err)
