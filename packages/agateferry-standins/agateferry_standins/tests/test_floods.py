"""Floods of requests that are legal one by one, against the ports of a daemon."""

import json

import pytest

from agateferry_standins.floods import Flood, UsageMonitor, chunked, with_length
from agateferry_standins.tests.support import RUN_ONCE, SystemTestCase

MEMORY_MB = 256
"""The memory of the machine of each daemon in these tests."""
BODY_BYTES = 1_048_576
"""The default of `limits.max_body_bytes`."""
CONNECTIONS = 300
SUBMISSIONS = 200
OPERATORS = 90
"""Below the default of `limits.max_connections_operators`."""
HEADERS = {"Host": "host", "Content-Type": "application/json"}
REQUESTS_AFTER_IT = 3


def large_body():
    body = {"team": "load-desk", "job": "load-reconcile", "payload": ""}
    filler = "x" * (BODY_BYTES - len(json.dumps(body)))
    return json.dumps({**body, "payload": filler}).encode()


@pytest.mark.flood
class DaemonFloodTests(SystemTestCase):
    """Large bodies to one daemon do not fill its memory, and callers are answered meanwhile."""

    def survive(self, port, make_request, count):
        async def test():
            pids = {name: daemon.pid for name, daemon in self.system.daemons.items()}
            monitor = UsageMonitor(pids)
            monitor.start()
            requests = [make_request(number) for number in range(count)]
            flood = Flood(getattr(self.plan.hosts[0], port), requests)
            try:
                await flood.send()
                await self.send((RUN_ONCE,), REQUESTS_AFTER_IT)
            finally:
                await flood.close()
                monitor.stop()
            self.check(pids, monitor.usage)

        self.run_on_system(test)

    def check(self, pids, usage):
        running = {name: each.pid for name, each in self.system.daemons.items() if each.running}
        self.assertEqual(pids, running)
        over = {name: used for name, used in usage.items() if used.memory_mb > MEMORY_MB}
        self.assertEqual({}, over)
        self.assert_clean()
        self.assertEqual(REQUESTS_AFTER_IT, self.tally.accepted_count())

    def unfinished(self, method, path):
        return lambda _: with_length(method, path, HEADERS, large_body(), missing_bytes=1)

    def test_unfinished_submissions(self):
        self.survive("callers", self.unfinished("POST", "/v1/requests"), CONNECTIONS)

    def test_unfinished_chunked_submissions(self):
        def request(_):
            return chunked("POST", "/v1/requests", HEADERS, large_body(), is_ended=False)

        self.survive("callers", request, CONNECTIONS)

    def test_whole_submissions(self):
        """What was accepted is kept on the hosts of the zone, also after its caller has gone."""

        def request(number):
            headers = HEADERS | {"Idempotency-Key": f"flood-{number}"}
            return with_length("POST", "/v1/requests", headers, large_body())

        self.survive("callers", request, SUBMISSIONS)

    def test_unfinished_heartbeats_of_workers(self):
        self.survive(
            "endpoints", self.unfinished("POST", "/v1/endpoints/w-1/announce"), CONNECTIONS
        )

    def test_unfinished_records_of_operators(self):
        self.survive("operators", self.unfinished("PUT", "/v1/records/team/team-1"), OPERATORS)
