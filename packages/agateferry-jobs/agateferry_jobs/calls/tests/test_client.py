import asyncio

import grpc
import testtools

from agateferry_core.clock import SystemClock
from agateferry_core.support import free_port, run_async
from agateferry_jobs.calls import LeaderClient, messages
from agateferry_jobs.calls.client import ATTEMPT_TIMEOUT_MS, FIRST_ATTEMPT_TIMEOUT_MS
from agateferry_jobs.cell.servicer import LeaderServicer
from agateferry_jobs.rpc import leader_pb2_grpc as rpc

LEADER = "127.0.0.1"
CALL_TIMEOUT_MS = 2_500


class LeaderClientTests(testtools.TestCase):
    def call_leader(self, delay_s, lost_calls=0):
        """Call a leader that answers after `delay_s`, except its first `lost_calls` calls."""
        calls = []

        async def handle(call):
            calls.append(call)
            await asyncio.sleep(60 if len(calls) <= lost_calls else delay_s)
            return messages.ReplyEnvelope(messages.Done(), (LEADER,))

        async def main():
            port = free_port()
            server = grpc.aio.server()
            rpc.add_LeaderServicer_to_server(LeaderServicer(handle), server)
            server.add_insecure_port(f"{LEADER}:{port}")
            await server.start()
            client = LeaderClient(SystemClock(), port)
            client.add_hosts((LEADER,))
            try:
                began_s = asyncio.get_running_loop().time()
                reply = await client.call(messages.ReadManifest(), CALL_TIMEOUT_MS)
                return reply, asyncio.get_running_loop().time() - began_s
            finally:
                await client.close()
                await server.stop(None)

        return run_async(main(), 20)

    def test_a_leader_that_is_slow_to_answer_is_waited_for_from_the_second_attempt_on(self):
        delay_s = (FIRST_ATTEMPT_TIMEOUT_MS + ATTEMPT_TIMEOUT_MS) / 2 / 1000
        self.assertEqual(messages.Done(), self.call_leader(delay_s)[0])

    def test_a_first_attempt_without_an_answer_is_repeated_soon(self):
        reply, took_s = self.call_leader(0.0, lost_calls=1)
        self.assertEqual(messages.Done(), reply)
        self.assertLess(took_s, ATTEMPT_TIMEOUT_MS / 1000)
