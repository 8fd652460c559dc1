"""Clients that send slowly, too much, in odd pieces, or do not read."""

import asyncio
import random
import socket

import testtools

from agateferry_core.support import eventually, free_port, run_async
from agateferry_service.address import Address
from agateferry_service.http.limits import (
    MAX_HEAD_BYTES,
    PortLimits,
    RejectionReason,
    constant_ms,
)
from agateferry_service.http.memory import MemoryAccount, memory_of
from agateferry_service.http.port import PortState
from agateferry_service.http.protocol import MAX_PIPELINED
from agateferry_service.http.rejections import make_problem
from agateferry_service.http.server import HttpServer

MEMORY_BYTES = 2_000_000
MAX_BODY_BYTES = 300_000
CONNECTIONS = 20
LARGE_ANSWER_BYTES = 8_000_000
ENDED_S = 25
"""Longer than any body may take here; what gone clients have sent is still read until then."""
LAST_CHUNK = b"0\r\n\r\n"


class App:
    """Answer with the length of the body, or with a large body on `/large`; note the calls."""

    def __init__(self):
        self.bodies = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.has_room = True

    async def __call__(self, scope, receive, send):
        message = await receive()
        self.bodies.append(message["body"])
        body = b"%d" % len(message["body"])
        if scope["path"] == "/large":
            self.has_room = memory_of(scope).grow(1_000_000)
            body = b"x" * LARGE_ANSWER_BYTES
        await self.may_answer.wait()
        headers = [(b"content-length", b"%d" % len(body))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body})


class ProtocolCase(testtools.TestCase):
    """Run a scenario against a port."""

    def serve(self, scenario, **changes):
        async def run():
            limits = {
                "max_connections": CONNECTIONS,
                "max_body_bytes": MAX_BODY_BYTES,
                "head_ms": 300,
                "body_ms": constant_ms(500),
                "unread_ms": 500,
            } | changes
            self.memory = MemoryAccount(MEMORY_BYTES)
            self.port = PortState("test", PortLimits(**limits), self.memory, make_problem)
            self.app = App()
            self.writers = []
            self.address = Address("127.0.0.1", free_port())
            server = HttpServer(self.app, self.address, self.port)
            await server.start()
            try:
                result = await scenario()
            finally:
                self.app.may_answer.set()
                for writer in self.writers:
                    writer.transport.abort()
                await server.stop(0)
            await eventually(lambda: not self.port.connections.open, "no connections", ENDED_S)
            self.assertEqual((0, set()), (self.memory.held_bytes, self.memory.unfinished))
            return result

        return run_async(run(), 3 * ENDED_S)

    async def connect(self):
        reader, writer = await asyncio.open_connection(self.address.ip, self.address.port)
        self.writers.append(writer)
        return reader, writer

    async def exchange(self, data):
        """Send data and return all that the server answers until it closes the connection."""
        reader, writer = await self.connect()
        writer.write(data)
        answer = await reader.read()
        writer.close()
        return answer

    async def until_held(self, count):
        await eventually(lambda: len(self.port.connections.open) == count, f"{count} clients", 5)


def post(body, path="/", extra=b""):
    head = b"POST %b HTTP/1.1\r\nHost: h\r\n%bContent-Length: %d\r\n\r\n"
    return head % (path.encode(), extra, len(body)) + body


def chunked(body, size, end=LAST_CHUNK):
    head = b"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    parts = (body[start : start + size] for start in range(0, len(body), size))
    return head + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + end


CLOSE = b"Connection: close\r\n"


