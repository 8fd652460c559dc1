import json
import tempfile
from pathlib import Path

from agateferry_cli.client import ExitCode
from agateferry_cli.verbs.put import put_body
from agateferry_cli.verbs.tests.case import VerbCase

PATH = "/v1/records/job/barn-count"
RECORD = {
    "kind": "job",
    "name": "barn-count",
    "version": 3,
    "revision": 12,
    "schema": "v2",
    "content": {"urgency": "urgent"},
}


class RecordsTests(VerbCase):
    def file(self, document):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "record.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        return path

    def records(self, host, *argv):
        return self.run_verb("records", *argv, "--operators", host.address)

    def test_what_get_prints_can_be_put_back(self):
        host = self.host({("GET", PATH): [(200, RECORD)], ("PUT", PATH): [(200, RECORD)]})
        self.assertEqual(ExitCode.OK, self.records(host, "get", "job", "barn-count", "--json"))
        file = self.file(self.json_out())
        self.assertEqual(
            ExitCode.OK, self.records(host, "put", "job", "barn-count", "--file", file)
        )
        expected = {"schema": "v2", "replaces": 3, "content": {"urgency": "urgent"}}
        self.assertEqual(expected, host.received[1].body)
        self.assertIn("version 3 stands, revision 12", self.out)

    def test_a_conflict_shows_the_current_version(self):
        conflict = {"reason": "version-conflict", "detail": "version 3 stands", "current": RECORD}
        host = self.host({("PUT", PATH): [(409, conflict)]})
        file = self.file({"urgency": "long"})
        argv = ("put", "job", "barn-count", "--file", file, "--replaces", 2)
        self.assertEqual(ExitCode.CONFLICT, self.records(host, *argv))
        self.assertIn('what stands: {"kind": "job"', self.err)

    def test_a_file_that_is_not_json_is_a_usage_error(self):
        file = self.file({})
        file.write_text("{", encoding="utf-8")
        host = self.host({})
        argv = ("put", "job", "barn-count", "--file", file, "--replaces", 0)
        self.assertEqual(ExitCode.USAGE, self.records(host, *argv))
        self.assertEqual([], host.received)

    def test_the_version_to_replace_must_be_known(self):
        self.assertIn("--replaces", put_body({}, None, None).error.advice)

    def test_lists_and_histories_are_printed_as_tables(self):
        host = self.host(
            {
                ("GET", "/v1/records/job"): [(200, {"records": [RECORD]})],
                ("GET", f"{PATH}/history"): [(200, {"versions": [RECORD]})],
            }
        )
        self.assertEqual(ExitCode.OK, self.records(host, "list", "job", "--schema", "v1"))
        self.assertIn("barn-count", self.out)
        self.assertEqual({"schema": "v1"}, host.received[0].query)
        self.assertEqual(ExitCode.OK, self.records(host, "history", "job", "barn-count"))
        self.assertRegex(self.out, r"job +barn-count +3 +12 +v2")

    def test_status_shows_hosts_that_are_behind(self):
        hosts = [
            {"host": "a1", "zone": "a", "revision": 12, "reachable": True},
            {"host": "b1", "zone": "b", "revision": 9, "reachable": True},
            {"host": "c1", "zone": "c", "revision": None, "reachable": False},
        ]
        status = {"hosts": hosts, "newest": 12}
        host = self.host({("GET", "/v1/records-status"): [(200, status)]})
        self.assertEqual(ExitCode.OK, self.records(host, "status"))
        for line in (r"a1 +a +12 +in force", r"b1 +b +9 +behind", r"c1 +c +unreachable"):
            self.assertRegex(self.out, line)

    def test_a_copy_that_may_be_behind_is_noted(self):
        stale = {"Agateferry-Stale": "true"}
        host = self.host({("GET", PATH): [(200, RECORD, stale)]})
        self.assertEqual(ExitCode.OK, self.records(host, "get", "job", "barn-count"))
        self.assertIn("may be behind", self.err)
