import signal
from pathlib import Path
from unittest import mock

import testtools

from agateferry_core.support import run_async
from agateferry_standins import in_force
from agateferry_standins.deployment import make_plan

ZONES = ("a", "b", "c")
POLLS_BEHIND = 3


class FakeOperator:
    """Accept puts, and report a revision on a host from its third poll on, unless it is frozen."""

    def __init__(self, system):
        self.system = system
        self.newest = 0
        self.polls = {}

    async def call(self, method, path, body=None, address=""):
        if address in self.system.frozen:
            return 0, {}
        if method == "PUT":
            self.newest += 1
            self.polls = {}
            return 200, {"revision": self.newest}
        self.polls[address] = self.polls.get(address, 0) + 1
        behind = self.polls[address] < POLLS_BEHIND
        return 200, {"records": {"revision": self.newest - behind or None}}


class FakeSystem:
    def __init__(self):
        self.plan = make_plan(ZONES, Path("none"))
        self.operator = FakeOperator(self)
        self.frozen = set()
        self.daemons = {host.name: self.daemon(host) for host in self.plan.hosts}

    def daemon(self, host):
        changes = {signal.SIGSTOP: self.freeze, signal.SIGCONT: self.resume}
        return mock.Mock(signal=lambda number: changes[number](host))

    def freeze(self, host):
        self.frozen.add(host.operators)

    def resume(self, host):
        self.frozen.remove(host.operators)


class InForceTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        for name, value in (("PUT_COUNT", 3), ("FREEZE_BEFORE_PUT_S", 0)):
            patch = mock.patch.object(in_force, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.system = FakeSystem()
        self.measurement = in_force.PropagationMeasurement(self.system)

    def test_waits_until_every_host_has_the_revision(self):
        accepted, in_force_ms = run_async(self.measurement.measure_steady())
        self.assertEqual((3, 3, 3), (len(accepted), len(in_force_ms), self.system.operator.newest))
        polls = self.system.operator.polls
        self.assertEqual((9, POLLS_BEHIND), (len(polls), min(polls.values())))

    def test_a_frozen_zone_is_resumed_after_the_others_have_the_revision(self):
        times = run_async(self.measurement.measure_with_frozen_zone("b"))
        self.assertEqual((3, set()), (len(times), self.system.frozen))
        hosts = {host.operators for host in self.system.plan.hosts}
        self.assertEqual(hosts, set(self.system.operator.polls))
