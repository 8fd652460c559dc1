import asyncio

import testtools

from agateferry_core.support import run_async
from agateferry_standins.relay.relay import Direction, Flow, Relay

SILENCE_S = 0.1


class RelayTests(testtools.TestCase):
    def with_relay(self, test):
        async def echo(reader, writer):
            while data := await reader.read(100):
                self.received.append(data)
                writer.write(data)
            writer.close()

        async def main():
            self.received = []
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

    async def receives_nothing(self, reader):
        try:
            await asyncio.wait_for(reader.read(100), SILENCE_S)
        except TimeoutError:
            return True
        return False

    def test_bytes_and_the_end_of_the_stream_are_forwarded_both_ways(self):
        async def test(relay, reader, writer):
            writer.write(b"hello")
            self.assertEqual(b"hello", await reader.readexactly(5))
            writer.write_eof()
            self.assertEqual(b"", await reader.read())

        self.with_relay(test)

    def test_held_bytes_arrive_after_pass(self):
        async def test(relay, reader, writer):
            relay.set_flow(Direction.BACK, Flow.HOLD)
            writer.write(b"hello")
            self.assertTrue(await self.receives_nothing(reader))
            self.assertEqual([b"hello"], self.received)
            relay.set_flow(Direction.BACK, Flow.PASS)
            self.assertEqual(b"hello", await reader.readexactly(5))

        self.with_relay(test)

    def test_dropped_bytes_never_arrive(self):
        async def test(relay, reader, writer):
            relay.set_flow(Direction.FORWARD, Flow.DROP)
            writer.write(b"lost")
            self.assertTrue(await self.receives_nothing(reader))
            relay.set_flow(Direction.FORWARD, Flow.PASS)
            writer.write(b"found")
            self.assertEqual(b"found", await reader.readexactly(5))
            self.assertEqual([b"found"], self.received)

        self.with_relay(test)
