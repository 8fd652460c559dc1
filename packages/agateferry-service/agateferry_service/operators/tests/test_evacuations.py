import asyncio
import json
from types import SimpleNamespace

import testtools
from starlette.requests import Request

from agateferry_core.clock import ManualClock
from agateferry_core.logs import EventLogger
from agateferry_core.metrics import Metrics
from agateferry_core.support import run_async
from agateferry_service.cell.refusals import refusal
from agateferry_service.cell.tests.support import MemoryReplica
from agateferry_service.daemon.tests.support import running_host
from agateferry_service.operators.evacuations import Evacuations
from agateferry_service.operators.records_reader import RecordsReader
from agateferry_service.records.plane import NotifyingRecordsMachine, RecordsPlane
from agateferry_service.routing.calls import RecordsCalls
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_state.records import Kind, RecordStore

ZONES = ("a-1", "a-2", "a-3")
LIMITS = SimpleNamespace(max_body_bytes=10_000, request_body_timeout_ms=1_000)
CONTENT = {"evacuated": True, "since_ms": 5_000, "requested_by": "ada"}


class FakeZones:
    """Route calls to one records plane, and answer the query of an evacuation for each cell."""

    names = ZONES

    def __init__(self, plane):
        self.records = SimpleNamespace(call=self.call_records)
        self.states = {}
        self.before_put = None
        self.lose_put_replies = False
        self.unreachable = False
        self.puts = 0

    async def call_records(self, method, message, timeout_ms):
        if self.unreachable:
            return pb.QueryReply(refusal=refusal("outcome-unknown", "", 1_000))
        if method.name == "put":
            self.puts += 1
            await self._run_before_put()
        reply = await method.local(message)
        if method.name == "put" and self.lose_put_replies:
            return pb.QueryReply(refusal=refusal("outcome-unknown", "", 1_000))
        return reply

    async def _run_before_put(self):
        action, self.before_put = self.before_put, None
        if action is not None:
            await action()

    def router(self, zone):
        async def call(method, message, timeout_ms):
            if zone not in self.states:
                return pb.QueryReply(refusal=refusal("zone-unreachable", ""))
            return pb.QueryReply(body=json.dumps(self.states[zone]))

        return SimpleNamespace(call=call)


class EvacuationsCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        machine = NotifyingRecordsMachine()
        self.store = machine.store
        self.metrics = Metrics()
        self.replica = MemoryReplica(machine)
        plane = RecordsPlane("h1", machine, self.replica, self.metrics)
        calls = RecordsCalls(plane)
        self.zones = FakeZones(plane)
        self.local = RecordStore()
        self.clock = ManualClock(0, 5_000)
        self.evacuations = Evacuations(
            self.zones,
            SimpleNamespace(query=None),
            calls,
            RecordsReader(self.zones, calls, self.local),
            LIMITS,
            self.metrics,
            self.clock,
            EventLogger(),
        )

    def request(self, zone="a-1", by="", is_connected=lambda: True):
        body = json.dumps({"requested_by": by}).encode() if by else b""
        scope = {
            "type": "http",
            "method": "POST",
            "path": f"/v1/evacuations/{zone}",
            "query_string": b"",
            "headers": [],
            "client": ("10.0.0.7", 4000),
            "path_params": {"zone": zone},
        }
        received = []

        async def receive():
            if not received:
                received.append(body)
                return {"type": "http.request", "body": body, "more_body": False}
            while is_connected():
                await asyncio.sleep(3_600)
            return {"type": "http.disconnect"}

        return Request(scope, receive)

    async def evacuate(self, *args, **options):
        return await self.evacuations.evacuate(self.request(*args, **options))

    async def readmit(self, *args, **options):
        return await self.evacuations.readmit(self.request(*args, **options))

    def run_calls(self, *calls):
        """Run the calls one after the other; return the status and document of each."""

        async def main():
            return [await call for call in calls]

        return [self.parsed(resp) for resp in run_async(main())]

    def parsed(self, resp):
        return resp.status_code, json.loads(resp.body)

    def stands(self, zone="a-1"):
        revision = self.store.get(Kind.EVACUATION, zone)
        return revision and (revision.version, revision.record.evacuated)

    def counted(self, name, reason):
        value = self.metrics.registry.get_sample_value(f"agateferry_{name}", {"reason": reason})
        return value or 0


