import asyncio

from agateferry_standins.deployment import OperatorRecord
from agateferry_standins.deployment.system import STOP_TIMEOUT_S
from agateferry_standins.tests.support import MIX, ONCE, URGENT, SystemTestCase

LEAVING_S = 3.0


class RollingRestartTests(SystemTestCase):
    def test_no_request_fails(self):
        async def test():
            sending = self.send(MIX, 400, 20.0)
            await self.until_accepted(10)
            for name, daemon in self.system.daemons.items():
                self.assertEqual(
                    0, await daemon.terminate(STOP_TIMEOUT_S), f"{name}: {daemon.log_tail()}"
                )
                await daemon.start()
                await self.system.wait_ready([name])
            await sending
            self.assert_all_finished()
            self.assert_clean()

        self.on_system(test)


class LeavingWorkerTests(SystemTestCase):
    def test_it_gets_nothing_new_after_three_seconds(self):
        async def test():
            sending = self.send((ONCE, URGENT), 300, 40.0)
            await self.until_accepted(20)
            worker = self.busiest_worker()
            worker.leave()
            await asyncio.sleep(LEAVING_S)
            asked = self.starts.violations["asked-while-leaving"]
            accepted = self.tally.accepted_count()
            await sending
            self.assertGreater(self.tally.accepted_count(), accepted)
            self.assertEqual(asked, self.starts.violations["asked-while-leaving"])
            self.assertEqual(0, worker.table.slots_used())
            self.assert_all_finished()
            self.assert_clean()

        self.on_system(test)


class RacingOperatorsTests(SystemTestCase):
    def test_one_of_two_equal_versions_wins_and_its_resend_gets_the_same_answer(self):
        async def test():
            operator = self.system.operator
            path = "/v1/records/team/audit-desk"
            _, stands = await operator.call("GET", path)
            bodies = [
                {
                    "schema": "v2",
                    "replaces": stands["version"],
                    "content": {"weight": weight},
                }
                for weight in (2.0, 3.0)
            ]
            addresses = [host.operators for host in self.plan.hosts[:2]]
            answers = await asyncio.gather(
                *(
                    operator.call("PUT", path, body, address)
                    for body, address in zip(bodies, addresses, strict=True)
                )
            )
            self.assertEqual([200, 409], sorted(status for status, _ in answers))
            winner = next(i for i, (status, _) in enumerate(answers) if status == 200)
            loser = answers[1 - winner][1]
            self.assertEqual("version-conflict", loser["reason"])
            again = await operator.call("PUT", path, bodies[winner], addresses[1 - winner])
            self.assertEqual(answers[winner], again)
            _, now = await operator.call("GET", path)
            self.assertEqual(stands["version"] + 1, now["version"])
            self.assertEqual(bodies[winner]["content"]["weight"], now["content"]["weight"])

        self.on_system(test)


class RecordTests(SystemTestCase):
    def test_a_record_is_in_force_on_every_host_within_seconds(self):
        async def test():
            record = OperatorRecord("team", "harvest-desk", {"weight": 1.0})
            stored = await self.system.operator.put_record(record)

            for host in self.plan.hosts:
                async with asyncio.timeout(5):
                    while True:
                        _, body = await self.system.operator.call(
                            "GET", "/v1/cell", address=host.operators
                        )
                        if body["records"]["revision"] >= stored["revision"]:
                            break

        self.on_system(test)
