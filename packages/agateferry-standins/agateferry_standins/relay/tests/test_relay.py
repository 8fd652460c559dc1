import asyncio

import testtools

from agateferry_core.support import run_async
from agateferry_standins.relay.relay import Direction, Flow, Relay

SILENCE_S = 0.1


class RelayTests(testtools.TestCase):
    def in_loop(self, test):
        async def echo(reader, writer):
            while data := await reader.read(100):
                self.arrived.append(data)
                writer.write(data)
            writer.close()

        async def main():
            self.arrived = []
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            relay = Relay(f"127.0.0.1:{port}")
            await relay.start()
            host, _, relay_port = relay.address.partition(":")
            reader, writer = await asyncio.open_connection(host, int(relay_port))
            await test(relay, reader, writer)
            writer.close()
            await relay.stop()
            server.close()

        run_async(main(), 10)

    async def silent(self, reader):
        try:
            await asyncio.wait_for(reader.read(100), SILENCE_S)
        except TimeoutError:
            return True
        return False

    def test_passes_both_ways_and_ends(self):
        async def test(relay, reader, writer):
            writer.write(b"hello")
            self.assertEqual(b"hello", await reader.readexactly(5))
            writer.write_eof()
            self.assertEqual(b"", await reader.read())

        self.in_loop(test)

    def test_held_bytes_arrive_later(self):
        async def test(relay, reader, writer):
            relay.set_flow(Direction.BACK, Flow.HOLD)
            writer.write(b"hello")
            self.assertTrue(await self.silent(reader))
            self.assertEqual([b"hello"], self.arrived)
            relay.set_flow(Direction.BACK, Flow.PASS)
            self.assertEqual(b"hello", await reader.readexactly(5))

        self.in_loop(test)

    def test_dropped_bytes_never_arrive(self):
        async def test(relay, reader, writer):
            relay.set_flow(Direction.FORWARD, Flow.DROP)
            writer.write(b"lost")
            self.assertTrue(await self.silent(reader))
            relay.set_flow(Direction.FORWARD, Flow.PASS)
            writer.write(b"found")
            self.assertEqual(b"found", await reader.readexactly(5))
            self.assertEqual([b"found"], self.arrived)

        self.in_loop(test)
