import asyncio
from unittest import mock

import aiohttp
import testtools

from agateferry_core.support import free_port, run_async
from agateferry_service.address import Address
from agateferry_service.http.limits import PortLimits, constant_ms
from agateferry_service.http.memory import MemoryAccount
from agateferry_service.http.port import PortState
from agateferry_service.http.rejections import make_problem
from agateferry_service.http.server import HttpServer

DRAIN_MS = 1_000


async def respond(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"served"})


class HttpServerTests(testtools.TestCase):
    def serve(self, scenario):
        async def run():
            port = free_port()
            limits = PortLimits(10, 1_000, 1_000, constant_ms(1_000))
            state = PortState("test", limits, MemoryAccount(1_000_000), make_problem)
            server = HttpServer(respond, Address("127.0.0.1", port), state)
            await server.start()
            try:
                return await scenario(server, port)
            finally:
                await server.stop(DRAIN_MS)

        return run_async(run(), 20)

    def test_a_response_has_the_date_of_its_request(self):
        async def scenario(server, port):
            async with aiohttp.ClientSession() as client:
                dates = []
                for now_s in (1_700_000_000, 1_700_000_000, 1_700_000_061):
                    clock = mock.Mock(return_value=now_s)
                    with mock.patch("agateferry_service.http.raw_responses.time.time", clock):
                        async with client.get(f"http://127.0.0.1:{port}/") as response:
                            dates.append(response.headers["Date"])
                return dates

        first, second, later = self.serve(scenario)
        self.assertEqual("Tue, 14 Nov 2023 22:13:20 GMT", first)
        self.assertEqual(first, second)
        self.assertEqual("Tue, 14 Nov 2023 22:14:21 GMT", later)

    def test_an_idle_server_sets_no_timers(self):
        """A hundred idle servers on one machine must not use it up with wake-ups."""

        async def scenario(server, port):
            await asyncio.sleep(0.05)
            loop = asyncio.get_running_loop()
            with mock.patch.object(loop, "call_at", wraps=loop.call_at) as call_at:
                await asyncio.sleep(0.5)
            return call_at.call_count

        self.assertLessEqual(self.serve(scenario), 1)

    def test_a_stopped_server_accepts_no_connections(self):
        async def scenario(server, port):
            await server.stop(DRAIN_MS)
            connecting = asyncio.open_connection("127.0.0.1", port)
            return await asyncio.gather(connecting, return_exceptions=True)

        self.assertIsInstance(self.serve(scenario)[0], ConnectionRefusedError)