class ChangeTests(EvacuationsCase):
    def test_an_evacuation_is_stored(self):
        ((status, document),) = self.run_calls(self.evacuate(by="ada"))
        expected = {"zone": "a-1", **CONTENT, "version": 1, "revision": 1, "changed": True}
        self.assertEqual((200, expected), (status, document))
        self.assertEqual((1, True), self.stands())

    def test_evacuating_again_keeps_the_first_time_and_requester(self):
        self.run_calls(self.evacuate(by="ada"))
        self.clock.advance(9_000)
        ((status, document),) = self.run_calls(self.evacuate(by="bob"))
        self.assertEqual(
            (200, False, 5_000, "ada"),
            (
                status,
                document["changed"],
                document["since_ms"],
                document["requested_by"],
            ),
        )
        self.assertEqual((1, True), self.stands())

    def test_readmitting_a_zone_that_is_not_evacuated_changes_nothing(self):
        ((status, document),) = self.run_calls(self.readmit())
        self.assertEqual((200, False, False), (status, document["evacuated"], document["changed"]))
        self.assertIsNone(self.stands())

    def test_any_order_of_calls_is_valid_and_zones_are_independent(self):
        calls = [self.evacuate("a-1"), self.evacuate("a-2"), self.readmit("a-1")]
        calls += [self.evacuate("a-3"), self.readmit("a-1"), self.evacuate("a-1")]
        self.assertEqual([200] * 6, [status for status, _ in self.run_calls(*calls)])
        self.assertEqual([(3, True), (1, True), (1, True)], [self.stands(z) for z in ZONES])

    def test_an_unknown_zone_gets_404_and_changes_nothing(self):
        replies = self.run_calls(self.evacuate("a-9"), self.readmit("a-9"))
        for status, document in replies:
            self.assertEqual((404, "unknown-zone"), (status, document["reason"]))
            self.assertIn("a-1, a-2, a-3; nothing was changed", document["detail"])
        self.assertEqual((None, 0), (self.stands("a-9"), self.zones.puts))

    def test_without_a_name_the_caller_is_named_by_its_address(self):
        ((_, document),) = self.run_calls(self.evacuate())
        self.assertEqual("10.0.0.7", document["requested_by"])

    def test_a_name_that_is_too_long_is_refused(self):
        ((status, document),) = self.run_calls(self.evacuate(by="x" * 65))
        self.assertEqual((422, "invalid"), (status, document["reason"]))
        self.assertIsNone(self.stands())


class ConcurrentOperatorsTests(EvacuationsCase):
    def run_at_once(self, *calls):
        async def main():
            return await asyncio.gather(*calls)

        return [self.parsed(resp) for resp in run_async(main())]

    def test_of_two_that_evacuate_at_once_one_makes_the_change(self):
        replies = self.run_at_once(self.evacuate(by="ada"), self.evacuate(by="bob"))
        self.assertEqual([200, 200], [status for status, _ in replies])
        self.assertEqual([False, True], sorted(document["changed"] for _, document in replies))
        self.assertEqual(1, len({document["requested_by"] for _, document in replies}))
        self.assertEqual((1, True), self.stands())
        self.assertEqual(1, self.counted("retries_total", "version-conflict"))

    def test_of_an_evacuation_and_a_readmission_at_once_both_are_acknowledged(self):
        self.run_calls(self.evacuate())
        replies = self.run_at_once(self.readmit(), self.evacuate())
        self.assertEqual([200, 200], [status for status, _ in replies])

    def test_a_call_that_was_overtaken_by_two_changes_is_applied_after_them(self):
        async def overtake():
            await self.evacuate(by="bob")
            await self.readmit(by="bob")

        self.zones.before_put = overtake
        ((status, document),) = self.run_calls(self.evacuate(by="ada"))
        self.assertEqual((200, True, 3), (status, document["changed"], document["version"]))


class LostAnswerTests(EvacuationsCase):
    def test_a_resend_gets_the_change_that_was_made(self):
        self.zones.lose_put_replies = True
        ((status, document),) = self.run_calls(self.evacuate(by="ada"))
        self.assertEqual((503, "outcome-unknown"), (status, document["reason"]))
        self.zones.lose_put_replies = False
        ((status, document),) = self.run_calls(self.evacuate(by="ada"))
        self.assertEqual((200, 1), (status, document["version"]))
        self.assertEqual((1, True), self.stands())

    def test_without_the_records_plane_nothing_is_changed(self):
        self.zones.unreachable = True
        ((status, document),) = self.run_calls(self.evacuate())
        self.assertEqual((503, "no-leader", 0), (status, document["reason"], self.zones.puts))


