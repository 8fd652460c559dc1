import hashlib
import json

import testtools
from aiohttp import web

from agateferry_core.support import run_async
from agateferry_standins.callers import caller
from agateferry_standins.callers.load import Load, run_load
from agateferry_standins.callers.messages import JobKind, RequestOutcome
from agateferry_standins.callers.tally import RunSummary, Tally
from agateferry_standins.worker import LeaseRequest, StartLog

RUN_ONCE = JobKind("load-reconcile", "depot", idempotent=False, run_ms=1)


class FakeSystem:
    """Keep requests in memory and apply the next of the listed faults to each submission."""

    def __init__(self, log):
        self.log = log
        self.faults = []
        self.requests = {}
        self.ids = {}
        self.calls = []

    async def start(self):
        app = web.Application()
        app.router.add_post("/v1/requests", self._submit)
        app.router.add_get("/v1/requests/{id}", self._get)
        app.router.add_delete("/v1/requests/{id}", self._cancel)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        return f"127.0.0.1:{self.runner.addresses[0][1]}"

    async def _submit(self, req):
        key = req.headers["Idempotency-Key"]
        self.calls.append(("POST", key))
        fault = self.faults.pop(0) if self.faults else ""
        if fault in ("503", "429"):
            return self._problem(int(fault), "no-leader" if fault == "503" else "queue-full")
        body = await req.json()
        if key not in self.ids:
            self._accept(key, body)
        if fault == "lost":
            req.transport.close()
        request = self.requests[self.ids[key]]
        if fault == "wrong":
            request = request | {"answer": "x", "digest": hashlib.sha256(b"x").hexdigest()}
        status = 202 if fault == "202" else 200
        shown = request | ({"state": "running"} if status == 202 else {})
        return web.json_response(shown, status=status)

    def _accept(self, key, body):
        task = json.loads(body["payload"])
        text = task["echo"]
        request_id = f"z.{len(self.requests)}"
        self.ids[key] = request_id
        self.log.record_start(LeaseRequest("L", request_id, 1, 0, job=body["job"]), task["key"])
        self.requests[request_id] = {
            "id": request_id,
            "job": body["job"],
            "team": body["team"],
            "state": "finished",
            "answer": text,
            "digest": hashlib.sha256(text.encode()).hexdigest(),
            "run": "ran",
        }

    async def _get(self, req):
        self.calls.append(("GET", req.match_info["id"]))
        request = self.requests.get(req.match_info["id"])
        if request is None:
            return self._problem(404, "unknown-request")
        return web.json_response(request)

    async def _cancel(self, req):
        request = self.requests[req.match_info["id"]]
        request |= {"state": "cancelled", "answer": None}
        return web.json_response(request)

    def _problem(self, status, reason):
        body = {"reason": reason, "run": "not-run"}
        return web.json_response(body, status=status, headers={"Retry-After": "0"})


class CallerTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(caller, "MIN_RETRY_DELAY_S", 0.001)
        self.log = StartLog()
        self.system = FakeSystem(self.log)
        self.tally = Tally()

    def run_one(self, kind=RUN_ONCE, faults=(), **load):
        self.system.faults = list(faults)

        async def main():
            entry = await self.system.start()
            await run_load(Load("t", (kind,), 1, 100, **load), [entry], self.tally)
            await self.system.runner.cleanup()

        run_async(main(), 20)
        return self.tally.records[0]

    def summary(self):
        return RunSummary.from_tally(self.tally, self.log)

    def test_an_answer_is_counted_and_timed(self):
        self.assertEqual(RequestOutcome.FINISHED, self.run_one().outcome)
        self.assertEqual(RunSummary(1, 1, 0, 0, 0, 0), self.summary())
        self.assertEqual(1, self.tally.latency_us["normal"].get_total_count())

    def test_a_lost_connection_and_503_are_retried_with_the_same_key(self):
        self.assertEqual(RequestOutcome.FINISHED, self.run_one(faults=["503", "lost"]).outcome)
        self.assertEqual(1, len(set(self.system.calls)))
        self.assertEqual({"no-leader": 1, "connection-lost": 1}, dict(self.tally.retried))
        self.assertTrue(self.summary().is_clean)

    def test_a_request_accepted_with_202_is_polled(self):
        self.assertEqual(RequestOutcome.FINISHED, self.run_one(faults=["202"]).outcome)
        self.assertEqual(("GET", "z.0"), self.system.calls[-1])

    def test_a_refusal_is_counted_by_its_reason_and_not_as_accepted(self):
        self.assertEqual(RequestOutcome.REFUSED, self.run_one(faults=["429"]).outcome)
        self.assertEqual({"queue-full": 1}, dict(self.tally.refused))
        self.assertEqual(RunSummary(0, 0, 0, 0, 0, 0), self.summary())

    def test_the_answer_of_another_request_is_wrong(self):
        self.run_one(faults=["wrong"])
        self.assertFalse(self.summary().is_clean)
        self.assertEqual(1, self.summary().wrong)

    def test_an_accepted_request_that_becomes_unknown_is_lost(self):
        self.system._accept = lambda key, body: self.system.ids.update({key: "z.0"})
        self.system.requests["z.0"] = {"id": "z.0"}

        async def reply_unknown(req):
            return self.system._problem(404, "unknown-request")

        self.system._get = reply_unknown
        self.assertEqual(RequestOutcome.LOST, self.run_one(faults=["202"]).outcome)
        self.assertEqual((1, 0, 1), (self.summary().accepted, 0, self.summary().lost))

    def test_a_cancelled_request_is_answered(self):
        kind = JobKind("forecast", "season", cancel_share=1.0, run_ms=1)
        self.assertEqual(RequestOutcome.CANCELLED, self.run_one(kind, faults=["202"]).outcome)
        self.assertTrue(self.summary().is_clean)

    def test_a_second_start_after_a_resend_is_duplicated(self):
        kind = JobKind("load-reconcile", "depot", idempotent=False, resend_share=1.0)
        self.run_one(kind)
        self.assertTrue(self.summary().is_clean)
        self.log.record_start(LeaseRequest("M", "y.0", 1, 0, job="load-reconcile"), "t-1-0")
        self.assertEqual(1, self.summary().duplicated)

    def test_a_not_run_answer_with_a_start_at_a_worker_is_wrong(self):
        record = self.run_one(faults=["429"])
        self.log.record_start(LeaseRequest("L", "z.0", 1, 0, job="load-reconcile"), record.key)
        self.assertEqual(1, self.summary().wrong)


class LoadTests(testtools.TestCase):
    def test_the_same_seed_gives_the_same_requests(self):
        load = Load("t", (RUN_ONCE, JobKind("barn-count", "keepers")), 20, 100, seed=7)
        self.assertEqual(load.records(), load.records())
        self.assertEqual(20, len({record.key for record in load.records()}))
