from types import SimpleNamespace

import testtools
from expression import Error, Ok

from agateferry_core.support import run_async
from agateferry_service.daemon.tests.support import running_host
from agateferry_service.operators.membership import Group, MembershipChanges, RecoveryBody
from agateferry_state.members import Member, MemberId, Members
from agateferry_state.replica import Applied, MemberStatus, ProposeError, ProposeErrorKind


def on_host(work):
    async def main():
        async with running_host() as client:
            return await work(client)

    return run_async(main())


def members(client, action, host="a1", group="cell", **fields):
    body = {"group": group, "action": action, "host": host, **fields}
    return client.call("operators", "POST", "/v1/cell/members", json=body)


def recovery(client, lost=(), **fields):
    body = {"group": "cell", "lost": list(lost), **fields}
    return client.call("operators", "POST", "/v1/cell/recovery", json=body)


class MembersTests(testtools.TestCase):
    def test_a_member_that_is_there_already_changes_nothing(self):
        status, body, _ = on_host(lambda client: members(client, "admit"))
        self.assertEqual((200, False, ["a1"]), (status, body["changed"], body["voters"]))

    def test_a_host_that_is_no_member_need_not_be_removed(self):
        status, body, _ = on_host(lambda client: members(client, "remove", "a9", "records"))
        self.assertEqual((200, False), (status, body["changed"]))

    def test_the_last_voter_is_not_removed_nor_is_that_promised_by_a_dry_run(self):
        async def work(client):
            dry = await members(client, "remove", dry_run=True)
            return dry[:2], (await members(client, "remove"))[:2]

        for status, body in on_host(work):
            self.assertEqual((409, "unsafe"), (status, body["reason"]))

    def test_a_host_that_was_not_heard_is_not_admitted(self):
        status, body, _ = on_host(lambda client: members(client, "admit", "a2"))
        self.assertEqual((409, "not-ready"), (status, body["reason"]))
        self.assertIn("a2 has not made itself known", body["detail"])

    def test_another_form_of_body_is_refused(self):
        async def work(client):
            return [
                (await members(client, "promote"))[0],
                (await members(client, "admit", group="x"))[0],
                (await members(client, "admit", dry_run="yes"))[0],
            ]

        self.assertEqual([422, 422, 422], on_host(work))


class RecoveryTests(testtools.TestCase):
    def test_a_group_that_has_a_leader_needs_no_recovery(self):
        async def work(client):
            return [await recovery(client, dry_run=True), await recovery(client)]

        for status, body, _ in on_host(work):
            self.assertEqual((409, "not-needed"), (status, body["reason"]))

    def test_a_host_that_still_runs_with_its_log_is_not_given_up(self):
        refused = self.recover(["a2"], answering="i2").error
        self.assertEqual((409, "unsafe"), (refused.status, refused.reason))
        self.assertIn("a2 still run(s)", refused.detail)

    def test_a_host_that_came_back_empty_may_be_given_up(self):
        document = self.recover(["a2"], answering="another").ok
        self.assertEqual((["a1"], {"term": 2, "index": 9}), (document["voters"], document["log"]))
        self.assertIn("after term 2, index 9", document["warnings"][0])

    def test_a_voter_that_is_not_named_is_told(self):
        refused = self.recover([]).error
        self.assertEqual("unsafe", refused.reason)
        self.assertIn("not named: a2", refused.detail)

    def recover(self, lost, answering=None):
        membership_changes = MembershipChanges(
            SimpleNamespace(host=SimpleNamespace(name="a1", zone="z"), peers=()),
            {Group.CELL: LeftNode()},
            OtherHost(answering),
            None,
        )
        return run_async(membership_changes._recover(RecoveryBody(group=Group.CELL, lost=lost)))


class LeftNode:
    """A replica that was left alone by a2 and recovers once that is given up."""

    def status(self):
        members = tuple(MemberStatus(f"a{n}", f"i{n}", True, True, None) for n in (1, 2))
        return SimpleNamespace(host="a1", leader=None, last_term=2, last_index=9, members=members)

    def preview_recovery(self, lost):
        if lost == {MemberId("a2", "i2")}:
            return Ok(Members(voters=(Member(MemberId("a1", "i1")),)))
        return Error(ProposeError(ProposeErrorKind.NOT_LEADER, None, "unsafe"))

    async def force_recovery(self, lost):
        return Ok(Applied(10, None))


class OtherHost:
    """Answer as a2 with an incarnation, or not at all where that is None."""

    def __init__(self, incarnation):
        self.incarnation = incarnation

    async def all_statuses(self):
        reachable = self.incarnation is not None
        return [{"host": "a2", "reachable": reachable, "incarnation": self.incarnation}]
