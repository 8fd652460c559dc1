import asyncio

import aiohttp
import testtools

from agateferry_core.support import run_async
from agateferry_scheduling.traces.records import read_trace
from agateferry_service.daemon.host import Host
from agateferry_service.daemon.tests.support import running_host

JSON = {"content-type": "application/json"}
QUICK = {"urgency": "urgent", "idempotent": True}


def run_on_host(work):
    async def main():
        async with running_host() as client:
            return await work(client)

    return run_async(main())


async def wait_until_in_force(client, job):
    """Wait until a job record is in force in the zone."""
    async with asyncio.timeout(10):
        while client.host.cell.ctx.catalog.job(job) is None:
            await asyncio.sleep(0.01)


async def put_team_and_job(client):
    """Store a team and a job, and wait until they are in force."""
    await client.put("team", "t", {})
    await client.put("job", "quick", QUICK)
    await wait_until_in_force(client, "quick")


async def submit_and_hold(client, wait_s):
    """Return the task of a submission that waits in the cell, as the only worker is leaving."""
    await put_team_and_job(client)
    await client.announce("w1", state="leaving")
    prefer = f"wait={wait_s}"
    pending_call = asyncio.create_task(client.submit({"team": "t", "job": "quick"}, Prefer=prefer))
    while not len(client.host.cell.ctx.machine.ledger):
        await asyncio.sleep(0.01)
    return pending_call


class BadInputTests(testtools.TestCase):
    def submit(self, **options):
        async def work(client):
            status, body, _ = await client.call("callers", "POST", "/v1/requests", **options)
            alive, _, _ = await client.call("operators", "GET", "/healthz")
            return status, body["reason"], body["run"], alive

        return run_on_host(work)

    def test_broken_json(self):
        self.assertEqual(
            (400, "broken-json", "not-run", 200), self.submit(data=b'{"team": ', headers=JSON)
        )

    def test_a_field_that_stands_twice(self):
        """The request of the last team was run."""
        twice = b'{"team": "a", "job": "j", "team": "b"}'
        self.assertEqual(
            (400, "broken-json", "not-run", 200), self.submit(data=twice, headers=JSON)
        )

    def test_an_unknown_field_is_named(self):
        document = {"team": "t", "job": "j", "colour": "red"}
        self.assertEqual((422, "invalid", "not-run", 200), self.submit(json=document))

    def test_a_body_over_the_limit(self):
        document = {"team": "t", "job": "j", "payload": "x" * 5000}
        self.assertEqual((413, "body-too-large", "not-run", 200), self.submit(json=document))

    def test_a_body_that_is_not_json(self):
        form = {"data": {"team": "t"}}
        self.assertEqual((415, "not-json", "not-run", 200), self.submit(**form))

    def test_huge_numbers(self):
        document = {"team": "t", "job": "j", "deadline_ms": 10**400}
        self.assertEqual((422, "invalid", "not-run", 200), self.submit(json=document))

    def test_an_unknown_schema_version(self):
        document = {"schema": "v9", "team": "t", "job": "j"}
        self.assertEqual((422, "invalid", "not-run", 200), self.submit(json=document))

    def test_a_demand_out_of_range(self):
        document = {"team": "t", "job": "j", "demand": {"members": 0}}
        self.assertEqual((422, "invalid", "not-run", 200), self.submit(json=document))

    def test_deep_nesting(self):
        self.assertEqual(
            (400, "broken-json", "not-run", 200),
            self.submit(data=b"[" * 2000 + b"]" * 2000, headers=JSON),
        )

    def test_a_slow_sender(self):
        async def slow():
            yield b'{"team"'
            await asyncio.sleep(2)

        self.assertEqual((408, "slow-body", "not-run", 200), self.submit(data=slow(), headers=JSON))

    def test_a_connection_whose_request_head_never_ends_is_closed(self):
        async def work(client):
            address = client.host.settings.listen.callers
            reader, writer = await asyncio.open_connection(address.ip, address.port)
            writer.write(b"POST /v1/requests HTTP/1.1\r\nHost: x\r\n")
            ended = await asyncio.wait_for(reader.read(), 10)
            writer.close()
            return ended

        self.assertEqual(b"", run_on_host(work))

    def test_an_unknown_zone(self):
        document = {"team": "t", "job": "j", "zone": "atlantis"}
        self.assertEqual((404, "unknown-zone", "not-run", 200), self.submit(json=document))

    def test_an_id_that_no_zone_issued(self):
        async def work(client):
            return (await client.call("callers", "GET", "/v1/requests/nonsense"))[0]

        self.assertEqual(404, run_on_host(work))


