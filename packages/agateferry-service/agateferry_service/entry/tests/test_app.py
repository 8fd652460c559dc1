import json
from types import SimpleNamespace

import testtools
from starlette.requests import Request

from agateferry_core.metrics import Metrics
from agateferry_core.support import run_async
from agateferry_service.cell.catalog import Catalog
from agateferry_service.entry.app import CallersApp
from agateferry_service.entry.home_zone import home_zone, zone_of_id
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_state.records import (
    EvacuationRecord,
    JobRecord,
    Kind,
    RecordStore,
    Revision,
    Schema,
)

ZONES = ("vestland-1", "vestland-2", "vestland-3")
TEAM, JOB = "desk", "label"
LIMITS = SimpleNamespace(max_body_bytes=10_000, request_body_timeout_ms=1_000, max_wait_ms=1_000)


class RecordingZones:
    """Record the zones that get submissions; each refuses, with the reason that it is given."""

    names = ZONES

    def __init__(self, reasons=None):
        self.called = []
        self.ids = []
        self._reasons = reasons or {}

    def router(self, zone):
        async def call(method, message, *_):
            self.called.append(zone)
            self.ids.append(message.id)
            reason = self._reasons.get(zone, "unavailable")
            return pb.RequestReply(refusal=pb.Refusal(reason=reason, retry_after_ms=5_000))

        return SimpleNamespace(call=call)


def submit(records, local, headers, body=None):
    """Submit one request through a host of zone `local`, and return the zone that was called."""
    zones = RecordingZones()
    post(zones, records, local, headers, body)
    return zones.called


def post(zones, records, local, headers, body=None):
    """Submit one request through a host of zone `local`, and return the response."""
    calls = SimpleNamespace(submit=None)
    app = CallersApp(local, zones, Catalog(records, local), calls, LIMITS, Metrics(), lambda: False)
    data = json.dumps({"schema": "v1", "team": TEAM, "job": JOB} | (body or {})).encode()
    scope = {
        "type": "http",
        "method": "POST",
        "path": "/v1/requests",
        "query_string": b"",
        "headers": [(name.encode(), value.encode()) for name, value in headers.items()],
    }

    async def receive():
        return {"type": "http.request", "body": data, "more_body": False}

    return run_async(app.submit(Request(scope, receive)))


def key_of_another_zone(local):
    """Return a key whose home zone, for a job that is not idempotent, is not `local`."""
    keys = (f"l2-{number}" for number in range(100))
    return next(key for key in keys if home_zone(None, TEAM, key, False, local, ZONES) != local)


class ZoneOfUnknownJobTests(testtools.TestCase):
    """A host that was just restarted has no copy of the job's record when a resend reaches it."""

    def test_resend_goes_to_the_zone_of_the_key_whether_the_host_knows_the_job_or_not(self):
        known = RecordStore()
        known.adopt([Revision(1, Kind.JOB, JOB, 1, JobRecord(idempotent=False), Schema.V2, "")])
        for local in ZONES:
            headers = {"idempotency-key": key_of_another_zone(local)}
            first = submit(known, local, headers)
            resend = submit(RecordStore(), local, headers)
            self.assertNotIn(local, first)
            self.assertEqual(first, resend)

    def test_a_key_has_one_zone_on_all_hosts_that_do_not_know_the_job(self):
        for number in range(50):
            headers = {"idempotency-key": f"k-{number}"}
            called = {zone for local in ZONES for zone in submit(RecordStore(), local, headers)}
            self.assertEqual(1, len(called), headers)

    def test_without_a_key_the_request_stays_in_the_local_zone(self):
        self.assertEqual([ZONES[1]], submit(RecordStore(), ZONES[1], {}))

    def test_the_zone_that_the_caller_names_has_priority(self):
        headers = {"idempotency-key": key_of_another_zone(ZONES[0])}
        self.assertEqual([ZONES[0]], submit(RecordStore(), ZONES[2], headers, {"zone": ZONES[0]}))


