from agateferry_cli.client import ExitCode
from agateferry_cli.verbs.tests.case import VerbCase

MEMBERS = ("POST", "/v1/cell/members")
RECOVERY = ("POST", "/v1/cell/recovery")


def answer(**fields):
    body = {"asked": "a1", "zone": "z", "group": "cell", "changed": True, "dry_run": True}
    return 200, body | {"voters": ["a1", "a2"], "removed": ["a3"], "warnings": ["w"]} | fields


class ReplaceTests(VerbCase):
    def replace(self, answered, *argv):
        host = self.host({MEMBERS: [answered]})
        self.code = self.run_verb("cell", "replace", *argv, "--operators", host.address)
        return host.received[-1].body if host.received else None

    def test_a_removal_without_yes_is_a_dry_run(self):
        sent = self.replace(answer(), "remove", "a3")
        expected = {"group": "cell", "action": "remove", "host": "a3", "dry_run": True}
        self.assertEqual((ExitCode.USAGE, expected), (self.code, sent))
        self.assertIn("the cell of z would then have, says a1:\nvoters   a1, a2", self.out)
        self.assertIn("warning: w", self.out)
        self.assertIn("Nothing was changed", self.err)

    def test_a_removal_with_yes_is_executed(self):
        sent = self.replace(answer(dry_run=False), "remove", "a3", "--yes", "--group", "records")
        self.assertEqual(
            (ExitCode.OK, "records", False), (self.code, sent["group"], sent["dry_run"])
        )
        self.assertIn("now has", self.out)

    def test_a_dry_run_with_yes_is_still_a_dry_run(self):
        sent = self.replace(answer(), "remove", "a3", "--yes", "--dry-run")
        self.assertEqual((ExitCode.OK, True), (self.code, sent["dry_run"]))

    def test_an_admission_needs_no_yes(self):
        sent = self.replace(answer(dry_run=False), "admit", "a3")
        self.assertEqual((ExitCode.OK, False), (self.code, sent["dry_run"]))

    def test_a_change_already_in_effect_needs_no_yes(self):
        self.replace(answer(changed=False), "remove", "a3")
        self.assertEqual(ExitCode.OK, self.code)
        self.assertIn("is so already", self.out)

    def test_a_refusal_as_unsafe_is_final(self):
        self.replace((409, {"reason": "unsafe", "detail": "d"}), "remove", "a3", "--yes")
        self.assertEqual(ExitCode.REFUSED, self.code)
        self.assertIn("unsafe: d\nSee the members", self.err)

    def test_a_follower_is_skipped(self):
        follower = self.host({MEMBERS: [(503, {"reason": "not-leader", "detail": "ask a2"})]})
        leader = self.host({MEMBERS: [answer(dry_run=False)]})
        addresses = f"{follower.address},{leader.address}"
        code = self.run_verb("cell", "replace", "admit", "a3", "--operators", addresses)
        self.assertEqual((ExitCode.OK, 1), (code, len(leader.received)))

    def test_an_unknown_action_is_refused(self):
        self.replace(answer(), "promote", "a3")
        self.assertEqual(ExitCode.USAGE, self.code)


class RecoverTests(VerbCase):
    def recover(self, *argv):
        host = self.host({RECOVERY: [answer(voters=["a1"])]})
        lost = ("--lost", "a2", "a3")
        self.code = self.run_verb("cell", "recover", *lost, "--operators", host.address, *argv)
        return host.received[-1].body

    def test_without_yes_is_a_dry_run(self):
        sent = self.recover()
        expected = {"group": "cell", "lost": ["a2", "a3"], "dry_run": True}
        self.assertEqual((ExitCode.USAGE, expected), (self.code, sent))

    def test_with_yes_is_executed(self):
        sent = self.recover("--yes")
        self.assertEqual((ExitCode.OK, False), (self.code, sent["dry_run"]))

    def test_prints_the_answer_as_json(self):
        self.recover("--json", "--dry-run")
        self.assertEqual((ExitCode.OK, ["a1"]), (self.code, self.json_out()["voters"]))

    def test_needs_exactly_one_host(self):
        both = "127.0.0.1:1,127.0.0.1:2"
        code = self.run_verb("cell", "recover", "--lost", "a2", "--operators", both, "--yes")
        self.assertEqual(ExitCode.USAGE, code)
        self.assertIn("just the one host", self.err)
