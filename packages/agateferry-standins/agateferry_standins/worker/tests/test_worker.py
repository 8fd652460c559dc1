import asyncio
import hashlib

import aiohttp
import testtools
from aiohttp import web

from agateferry_core.support import run_async
from agateferry_standins.worker.behaviour import Behaviour
from agateferry_standins.worker.start_log import StartLog
from agateferry_standins.worker.worker import StandInWorker, WorkerConfig


class FakeEntry:
    """Receive heartbeats and reply with the instructions that the test sets."""

    def __init__(self):
        self.heartbeats = []
        self.reply = {"heartbeat_ms": 2000, "stop": [], "release": []}
        self.received = asyncio.Condition()

    async def start(self):
        app = web.Application()
        app.router.add_post("/v1/endpoints/{name}/announce", self._announce)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        return f"127.0.0.1:{self.runner.addresses[0][1]}"

    async def _announce(self, req):
        self.heartbeats.append(await req.json())
        async with self.received:
            self.received.notify_all()
        return web.json_response(self.reply)

    async def wait_for_heartbeat(self, condition):
        async with self.received:
            await self.received.wait_for(lambda: any(condition(body) for body in self.heartbeats))


class StandInWorkerTests(testtools.TestCase):
    def with_worker(self, test, entries=()):
        async def main():
            self.log = StartLog()
            self.worker = StandInWorker(WorkerConfig("w1", "z", "r1", tuple(entries)), self.log)
            await self.worker.start()
            try:
                async with aiohttp.ClientSession(f"http://{self.worker.address}") as session:
                    await test(session)
            finally:
                await self.worker.stop()

        run_async(main(), 20)

    def body(self, payload="hi", lease="L1", **more):
        return {
            "request_id": "z.1",
            "attempt": 1,
            "member": 0,
            "members": 1,
            "accelerators": 1,
            "cpu_cores": 1,
            "memory_mb": 1,
            "ttl_ms": 1000,
            "incarnation": self.worker.incarnation,
            "job": "barn-count",
            "team": "t",
            "payload": payload,
            "checkpoint_step": None,
            "deadline_ms": None,
            **more,
        }

    async def start(self, session, lease="L1", wait_s=5, **more):
        headers = {"Prefer": f"wait={wait_s}"}
        url = f"/v1/leases/{lease}/start"
        async with session.post(url, json=self.body(**more), headers=headers) as resp:
            return resp.status, await resp.json()

    def test_a_start_that_waits_returns_the_answer(self):
        async def test(session):
            status, lease = await self.start(session)
            self.assertEqual((200, "finished", "hi"), (status, lease["state"], lease["answer"]))
            self.assertEqual(hashlib.sha256(b"hi").hexdigest(), lease["digest"])

        self.with_worker(test)

    def test_a_start_that_does_not_wait_can_be_polled(self):
        async def test(session):
            status, lease = await self.start(session, wait_s=0, payload='{"run_ms": 50}')
            self.assertEqual((202, "running"), (status, lease["state"]))
            headers = {"Prefer": "wait=5"}
            async with session.get("/v1/leases/L1", headers=headers) as resp:
                self.assertEqual((200, "finished"), (resp.status, (await resp.json())["state"]))

        self.with_worker(test)

    def test_another_incarnation_is_refused(self):
        async def test(session):
            status, problem = await self.start(session, incarnation="old")
            self.assertEqual((409, "wrong-incarnation"), (status, problem["reason"]))

        self.with_worker(test)

    def test_a_truncated_reply_is_an_error_at_the_client(self):
        async def test(session):
            self.worker.set_behaviour(Behaviour.TRUNCATED)
            with testtools.ExpectedException(aiohttp.ClientPayloadError):
                await self.start(session)
            self.assertEqual(1, sum(self.log.starts.values()))

        self.with_worker(test)

    def test_a_wrong_reply_is_that_of_another_lease(self):
        async def test(session):
            await self.start(session, lease="L1")
            self.worker.set_behaviour(Behaviour.WRONG)
            _, lease = await self.start(session, lease="L2")
            self.assertEqual("L1", lease["lease"])

        self.with_worker(test)

    def test_a_reply_sent_twice_is_read_once(self):
        async def test(session):
            self.worker.set_behaviour(Behaviour.TWICE)
            for lease in ("L1", "L2"):
                _, got = await self.start(session, lease=lease)
                self.assertEqual(lease, got["lease"])

        self.with_worker(test)

    def test_a_silent_worker_starts_the_task_without_a_reply(self):
        async def test(session):
            self.worker.set_behaviour(Behaviour.SILENT)
            with testtools.ExpectedException(TimeoutError):
                async with asyncio.timeout(0.2):
                    await self.start(session)
            self.assertEqual(1, sum(self.log.starts.values()))

        self.with_worker(test)

    def test_ends_are_reported_at_once_and_instructions_are_applied(self):
        async def main():
            entry = FakeEntry()
            address = await entry.start()
            unreachable = "127.0.0.1:1"
            self.log = StartLog()
            self.worker = StandInWorker(
                WorkerConfig("w1", "z", "r1", (unreachable, address)), self.log
            )
            await self.worker.start()
            async with aiohttp.ClientSession(f"http://{self.worker.address}") as session:
                await self.start(session)
                await entry.wait_for_heartbeat(
                    lambda b: [x["state"] for x in b["leases"]] == ["finished"]
                )
                entry.reply["release"] = ["L1"]
                self.worker.leave()
                await entry.wait_for_heartbeat(lambda b: b["state"] == "leaving" and b["leases"])
                self.worker.heartbeat_sender.send_soon()
                await entry.wait_for_heartbeat(
                    lambda b: b["state"] == "leaving" and not b["leases"]
                )
            await self.worker.stop()
            await entry.runner.cleanup()

        run_async(main(), 20)
