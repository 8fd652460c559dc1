import asyncio

from agateferry_standins.deployment import OperatorRecord
from agateferry_standins.deployment.system import STOP_TIMEOUT_S
from agateferry_standins.tests.support import MIX, RUN_ONCE, URGENT, SystemTestCase

LEAVE_DELAY_S = 3.0


class RollingRestartTests(SystemTestCase):
    def test_no_request_fails(self):
        async def test():
            load_task = self.send(MIX, 400, 20.0)
            await self.wait_for_accepted(10)
            for name, daemon in self.system.daemons.items():
                self.assertEqual(
                    0, await daemon.terminate(STOP_TIMEOUT_S), f"{name}: {daemon.log_tail()}"
                )
                await daemon.start()
                await self.system.wait_ready([name])
            await load_task
            self.assert_all_finished()
            self.assert_clean()

        self.run_on_system(test)


class LeavingWorkerTests(SystemTestCase):
    def test_it_gets_no_new_lease_three_seconds_after_it_leaves(self):
        async def test():
            load_task = self.send((RUN_ONCE, URGENT), 300, 40.0)
            await self.wait_for_accepted(20)
            worker = self.busiest_worker()
            worker.leave()
            await asyncio.sleep(LEAVE_DELAY_S)
            violations = self.start_log.violations["asked-while-leaving"]
            accepted = self.tally.accepted_count()
            await load_task
            self.assertGreater(self.tally.accepted_count(), accepted)
            self.assertEqual(violations, self.start_log.violations["asked-while-leaving"])
            self.assertEqual(0, worker.table.slots_used())
            self.assert_all_finished()
            self.assert_clean()

        self.run_on_system(test)


class ConcurrentPutTests(SystemTestCase):
    def test_one_of_two_concurrent_puts_is_stored_and_its_resend_gets_the_first_reply(self):
        async def test():
            operator = self.system.operator
            path = "/v1/records/team/audit-desk"
            _, current = await operator.call("GET", path)
            bodies = [
                {
                    "schema": "v2",
                    "replaces": current["version"],
                    "content": {"weight": weight},
                }
                for weight in (2.0, 3.0)
            ]
            addresses = [host.operators for host in self.plan.hosts[:2]]
            replies = await asyncio.gather(
                *(
                    operator.call("PUT", path, body, address)
                    for body, address in zip(bodies, addresses, strict=True)
                )
            )
            self.assertEqual([200, 409], sorted(status for status, _ in replies))
            stored_index = next(i for i, (status, _) in enumerate(replies) if status == 200)
            rejected = replies[1 - stored_index][1]
            self.assertEqual("version-conflict", rejected["reason"])
            again = await operator.call(
                "PUT", path, bodies[stored_index], addresses[1 - stored_index]
            )
            self.assertEqual(replies[stored_index], again)
            _, now = await operator.call("GET", path)
            self.assertEqual(current["version"] + 1, now["version"])
            self.assertEqual(bodies[stored_index]["content"]["weight"], now["content"]["weight"])

        self.run_on_system(test)


class RecordTests(SystemTestCase):
    def test_a_record_is_in_force_on_every_host_within_five_seconds(self):
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

        self.run_on_system(test)
