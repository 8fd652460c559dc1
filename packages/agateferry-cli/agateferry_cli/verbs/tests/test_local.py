import tempfile
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

from agateferry_cli import main as main_module
from agateferry_cli.client import ExitCode
from agateferry_cli.verbs import replay
from agateferry_cli.verbs.tests.case import VerbCase

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
    def test_a_good_file(self):
        file = self.file("a.toml", SETTINGS.format(name="a1"))
        self.assertEqual(ExitCode.OK, self.run_verb("check-config", file))
        self.assertIn("1 settings file(s) are valid", self.out)

    def test_faults_are_listed(self):
        file = self.file("a.toml", SETTINGS.format(name="a1") + "[limits]\nmax_wait = 4\n")
        self.assertEqual(ExitCode.USAGE, self.run_verb("check-config", file, "--json"))
        (problem,) = self.json_out()["problems"]
        self.assertEqual("limits.max_wait", problem["key"])

    def test_hosts_with_different_peers_are_told(self):
        files = [self.file(f"{n}.toml", SETTINGS.format(name=n)) for n in ("a1", "a2")]
        self.assertEqual(ExitCode.USAGE, self.run_verb("check-config", *files))
        self.assertIn("differ from those in", self.out)


class MainTests(LocalCase):
    def test_a_fault_shows_no_traceback(self):
        with mock.patch.object(main_module, "_dispatch", side_effect=KeyError("x")):
            self.assertEqual(ExitCode.INTERNAL, self.run_verb("status", "x"))
        self.assertNotIn("Traceback", self.err)

    def test_an_interrupt_has_its_code(self):
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


@dataclass
class FakeReport:
    trace: str = "storm"
    policy: str = "fair"
    broken: str | None = None
    samples: tuple = ()

    def rows(self):
        return [("fragmentation", "1.00 %")]


class ReplayTests(LocalCase):
    def replay(self, report, *argv):
        trace = self.file("storm.jsonl", "")
        module = mock.Mock()
        module.replay.return_value = report
        with mock.patch.object(replay.importlib, "import_module", return_value=module):
            code = self.run_verb("replay", trace, *argv)
        self.assertEqual(trace, module.replay.call_args.args[0])
        return code

    def test_shows_the_report(self):
        self.assertEqual(ExitCode.OK, self.replay(FakeReport()))
        self.assertRegex(self.out, r"fragmentation +1.00 %")

    def test_a_broken_invariant_is_told_by_the_exit_code(self):
        report = FakeReport(broken="at 5 ms: x")
        self.assertEqual(ExitCode.REQUEST_FAILED, self.replay(report, "--json"))
        self.assertEqual("at 5 ms: x", self.json_out()["broken"])

    def test_a_missing_trace_says_where_traces_come_from(self):
        self.assertEqual(ExitCode.USAGE, self.run_verb("replay", self.folder / "none.jsonl"))
        self.assertIn("recording.trace_file", self.err)

    def test_a_missing_module_is_a_clear_error(self):
        trace = self.file("storm.jsonl", "")
        with mock.patch.object(replay, "MODULE", "agateferry_scheduling.nothing"):
            self.assertEqual(ExitCode.USAGE, self.run_verb("replay", trace))
        self.assertIn("is not installed", self.err)