class EvacuatedHomeZoneTests(testtools.TestCase):
    HOME = ZONES[0]
    KEY = {"idempotency-key": "k-1"}

    def records(self, idempotent=True, evacuated=()):
        store = RecordStore()
        job = JobRecord(idempotent=idempotent)
        evacuation = EvacuationRecord(True, 1_000, "ada")
        revisions = [Revision(1, Kind.JOB, JOB, 1, job, Schema.V2, "")]
        for zone in evacuated:
            number = len(revisions) + 1
            revisions.append(Revision(number, Kind.EVACUATION, zone, 1, evacuation, Schema.V2, ""))
        store.adopt(revisions)
        return store

    def submit(self, headers=None, body=None, idempotent=True, known=(), refusing=(HOME,), **more):
        """Submit while the cells of zones `refusing` and this host's records of `known` say so."""
        reasons = dict.fromkeys(refusing, "zone-evacuated") | more
        self.zones = RecordingZones({zone.replace("_", "-"): reasons[zone] for zone in reasons})
        records = self.records(idempotent, known)
        self.response = post(self.zones, records, self.HOME, headers or {}, body)
        return self.zones.called

    def assert_refused_as_evacuated(self):
        document = json.loads(self.response.body)
        self.assertEqual(
            (503, "zone-evacuated", "not-run"),
            (self.response.status_code, document["reason"], document["run"]),
        )
        self.assertEqual("5", self.response.headers["retry-after"])

    def test_an_idempotent_request_goes_to_one_other_zone_with_an_id_of_it(self):
        home, other = self.submit()
        self.assertEqual(self.HOME, home)
        self.assertIn(other, ZONES[1:])
        self.assertEqual(other, zone_of_id(self.zones.ids[1]))

    def test_a_zone_that_is_known_to_be_evacuated_is_not_asked(self):
        for known in (ZONES[:1], ZONES[:2]):
            (called,) = self.submit(known=known, refusing=known)
            self.assertNotIn(called, known)

    def test_a_request_with_a_key_asks_its_home_zone_first(self):
        """The home zone may have accepted the key before it was evacuated."""
        home, other = self.submit(self.KEY, known=(self.HOME,))
        self.assertEqual(self.HOME, home)
        for _ in range(5):
            self.assertEqual([home, other], self.submit(self.KEY, known=(self.HOME,)))

    def test_requests_spread_over_the_other_zones(self):
        seen = {self.submit()[1] for _ in range(40)}
        self.assertEqual(set(ZONES[1:]), seen)

    def test_a_request_whose_caller_names_the_zone_is_refused(self):
        self.assertEqual([self.HOME], self.submit(body={"zone": self.HOME}))
        self.assert_refused_as_evacuated()

    def test_a_request_that_is_not_idempotent_is_refused_by_the_zone_of_its_key(self):
        for number in range(20):
            headers = {"idempotency-key": f"k-{number}"}
            self.assertEqual(1, len(self.submit(headers, idempotent=False, refusing=ZONES)))
            self.assert_refused_as_evacuated()

    def test_without_another_zone_it_is_refused(self):
        self.submit(known=ZONES, refusing=ZONES)
        self.assert_refused_as_evacuated()
        self.assertEqual([], self.zones.called)
        self.assertEqual(3, len(self.submit(refusing=ZONES)))
        self.assert_refused_as_evacuated()

    def test_a_zone_without_the_workers_for_it_is_passed_over(self):
        reasons = {"vestland_2": "infeasible", "vestland_3": "infeasible"}
        self.assertEqual(3, len(self.submit(**reasons)))
        self.assert_refused_as_evacuated()

    def test_another_refusal_of_the_home_zone_is_final(self):
        self.assertEqual([self.HOME], self.submit(refusing=(), vestland_1="infeasible"))
