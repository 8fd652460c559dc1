import io
from unittest import mock

from agateferry_cli.client import ExitCode
from agateferry_cli.verbs import submit
from agateferry_cli.verbs.tests.case import VerbCase
from agateferry_core.support import free_port

SUBMIT = ("POST", "/v1/requests")
ONE = "/v1/requests/vestland-1.4f"


def request(state, **more):
    return {"id": "vestland-1.4f", "team": "count-team", "job": "barn-count", "state": state} | more


class SubmitTests(VerbCase):
    def setUp(self):
        super().setUp()
        self.pause = mock.patch.object(submit, "RETRY_PAUSE_S", 0)
        self.pause.start()
        self.addCleanup(self.pause.stop)

    def submit(self, host, *more):
        return self.run_verb(
            "submit", "barn-count", "--team", "count-team", "--callers", host.address, *more
        )

    def test_an_accepted_request_is_shown(self):
        host = self.host({SUBMIT: [(202, request("accepted"))]})
        self.assertEqual(ExitCode.OK, self.submit(host, "--payload", "barn 12", "--members", "2"))
        self.assertIn("vestland-1.4f", self.out)
        expected = {
            "schema": "v1",
            "team": "count-team",
            "job": "barn-count",
            "payload": "barn 12",
            "demand": {"members": 2},
        }
        self.assertEqual(expected, host.received[0].body)
        self.assertEqual(32, len(host.received[0].headers["Idempotency-Key"]))

    def test_a_submit_of_unknown_outcome_is_retried_with_the_same_key(self):
        lost = (503, {"reason": "outcome-unknown", "detail": "lost"})
        host = self.host({SUBMIT: [lost, lost, (202, request("accepted"))]})
        self.assertEqual(ExitCode.OK, self.submit(host))
        self.assertEqual(1, len({call.headers["Idempotency-Key"] for call in host.received}))
        self.assertEqual(3, len(host.received))

    def test_an_outcome_that_remains_unknown_names_the_key(self):
        host = self.host({SUBMIT: [(503, {"reason": "outcome-unknown", "detail": "lost"})]})
        self.assertEqual(ExitCode.OUTCOME_UNKNOWN, self.submit(host, "--key", "k7"))
        self.assertIn("repeat the command with --key k7", self.err)

    def test_a_refusal_says_when_to_retry(self):
        full = {"reason": "team-queue-full", "detail": "1000 wait", "run": "not-run"}
        host = self.host({SUBMIT: [(429, full, {"Retry-After": "3"})]})
        self.assertEqual(ExitCode.REFUSED, self.submit(host))
        self.assertIn("team-queue-full: 1000 wait", self.err)
        self.assertIn("Try again after 3 s.", self.err)

    def test_an_unreachable_zone_is_reported_without_retries(self):
        cut = {"reason": "zone-unreachable", "detail": "z2", "run": "not-run"}
        host = self.host({SUBMIT: [(503, cut)]})
        self.assertEqual(ExitCode.UNREACHABLE, self.submit(host))
        self.assertEqual(1, len(host.received))
        self.assertNotIn("--key", self.err)

    def test_the_next_host_is_called_when_one_does_not_answer(self):
        host = self.host({SUBMIT: [(202, request("accepted"))]})
        dead = f"127.0.0.1:{free_port()}"
        code = self.run_verb("submit", "j", "--team", "t", "--callers", f"{dead},{host.address}")
        self.assertEqual((ExitCode.OK, 1), (code, len(host.received)))

    def test_the_next_host_is_called_when_one_is_stopping(self):
        stopping = self.host({SUBMIT: [(503, {"reason": "stopping", "run": "not-run"})]})
        host = self.host({SUBMIT: [(202, request("accepted"))]})
        addresses = f"{stopping.address},{host.address}"
        code = self.run_verb("submit", "j", "--team", "t", "--callers", addresses)
        self.assertEqual((ExitCode.OK, 1, 1), (code, len(stopping.received), len(host.received)))

    def test_waits_for_the_answer(self):
        running = (200, request("running", progress=0.5))
        done = (200, request("finished", answer="12 sacks"))
        host = self.host({SUBMIT: [(202, request("accepted"))], ("GET", ONE): [running, done]})
        self.assertEqual(ExitCode.OK, self.submit(host, "--wait"))
        self.assertIn("12 sacks", self.out)

    def test_a_payload_can_come_from_standard_input(self):
        host = self.host({SUBMIT: [(202, request("accepted"))]})
        with mock.patch("sys.stdin", io.StringIO("barn 12")):
            self.assertEqual(ExitCode.OK, self.submit(host, "--payload-file", "-"))
        self.assertEqual("barn 12", host.received[0].body["payload"])


class StatusTests(VerbCase):
    def test_json_output_is_the_unchanged_body(self):
        body = request("running", progress=0.5, news="kept")
        host = self.host({("GET", ONE): [(200, body)]})
        code = self.run_verb("status", "vestland-1.4f", "--json", "--callers", host.address)
        self.assertEqual((ExitCode.OK, body), (code, self.json_out()))

    def test_an_unknown_request_has_its_own_exit_code(self):
        host = self.host({})
        code = self.run_verb("status", "x", "--callers", host.address)
        self.assertEqual(ExitCode.NOT_FOUND, code)
        self.assertIn("Check the id", self.err)

    def test_an_answer_of_another_service_is_recognised(self):
        host = self.host({("GET", ONE): [(200, "<html>")]})
        code = self.run_verb("status", "vestland-1.4f", "--callers", host.address)
        self.assertEqual(ExitCode.USAGE, code)
        self.assertIn("Check that the address", self.err)

    def test_a_missing_address_says_how_to_give_one(self):
        with mock.patch.dict("os.environ", clear=True):
            self.assertEqual(ExitCode.USAGE, self.run_verb("status", "x"))
        self.assertIn("set AGATEFERRY_CALLERS", self.err)

    def test_unreachable_hosts_have_their_own_exit_code(self):
        code = self.run_verb("status", "x", "--json", "--callers", f"127.0.0.1:{free_port()}")
        self.assertEqual(ExitCode.UNREACHABLE, code)
        self.assertIn('"reason": "unreachable"', self.err)


class CancelTests(VerbCase):
    def test_shows_the_stage_that_was_reached(self):
        body = request("cancelled", stage="placed", run="not-run")
        host = self.host({("DELETE", ONE): [(200, body)]})
        for _ in range(2):
            code = self.run_verb("cancel", "vestland-1.4f", "--callers", host.address)
            self.assertEqual(ExitCode.OK, code)
            self.assertRegex(self.out, r"stage +placed")


class WatchTests(VerbCase):
    def watch(self, host, *more):
        return self.run_verb("watch", "vestland-1.4f", "--callers", host.address, *more)

    def test_the_exit_code_follows_the_final_state(self):
        ends = {"finished": 0, "cancelled": 8, "failed": 1, "refused": 3}
        for state, code in ends.items():
            host = self.host({("GET", ONE): [(200, request(state))]})
            self.assertEqual(code, self.watch(host))

    def test_a_change_of_leader_does_not_end_the_wait(self):
        gap = (503, {"reason": "no-leader", "detail": "electing"})
        host = self.host({("GET", ONE): [gap, (200, request("finished"))]})
        self.assertEqual(ExitCode.OK, self.watch(host))

    def test_stops_waiting_after_the_timeout(self):
        host = self.host({("GET", ONE): [(200, request("running"))]})
        self.assertEqual(ExitCode.STILL_RUNNING, self.watch(host, "--timeout-s", "1"))
        self.assertIn("agateferry watch vestland-1.4f", self.err)
