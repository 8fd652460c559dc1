from unittest import mock

from agateferry_cli.client import ExitCode
from agateferry_cli.verbs.tests.case import VerbCase

PATH = "/v1/evacuations/a-1"
SINCE_MS = 1_790_000_000_000
SINCE = "2026-09-21T14:13:20+00:00"


def answer(**fields):
    body = {"zone": "a-1", "evacuated": True, "since_ms": SINCE_MS, "requested_by": "ada"}
    return 200, body | {"version": 1, "revision": 4, "changed": True} | fields


class ChangeTests(VerbCase):
    def run_change(self, answers, verb, *argv):
        method = "POST" if verb == "evacuate" else "DELETE"
        host = self.host({(method, PATH): answers})
        code = self.run_verb(verb, "a-1", *argv, "--operators", host.address)
        self.received = host.received
        return code

    def test_evacuate_shows_since_when_and_who_asked(self):
        code = self.run_change([answer()], "evacuate", "--requested-by", "ada")
        self.assertEqual((ExitCode.OK, {"requested_by": "ada"}), (code, self.received[0].body))
        self.assertIn(f"a-1 is evacuated since {SINCE}, requested by ada\n", self.out)

    def test_evacuating_again_says_so(self):
        self.assertEqual(ExitCode.OK, self.run_change([answer(changed=False)], "evacuate"))
        self.assertIn("a-1 is already evacuated", self.out)

    def test_readmit(self):
        code = self.run_change([answer(evacuated=False)], "readmit")
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual("a-1 is readmitted: work may start there\n", self.out)

    def test_the_user_is_named_by_default(self):
        with mock.patch("agateferry_cli.verbs.evacuation.getuser", return_value="bob"):
            self.run_change([answer()], "evacuate")
        self.assertEqual({"requested_by": "bob"}, self.received[0].body)

    def test_a_user_without_a_name_sends_none(self):
        with mock.patch("agateferry_cli.verbs.evacuation.getuser", side_effect=KeyError):
            self.run_change([answer()], "readmit")
        self.assertEqual({"requested_by": ""}, self.received[0].body)

    def test_json_is_the_answer_of_the_host(self):
        self.assertEqual(ExitCode.OK, self.run_change([answer()], "evacuate", "--json"))
        self.assertEqual(answer()[1], self.json_out())

    def test_an_unknown_zone_is_refused(self):
        problem = {"reason": "unknown-zone", "detail": "no zone is named a-1; there are b"}
        self.assertEqual(ExitCode.REFUSED, self.run_change([(404, problem)], "evacuate"))
        self.assertIn("no zone is named a-1; there are b", self.err)

    def test_a_lost_answer_can_be_repeated(self):
        problem = {"reason": "outcome-unknown", "detail": "no reply"}
        code = self.run_change([(503, problem)], "evacuate")
        self.assertEqual(ExitCode.OUTCOME_UNKNOWN, code)

    def test_a_host_without_the_records_plane_is_passed_over(self):
        problem = {"reason": "no-leader", "detail": "nothing was changed"}
        isolated = self.host({("POST", PATH): [(503, problem)]})
        other = self.host({("POST", PATH): [answer()]})
        addresses = f"{isolated.address},{other.address}"
        code = self.run_verb("evacuate", "a-1", "--operators", addresses)
        self.assertEqual((ExitCode.OK, 1), (code, len(other.received)))
        code = self.run_verb("evacuate", "a-1", "--operators", isolated.address)
        self.assertEqual(ExitCode.UNREACHABLE, code)


class ListTests(VerbCase):
    def list(self, *evacuations):
        host = self.host({("GET", "/v1/evacuations"): [(200, {"evacuations": list(evacuations)})]})
        code = self.run_verb("evacuations", "--json", "--operators", host.address)
        self.assertEqual((ExitCode.OK, list(evacuations)), (code, self.json_out()["evacuations"]))
        code = self.run_verb("evacuations", "--operators", host.address)
        self.assertEqual(ExitCode.OK, code)
        return self.out

    def test_it_shows_what_is_left_in_each_zone(self):
        in_force = answer(in_force=True, running=2, queued=0)[1]
        out = self.list(in_force, answer(zone="a-2", in_force=None, running=None)[1])
        since = SINCE.replace("+", r"\+")
        self.assertRegex(out, rf"a-1 +{since} +ada +yes +2 +0")
        self.assertRegex(out, rf"a-2 +{since} +ada +unknown +unknown +unknown")

    def test_no_zone_is_evacuated(self):
        self.assertIn("No zone is evacuated.", self.list())
