from agateferry_cli.client import ExitCode
from agateferry_cli.verbs.tests.case import VerbCase


class ListTests(VerbCase):
    def listing(self, path, body, *argv):
        host = self.host({("GET", path): [(200, body)]})
        self.assertEqual(ExitCode.OK, self.run_verb(*argv, "--operators", host.address))
        self.assertEqual(ExitCode.OK, self.run_verb(*argv, "--json", "--operators", host.address))
        self.assertEqual(body, self.json_out())
        self.run_verb(*argv, "--operators", host.address)
        return self.out

    def test_workers(self):
        worker = {
            "name": "w[1]",
            "zone": "a",
            "rack": "r1",
            "state": "serving",
            "accelerators": 8,
            "accelerators_free": 4,
            "slots": 8,
            "slots_free": 7,
            "last_seen_ms": 40,
            "health": "good",
        }
        out = self.listing("/v1/workers", {"workers": [worker]}, "workers")
        self.assertRegex(out, r"w\[1\] +a +r1 +serving +4/8 +7/8 +40 +good")

    def test_no_workers(self):
        self.assertIn("No worker", self.listing("/v1/workers", {"workers": []}, "workers"))

    def test_teams(self):
        team = {"name": "count-team", "guarantee": [], "queued": 2, "at_risk": True}
        out = self.listing("/v1/teams", {"teams": [team]}, "teams")
        self.assertRegex(out, r"count-team +0 +0 +2 +yes")

    def test_queue(self):
        waiting = {"id": "a.1", "team": "t", "job": "j", "urgency": "long", "waiting_ms": 70}
        out = self.listing("/v1/queue", {"requests": [waiting]}, "queue")
        self.assertRegex(out, r"a\.1 +t +j +long +70")

    def test_explain(self):
        body = {
            "request_id": "a.1",
            "state": "waiting",
            "waits_for": "8 in a rack",
            "details": ["x"],
        }
        out = self.listing("/v1/requests/a.1/explain", body, "explain", "a.1")
        self.assertRegex(out, r"waits for +8 in a rack\n  x")

    def test_cell_status(self):
        a1 = {"host": "a1", "zone": "a", "term": 3, "role": "leader", "leader": "a1"}
        a2 = {"host": "a2", "zone": "a", "term": 3, "role": "follower", "leader": "a1"}
        members = [{"host": "a1", "voter": True}, {"host": "a2", "voter": False, "disk": False}]
        hosts = [
            {"host": "a4", "zone": "a", "reachable": False},
            {"host": "a3", "zone": "a", "records": {"revision": 2, "role": "follower"}},
            a2 | {"records": {"revision": 12, "role": "follower", "leader": "c1"}},
            a1 | {"members": members, "records": {"revision": 12}},
        ]
        out = self.listing("/v1/cells", {"hosts": hosts}, "cell", "status")
        rows = [" ".join(line.split()) for line in out.splitlines()[1:]]
        expected = [
            "a a1 leader 3 a1 a1, a2 (no disk, catches up) no voter 12",
            "a a2 follower 3 a1 follower of c1 12",
            "a a3 0 none no leader 2",
            "a a4 unreachable",
        ]
        self.assertEqual(expected, rows)

    def test_a_malformed_answer_is_reported_without_a_traceback(self):
        host = self.host({("GET", "/v1/workers"): [(200, {"workers": [{"slots": "x"}]})]})
        code = self.run_verb("workers", "--operators", host.address)
        self.assertEqual(ExitCode.INTERNAL, code)
        self.assertIn("is not understood", self.err)