class LegalRequestTests(ProtocolCase):
    """A single request within the limits is served, however it is sent."""

    def test_a_body_of_the_largest_size_reaches_the_application_whole(self):
        body = random.Random(1).randbytes(MAX_BODY_BYTES)
        for data in (post(body, extra=CLOSE), chunked(body, 7_000), chunked(body, 1)):
            answer = self.serve(lambda data=data: self.exchange(data), body_ms=constant_ms(20_000))
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:80])
            self.assertEqual([body], self.app.bodies)

    def test_a_body_that_is_sent_slowly_within_its_time_is_served(self):
        async def scenario():
            reader, writer = await self.connect()
            request = post(b"x" * 1_000, extra=CLOSE)
            for start in range(0, len(request), 100):
                writer.write(request[start : start + 100])
                await asyncio.sleep(0.02)
            return await reader.read()

        self.assertIn(b"1000", self.serve(scenario, body_ms=constant_ms(5_000)))

    def test_requests_sent_before_the_first_answer_are_answered_in_order(self):
        async def scenario():
            request = post(b"a") + post(b"bb") + chunked(b"ccc", 2)
            return await self.exchange(request)

        answer = self.serve(scenario)
        self.assertEqual([b"a", b"bb", b"ccc"], self.app.bodies)
        self.assertEqual(3, answer.count(b"HTTP/1.1 200"))

    def test_a_client_that_expects_100_is_told_to_continue(self):
        async def scenario():
            reader, writer = await self.connect()
            request = post(b"abc", extra=CLOSE + b"Expect: 100-continue\r\n")
            writer.write(request[:-3])
            first = await reader.readline()
            writer.write(request[-3:])
            return first, await reader.read()

        first, rest = self.serve(scenario)
        self.assertEqual(b"HTTP/1.1 100 Continue\r\n", first)
        self.assertIn(b"HTTP/1.1 200", rest)

    def test_a_body_that_is_too_long_is_cut_and_left_to_the_application(self):
        """The application knows which limit a route has, and what it answers."""
        answer = self.serve(lambda: self.exchange(chunked(b"x" * 2 * MAX_BODY_BYTES, 10_000)))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:80])
        (body,) = self.app.bodies
        self.assertTrue(MAX_BODY_BYTES < len(body) <= MAX_BODY_BYTES + 10_000)


class UnfinishedRequestTests(ProtocolCase):
    """A request that does not end is rejected in time, and its bytes are given back."""

    def test_a_body_without_its_end_is_rejected(self):
        for data in (post(b"x" * 1_000)[:-1], chunked(b"x" * 1_000, 10, end=b"")):
            answer = self.serve(lambda data=data: self.exchange(data))
            self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer[:80])
            self.assertEqual([], self.app.bodies)

    def test_a_head_without_its_end_is_closed(self):
        self.assertEqual(b"", self.serve(lambda: self.exchange(b"GET / HTTP/1.1\r\nHost: h\r\n")))

    def test_blank_lines_do_not_keep_a_connection_open(self):
        async def scenario():
            reader, writer = await self.connect()
            writer.write(post(b"a"))
            await reader.readuntil(b"\r\n\r\n1")
            while not reader.at_eof() and not writer.is_closing():
                writer.write(b"\r\n")
                await asyncio.wait({asyncio.ensure_future(reader.read(1))}, timeout=0.05)

        self.serve(scenario)

    def test_a_head_that_is_too_long_is_rejected(self):
        request = b"GET / HTTP/1.1\r\nX: " + b"x" * 2 * MAX_HEAD_BYTES
        answer = self.serve(lambda: self.exchange(request), head_ms=5_000)
        self.assertTrue(answer.startswith(b"HTTP/1.1 431"), answer[:80])

    def test_fields_after_a_body_are_not_kept(self):
        request = chunked(b"x", 1, end=b"0\r\n" + b"Name: value\r\n" * 1_000 + b"\r\n")
        answer = self.serve(lambda: self.exchange(request))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:80])

    def test_large_bodies_at_once_do_not_exceed_the_account(self):
        async def scenario():
            body = post(b"x" * 250_000)[:-1]
            clients = [asyncio.create_task(self.exchange(body)) for _ in range(CONNECTIONS - 1)]
            most = 0
            while not all(client.done() for client in clients):
                most = max(most, self.memory.held_bytes)
                await asyncio.sleep(0)
            return most, [client.result()[:12] for client in clients]

        most, answers = self.serve(scenario)
        self.assertLessEqual(most, MEMORY_BYTES)
        self.assertIn(b"HTTP/1.1 503", answers)

    def test_a_small_request_is_served_while_the_account_is_full_of_large_ones(self):
        async def scenario():
            body = post(b"x" * 250_000)[:-1]
            for _ in range(CONNECTIONS - 2):
                _, writer = await self.connect()
                writer.write(body)
            return await self.exchange(post(b"abc", extra=CLOSE))

        answer = self.serve(scenario, body_ms=constant_ms(20_000))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:80])

    def test_chunks_of_one_byte_leave_time_for_other_clients(self):
        async def scenario():
            data = chunked(b"x" * 250_000, 1, end=b"")
            writers = [(await self.connect())[1] for _ in range(CONNECTIONS - 2)]
            for writer in writers:
                writer.write(data)
            answer = await self.exchange(post(b"abc", extra=CLOSE))
            return answer, len(self.port.memory.unfinished)

        answer, unfinished = self.serve(scenario, body_ms=constant_ms(20_000))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:80])
        self.assertNotEqual(0, unfinished, "the others were over before")


