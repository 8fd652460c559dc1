from agateferry_cli.client import ExitCode
from agateferry_cli.verbs.tests.test_local import LocalCase
from agateferry_jobs.history.tests.test_history import ONCE_STOPPED


class LogsCase(LocalCase):
    def log(self):
        return self.file("core.log", "\n".join(ONCE_STOPPED))


class TraceTests(LogsCase):
    def test_the_lines_of_a_job_in_order(self):
        self.assertEqual(ExitCode.OK, self.run_verb("trace", "j", self.log()))
        self.assertIn("reason=room for_job=u for_rank=1", self.out)

    def test_as_json(self):
        self.assertEqual(ExitCode.OK, self.run_verb("trace", "j", self.log(), "--json"))
        self.assertEqual(7, len(self.json_out()))

    def test_a_job_without_log_lines_is_a_usage_error(self):
        self.assertEqual(ExitCode.USAGE, self.run_verb("trace", "x", self.log()))
        self.assertIn("no line is about x", self.err)

    def test_a_file_without_log_lines_is_a_usage_error(self):
        file = self.file("other.txt", "hello")
        self.assertEqual(ExitCode.USAGE, self.run_verb("trace", "j", file))
        self.assertIn("no log line", self.err)


class AnalyzeTests(LogsCase):
    def test_both_tables(self):
        self.assertEqual(ExitCode.OK, self.run_verb("analyze", self.log()))
        self.assertIn("waited to start again", self.out)
        self.assertIn("lost: stopped, room for rank 1", self.out)

    def test_as_json(self):
        self.assertEqual(ExitCode.OK, self.run_verb("analyze", self.log(), "--json"))
        self.assertEqual(1, self.json_out()["jobs"])
        self.assertEqual(8, self.json_out()["thrown_away"][0]["seconds"])

    def test_without_a_log(self):
        self.assertEqual(ExitCode.USAGE, self.run_verb("analyze"))