class CallerGoneTests(EvacuationsCase):
    """A host that was suspended resumes with an order that its caller has since given up."""

    def test_its_order_is_not_applied(self):
        ((status, document),) = self.run_calls(self.evacuate(is_connected=lambda: False))
        self.assertEqual((503, "caller-gone"), (status, document["reason"]))
        self.assertEqual((None, 0), (self.stands(), self.zones.puts))

    def test_its_order_does_not_undo_what_was_reversed_since(self):
        connected = [True]

        async def suspended():
            connected[0] = False
            self.clock.advance(1_000)
            await self.evacuate(by="ada")
            await self.readmit(by="ada")

        self.zones.before_put = suspended
        ((status, document),) = self.run_calls(
            self.evacuate(by="ada", is_connected=lambda: connected[0])
        )
        self.assertEqual((503, "caller-gone"), (status, document["reason"]))
        self.assertEqual((2, False), self.stands())


class ListTests(EvacuationsCase):
    def listed(self):
        return run_async(self.evacuations.list_evacuated(self.request()))

    def test_it_has_the_evacuated_zones_with_what_is_left_there(self):
        self.run_calls(self.evacuate("a-1"), self.evacuate("a-2"), self.evacuate("a-3", by="ada"))
        self.run_calls(self.readmit("a-2"))
        self.zones.states["a-3"] = {"evacuated": True, "running": 2, "queued": 1}
        first, second = json.loads(self.listed().body)["evacuations"]
        unknown = {"in_force": None, "running": None, "queued": None}
        self.assertEqual(("a-1", unknown), (first["zone"], {key: first[key] for key in unknown}))
        expected = {"zone": "a-3", **CONTENT, "version": 1, "revision": 3}
        self.assertEqual(expected | {"in_force": True, "running": 2, "queued": 1}, second)

    def test_a_zone_that_has_not_heard_of_it_is_not_in_force(self):
        self.run_calls(self.evacuate())
        self.zones.states["a-1"] = {"evacuated": False, "running": 9, "queued": 0}
        (listed,) = json.loads(self.listed().body)["evacuations"]
        self.assertEqual((False, 9), (listed["in_force"], listed["running"]))

    def test_without_the_records_plane_the_copy_of_the_zone_is_shown(self):
        self.run_calls(self.evacuate())
        self.local.adopt(self.store.since(0))
        self.zones.unreachable = True
        resp = self.listed()
        self.assertEqual("true", resp.headers["agateferry-stale"])
        self.assertEqual(1, len(json.loads(resp.body)["evacuations"]))


class DaemonTests(testtools.TestCase):
    def run_on_host(self, work):
        async def main():
            async with running_host() as client:
                return await work(client)

        return run_async(main())

    def test_a_zone_is_evacuated_and_readmitted(self):
        async def work(client):
            await client.put("team", "t", {})
            await client.put("job", "quick", {"urgency": "urgent", "idempotent": True})
            await client.call("operators", "POST", "/v1/evacuations/z")
            catalog = client.host.cell.ctx.catalog
            while catalog.evacuation() is None or catalog.job("quick") is None:
                await asyncio.sleep(0.01)
            refused = await client.submit({"team": "t", "job": "quick"})
            _, listed, _ = await client.call("operators", "GET", "/v1/evacuations")
            await client.call("operators", "DELETE", "/v1/evacuations/z")
            while catalog.evacuation() is not None:
                await asyncio.sleep(0.01)
            accepted, _, _ = await client.submit({"team": "t", "job": "quick"})
            return refused, listed, accepted

        (status, document, headers), listed, accepted = self.run_on_host(work)
        self.assertEqual(
            (503, "zone-evacuated", "not-run", "5"),
            (status, document["reason"], document["run"], headers["Retry-After"]),
        )
        self.assertEqual((202, True), (accepted, listed["evacuations"][0]["in_force"]))

    def test_only_the_operators_port_has_the_calls(self):
        async def work(client):
            return [
                (await client.call(port, "POST", "/v1/evacuations/z"))[0]
                for port in ("callers", "endpoints", "operators")
            ]

        self.assertEqual([404, 404, 200], self.run_on_host(work))

    def test_its_record_can_be_read_but_not_put(self):
        async def work(client):
            await client.call("operators", "POST", "/v1/evacuations/z")
            put = await client.put("evacuation", "z", {"evacuated": False}, replaces=1)
            path = "/v1/records/evacuation/z/history"
            return put[:2], (await client.call("operators", "GET", path))[1]

        (status, document), history = self.run_on_host(work)
        self.assertEqual((422, "invalid"), (status, document["reason"]))
        self.assertEqual([True], [one["content"]["evacuated"] for one in history["versions"]])
