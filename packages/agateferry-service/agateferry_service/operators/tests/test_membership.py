from types import SimpleNamespace

import testtools
from expression import Error, Ok

from agateferry_core.support import run_async
from agateferry_service.daemon.tests.support import running_host
from agateferry_service.operators.membership import Group, MembershipChanges, RecoveryBody
from agateferry_state.members import Member, MemberId, Members
from agateferry_state.replica import Applied, MemberStatus, ProposeError, ProposeErrorKind


def run_on_host(work):
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
    def test_admitting_a_member_again_changes_nothing(self):
        status, body, _ = run_on_host(lambda client: members(client, "admit"))
        self.assertEqual((200, False, ["a1"]), (status, body["changed"], body["voters"]))

    def test_removing_a_host_that_is_not_a_member_changes_nothing(self):
        status, body, _ = run_on_host(lambda client: members(client, "remove", "a9", "records"))
        self.assertEqual((200, False), (status, body["changed"]))

    def test_the_last_voter_cannot_be_removed_not_even_in_a_dry_run(self):
        async def work(client):
            dry = await members(client, "remove", dry_run=True)
            return dry[:2], (await members(client, "remove"))[:2]

        for status, body in run_on_host(work):
            self.assertEqual((409, "unsafe"), (status, body["reason"]))

    def test_a_host_that_has_not_contacted_the_leader_is_not_admitted(self):
        status, body, _ = run_on_host(lambda client: members(client, "admit", "a2"))
        self.assertEqual((409, "not-ready"), (status, body["reason"]))
        self.assertIn("a2 has not contacted the leader", body["detail"])

    def test_an_invalid_body_is_refused(self):
        async def work(client):
            return [
                (await members(client, "promote"))[0],
                (await members(client, "admit", group="x"))[0],
                (await members(client, "admit", dry_run="yes"))[0],
            ]

        self.assertEqual([422, 422, 422], run_on_host(work))


class RecoveryTests(testtools.TestCase):
    def test_recovery_is_refused_while_the_group_has_a_leader(self):
        async def work(client):
            return [await recovery(client, dry_run=True), await recovery(client)]

        for status, body, _ in run_on_host(work):
            self.assertEqual((409, "not-needed"), (status, body["reason"]))

    def test_recovery_is_refused_while_a_lost_host_still_runs_with_its_log(self):
        refused = self.recover(["a2"], a2_incarnation="i2").error
        self.assertEqual((409, "unsafe"), (refused.status, refused.reason))
        self.assertIn("a2 still run(s)", refused.detail)

    def test_a_host_that_restarted_empty_may_be_named_as_lost(self):
        document = self.recover(["a2"], a2_incarnation="another").ok
        self.assertEqual((["a1"], {"term": 2, "index": 9}), (document["voters"], document["log"]))
        self.assertIn("after term 2, index 9", document["warnings"][0])

    def test_a_voter_that_is_not_named_as_lost_is_in_the_detail(self):
        refused = self.recover([]).error
        self.assertEqual("unsafe", refused.reason)
        self.assertIn("not named: a2", refused.detail)

    def recover(self, lost, a2_incarnation=None):
        membership_changes = MembershipChanges(
            SimpleNamespace(host=SimpleNamespace(name="a1", zone="z"), peers=()),
            {Group.CELL: NodeWithoutQuorum()},
            FakeHostStatusReader(a2_incarnation),
            None,
        )
        return run_async(membership_changes._recover(RecoveryBody(group=Group.CELL, lost=lost)))


class NodeWithoutQuorum:
    """The replica of a1, which lost its quorum and can recover if a2 is named as lost."""

    def status(self):
        members = tuple(MemberStatus(f"a{n}", f"i{n}", True, True, None) for n in (1, 2))
        return SimpleNamespace(host="a1", leader=None, last_term=2, last_index=9, members=members)

    def preview_recovery(self, lost):
        if lost == {MemberId("a2", "i2")}:
            return Ok(Members(voters=(Member(MemberId("a1", "i1")),)))
        return Error(ProposeError(ProposeErrorKind.NOT_LEADER, None, "unsafe"))

    async def force_recovery(self, lost):
        return Ok(Applied(10, None))


class FakeHostStatusReader:
    """Return the status of a2 with an incarnation; a2 is unreachable if that is None."""

    def __init__(self, incarnation):
        self.incarnation = incarnation

    async def all_statuses(self):
        reachable = self.incarnation is not None
        return [{"host": "a2", "reachable": reachable, "incarnation": self.incarnation}]
