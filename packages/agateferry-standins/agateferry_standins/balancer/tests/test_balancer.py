import aiohttp
import testtools
from aiohttp import web

from agateferry_core.support import run_async
from agateferry_standins.balancer import balancer
from agateferry_standins.balancer.balancer import Backend, Balancer


class FakeHost:
    def __init__(self, name):
        self.name = name
        self.ready = True

    async def start(self):
        app = web.Application()
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/", self._get_name)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{self.runner.addresses[0][1]}"
        return Backend(address, address)

    async def _readyz(self, req):
        return web.Response(status=200 if self.ready else 503)

    async def _get_name(self, req):
        return web.Response(text=self.name)


class BalancerTests(testtools.TestCase):
    def with_balancer(self, test):
        async def main():
            self.hosts = [FakeHost(name) for name in "abc"]
            backends = [await host.start() for host in self.hosts]
            self.balancer = Balancer(backends)
            await self.balancer.start()
            await test()
            await self.balancer.stop()
            for host in self.hosts:
                await host.runner.cleanup()

        self.patch(balancer, "CHECK_INTERVAL_S", 0.01)
        run_async(main(), 10)

    async def get_host_name(self):
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self.balancer.address}/") as resp,
        ):
            return await resp.text()

    async def wait_for_host_names(self, expected):
        while {await self.get_host_name() for _ in range(6)} != expected:
            pass

    def test_hosts_get_connections_in_turn(self):
        async def test():
            self.assertEqual(["a", "b", "c", "a"], [await self.get_host_name() for _ in range(4)])

        self.with_balancer(test)

    def test_a_host_that_is_not_ready_is_skipped(self):
        async def test():
            self.hosts[1].ready = False
            await self.wait_for_host_names({"a", "c"})
            self.hosts[1].ready = True
            await self.wait_for_host_names({"a", "b", "c"})

        self.with_balancer(test)

    def test_a_host_that_refuses_connections_is_skipped_at_once(self):
        async def test():
            await self.hosts[0].runner.cleanup()
            self.assertEqual(["b", "c", "b"], [await self.get_host_name() for _ in range(3)])

        self.with_balancer(test)
