import json
from types import SimpleNamespace

import testtools
from starlette.requests import Request

from agateferry_core.metrics import Metrics
from agateferry_core.support import run_async
from agateferry_service.cell.catalog import Catalog
from agateferry_service.entry.app import CallersApp
from agateferry_service.entry.home_zone import home_zone
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_state.records import JobRecord, Kind, RecordStore, Revision, Schema

ZONES = ("vestland-1", "vestland-2", "vestland-3")
TEAM, JOB = "desk", "label"
LIMITS = SimpleNamespace(max_body_bytes=10_000, request_body_timeout_ms=1_000, max_wait_ms=1_000)


class RecordingZones:
    """Record the zones that get submissions; every call is refused."""

    names = ZONES

    def __init__(self):
        self.called = []

    def router(self, zone):
        async def call(*_):
            self.called.append(zone)
            return pb.RequestReply(refusal=pb.Refusal(reason="unavailable"))

        return SimpleNamespace(call=call)


def submit(records, local, headers, body=None):
    """Submit one request through a host of zone `local`, and return the zone that was called."""
    zones = RecordingZones()
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

    run_async(app.submit(Request(scope, receive)))
    return zones.called


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
