import asyncio

import testtools

from agateferry_core.support import run_async
from agateferry_service.daemon.tests.support import running_host


class RecordsStatusTests(testtools.TestCase):
    def test_newest_revision_comes_from_the_records_plane(self):
        async def main():
            async with running_host() as client:
                client.host.cell.ctx.machine.records.adopt = lambda *_: None
                await client.put("team", "t", {})
                return await client.call("operators", "GET", "/v1/records-status")

        _, body, headers = run_async(main())
        self.assertEqual((1, 0), (body["newest"], body["hosts"][0]["revision"]))
        self.assertNotIn("Agateferry-Stale", headers)

    def test_without_the_records_plane_newest_revision_comes_from_the_hosts(self):
        async def main():
            async with running_host() as client:
                await client.put("team", "t", {})
                while not client.host.cell.ctx.machine.records.revision:
                    await asyncio.sleep(0.01)
                await client.host.plane.replica.stop()
                return await client.call("operators", "GET", "/v1/records-status")

        _, body, headers = run_async(main())
        self.assertEqual((1, 1), (body["newest"], body["hosts"][0]["revision"]))
        self.assertIn("Agateferry-Stale", headers)
