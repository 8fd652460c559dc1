import asyncio
import hashlib

import aiohttp
import testtools
from aiohttp import web

from agateferry_core.support import run_async
from agateferry_standins.worker.behaviour import Behaviour
from agateferry_standins.worker.start_log import StartLog
from agateferry_standins.worker.worker import StandInWorker, WorkerPlace


class FakeEntry:
    """Take announcements and answer them with instructions set by the test."""

    def __init__(self):
        self.bodies = []
        self.answer = {"heartbeat_ms": 2000, "stop": [], "release": []}
        self.arrived = asyncio.Condition()

    async def start(self):
        app = web.Application()
        app.router.add_post("/v1/endpoints/{name}/announce", self._announce)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        return f"127.0.0.1:{self.runner.addresses[0][1]}"

    async def _announce(self, req):
        self.bodies.append(await req.json())
        async with self.arrived:
            self.arrived.notify_all()
        return web.json_response(self.answer)

    async def until(self, holds):
        async with self.arrived:
            await self.arrived.wait_for(lambda: any(holds(body) for body in self.bodies))


class StandInWorkerTests(testtools.TestCase):
    def in_loop(self, test, entries=()):
        async def main():
            self.log = StartLog()
            self.worker = StandInWorker(WorkerPlace("w1", "z", "r1", tuple(entries)), self.log)
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

    def test_a_start_that_waits_gets_the_whole_answer(self):
        async def test(session):
            status, lease = await self.start(session)
            self.assertEqual((200, "finished", "hi"), (status, lease["state"], lease["answer"]))
            self.assertEqual(hashlib.sha256(b"hi").hexdigest(), lease["digest"])

        self.in_loop(test)

    def test_a_start_that_does_not_wait_is_asked_for_later(self):
        async def test(session):
            status, lease = await self.start(session, wait_s=0, payload='{"run_ms": 50}')
            self.assertEqual((202, "running"), (status, lease["state"]))
            headers = {"Prefer": "wait=5"}
            async with session.get("/v1/leases/L1", headers=headers) as resp:
                self.assertEqual((200, "finished"), (resp.status, (await resp.json())["state"]))

        self.in_loop(test)

    def test_another_incarnation_is_refused(self):
        async def test(session):
            status, problem = await self.start(session, incarnation="old")
            self.assertEqual((409, "wrong-incarnation"), (status, problem["reason"]))

        self.in_loop(test)

    def test_a_truncated_answer_fails_at_the_client(self):
        async def test(session):
            self.worker.behave(Behaviour.TRUNCATED)
            with testtools.ExpectedException(aiohttp.ClientPayloadError):
                await self.start(session)
            self.assertEqual(1, sum(self.log.starts.values()))

        self.in_loop(test)

    def test_a_wrong_answer_is_that_of_another_lease(self):
        async def test(session):
            await self.start(session, lease="L1")
            self.worker.behave(Behaviour.WRONG)
            _, lease = await self.start(session, lease="L2")
            self.assertEqual("L1", lease["lease"])

        self.in_loop(test)

    def test_an_answer_sent_twice_arrives_whole(self):
        async def test(session):
            self.worker.behave(Behaviour.TWICE)
            for lease in ("L1", "L2"):
                _, got = await self.start(session, lease=lease)
                self.assertEqual(lease, got["lease"])

        self.in_loop(test)

    def test_a_silent_worker_starts_and_says_nothing(self):
        async def test(session):
            self.worker.behave(Behaviour.SILENT)
            with testtools.ExpectedException(TimeoutError):
                async with asyncio.timeout(0.2):
                    await self.start(session)
            self.assertEqual(1, sum(self.log.starts.values()))

        self.in_loop(test)

    def test_announces_ends_at_once_and_obeys(self):
        async def main():
            entry = FakeEntry()
            address = await entry.start()
            dead = "127.0.0.1:1"
            self.log = StartLog()
            self.worker = StandInWorker(WorkerPlace("w1", "z", "r1", (dead, address)), self.log)
            await self.worker.start()
            async with aiohttp.ClientSession(f"http://{self.worker.address}") as session:
                await self.start(session)
                await entry.until(lambda b: [x["state"] for x in b["leases"]] == ["finished"])
                entry.answer["release"] = ["L1"]
                self.worker.leave()
                await entry.until(lambda b: b["state"] == "leaving" and b["leases"])
                self.worker.announcer.at_once()
                await entry.until(lambda b: b["state"] == "leaving" and not b["leases"])
            await self.worker.stop()
            await entry.runner.cleanup()

        run_async(main(), 20)
