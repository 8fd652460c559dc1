import testtools

from agateferry_core.support import run_async
from agateferry_service.daemon.tests.support import running_host


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