class ConnectionTests(ProtocolCase):
    """Connections that are over the limit replace those that wait, or are closed."""

    def test_a_client_is_served_although_idle_ones_fill_the_port(self):
        async def scenario():
            idle = [await self.connect() for _ in range(2 * CONNECTIONS)]
            await self.until_held(CONNECTIONS)
            answer = await self.exchange(post(b"abc", extra=CLOSE))
            self.assertEqual(b"", await idle[0][0].read())
            return answer

        answer = self.serve(scenario, head_ms=20_000)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:80])

    def test_a_new_client_does_not_replace_one_that_is_being_answered(self):
        async def scenario():
            self.app.may_answer.clear()
            clients = [
                asyncio.create_task(self.exchange(post(b"abc", extra=CLOSE)))
                for _ in range(CONNECTIONS)
            ]
            await eventually(lambda: len(self.app.bodies) == CONNECTIONS, "all calls", 5)
            refused = await asyncio.gather(self.exchange(post(b"n")), return_exceptions=True)
            self.app.may_answer.set()
            return refused, [await client for client in clients]

        refused, answers = self.serve(scenario, head_ms=20_000)
        self.assertTrue(refused[0] == b"" or isinstance(refused[0], OSError), refused)
        self.assertTrue(all(each.startswith(b"HTTP/1.1 200") for each in answers))

    def test_too_many_requests_before_the_first_answer_close_the_connection(self):
        async def scenario():
            self.app.may_answer.clear()
            request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
            answered = await asyncio.gather(
                self.exchange(request * (10 * MAX_PIPELINED)), return_exceptions=True
            )
            return answered[0]

        answer = self.serve(scenario)
        self.assertTrue(answer == b"" or isinstance(answer, OSError), answer)
        self.assertEqual(1, len(self.app.bodies))


class UnreadAnswerTests(ProtocolCase):
    """An answer that its client does not read is dropped in time."""

    async def ask_and_not_read(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (self.address.ip, self.address.port))
        await loop.sock_sendall(sock, post(b"", path="/large"))
        self.addCleanup(sock.close)
        return sock

    def test_a_client_that_does_not_read_is_closed_in_time(self):
        async def scenario():
            await self.ask_and_not_read()
            await eventually(lambda: self.memory.held_bytes >= 1_000_000, "the answer", 5)
            await self.until_held(0)

        self.serve(scenario)

    def test_answers_that_are_not_read_are_in_the_account(self):
        async def scenario():
            first = await self.ask_and_not_read()
            await eventually(lambda: self.memory.held_bytes >= 1_000_000, "the first answer", 5)
            second = await self.ask_and_not_read()
            await eventually(lambda: not self.app.has_room, "no room for the second", 5)
            first.close()
            second.close()

        self.serve(scenario, unread_ms=20_000)


class MixedEndsTests(ProtocolCase):
    """Whatever way requests end, nothing stays in the account; `serve` checks that."""

    def test_seeded_mixes(self):
        for seed in range(5):
            self.serve(lambda seed=seed: self.play(random.Random(seed)))

    async def play(self, rng):
        await asyncio.gather(*(self.client(rng) for _ in range(60)))

    async def client(self, rng):
        await asyncio.sleep(rng.random() * 0.5)
        body = b"x" * rng.choice([0, 10, 5_000, 100_000, MAX_BODY_BYTES, 2 * MAX_BODY_BYTES])
        request = rng.choice([post(body), chunked(body, rng.choice([1, 100, 9_000]))])
        request *= rng.choice([1, 1, 1, 3, 30])
        if rng.random() < 0.5:
            request = request[: rng.randrange(1, len(request))]
        if rng.random() < 0.1:
            request = rng.randbytes(1_000) + request
        try:
            reader, writer = await self.connect()
            writer.write(request)
            async with asyncio.timeout(rng.random()):
                while await reader.read(1_000) and rng.random() < 0.8:
                    pass
        except (OSError, TimeoutError):
            pass
        writer.transport.abort()


class RejectionCountTests(ProtocolCase):
    """Operators see why clients were rejected."""

    def test_rejections_are_counted_by_reason(self):
        counted = []

        async def scenario():
            self.port.count_rejection = counted.append
            await self.exchange(post(b"abc")[:-1])

        self.serve(scenario)
        self.assertEqual([RejectionReason.BODY_TIMEOUT], counted)