class RequestTests(testtools.TestCase):
    def test_a_request_is_accepted_returned_and_cancelled(self):
        async def work(client):
            await put_team_and_job(client)
            announce_status, _, _ = await client.announce("w1", state="leaving")
            status, body, headers = await client.submit({"team": "t", "job": "quick"})
            get_status, seen, _ = await client.call("callers", "GET", headers["Location"])
            cancel_status, ended, _ = await client.call("callers", "DELETE", headers["Location"])
            return (
                announce_status,
                status,
                body["state"],
                get_status,
                seen["id"] == body["id"],
                cancel_status,
                ended,
            )

        announce_status, status, state, get_status, same, cancel_status, ended = run_on_host(work)
        self.assertEqual(
            (200, 202, "accepted", 200, True, 200),
            (announce_status, status, state, get_status, same, cancel_status),
        )
        self.assertEqual(
            ("cancelled", "accepted", "not-run"), (ended["state"], ended["stage"], ended["run"])
        )

    def test_an_unknown_team_was_not_run(self):
        async def work(client):
            status, body, _ = await client.submit({"team": "nobody", "job": "quick"})
            return status, body["run"]

        self.assertEqual((403, "not-run"), run_on_host(work))

    def test_an_announcement_for_another_zone_is_misdirected(self):
        async def work(client):
            return (await client.announce("w1", zone="other"))[0]

        self.assertEqual(421, run_on_host(work))


class RecordingTests(testtools.TestCase):
    def test_scheduler_events_are_recorded_for_replay(self):
        async def work(client):
            await put_team_and_job(client)
            await client.announce("w1", state="leaving")
            _, body, _ = await client.submit({"team": "t", "job": "quick"})
            await client.call("callers", "DELETE", f"/v1/requests/{body['id']}")
            trace = client.host.settings.recording.trace_file
            return [type(record).__name__ for record in read_trace(trace)]

        names = run_on_host(work)
        self.assertEqual(["Submitted", "Cancelled"], names[-2:])
        self.assertIn("WorkerUp", names)


class MetricsTests(testtools.TestCase):
    def test_refusals_are_counted_by_reason_and_workers_by_state(self):
        async def work(client):
            await client.submit({"team": "nobody", "job": "quick"})
            url = f"http://{client.host.settings.listen.operators}/metrics"
            async with aiohttp.ClientSession() as session, session.get(url) as resp:
                return await resp.text()

        text = run_on_host(work)
        self.assertIn('agateferry_refusals_total{reason="unknown-team"} 1.0', text)
        self.assertIn('agateferry_workers{state="serving"} 0.0', text)
        self.assertIn("agateferry_sync_seconds_count", text)


class LongWaitTests(testtools.TestCase):
    def test_a_graceful_stop_replies_to_a_wait_that_is_longer_than_the_drain(self):
        async def work(client):
            pending_call = await submit_and_hold(client, 60)
            async with asyncio.timeout(20):
                await client.host.stop()
                status, body, headers = await pending_call
            return status, body["state"], headers["Location"].endswith(body["id"])

        self.assertEqual((202, "accepted", True), run_on_host(work))


class DataFolderTests(testtools.TestCase):
    def test_a_second_daemon_on_the_data_folder_does_not_start(self):
        async def work(client):
            second = Host(client.host.settings)
            try:
                await second.start()
            except OSError as exc:
                return str(exc)
            return "started"

        self.assertNotEqual("started", run_on_host(work))


class RecordTests(testtools.TestCase):
    def test_of_two_concurrent_puts_one_is_stored_and_the_other_gets_the_current_version(self):
        async def work(client):
            puts = (client.put("job", "quick", {**QUICK, "declared_run_ms": n}) for n in (1, 2))
            return await asyncio.gather(*puts)

        replies = run_on_host(work)
        self.assertEqual([200, 409], sorted(status for status, _, _ in replies))
        rejected = next(body for status, body, _ in replies if status == 409)
        stored = next(body for status, body, _ in replies if status == 200)
        self.assertEqual(stored["content"], rejected["current"]["content"])

    def test_a_repeated_put_gets_the_first_reply(self):
        async def work(client):
            first = await client.put("job", "quick", QUICK)
            again = await client.put("job", "quick", QUICK)
            return first[:2], again[:2]

        first, again = run_on_host(work)
        self.assertEqual((200, first), (first[0], again))

    def test_an_unknown_schema_is_refused(self):
        async def work(client):
            return (await client.put("job", "quick", QUICK, schema="v9"))[0]

        self.assertEqual(422, run_on_host(work))

    def test_a_record_is_written_in_one_schema_and_read_in_both(self):
        async def work(client):
            await client.put("job", "quick", {"urgent": True, "idempotent": True}, schema="v1")
            _, newer, _ = await client.call("operators", "GET", "/v1/records/job/quick?schema=v2")
            _, older, _ = await client.call("operators", "GET", "/v1/records/job/quick?schema=v1")
            return newer["content"]["urgency"], older["content"]["urgent"]

        self.assertEqual(("urgent", True), run_on_host(work))


class StopTests(testtools.TestCase):
    def test_a_graceful_stop_does_not_interrupt_a_held_request(self):
        async def work(client):
            pending_call = await submit_and_hold(client, 1)
            await client.host.stop()
            return (await pending_call)[0]

        self.assertIn(run_on_host(work), (200, 202))
