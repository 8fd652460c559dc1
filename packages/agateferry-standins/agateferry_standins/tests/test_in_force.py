import signal
from pathlib import Path
from unittest import mock

import testtools

from agateferry_core.support import run_async
from agateferry_standins import in_force
from agateferry_standins.deployment import make_plan

ZONES = ("a", "b", "c")
LOOKS_BEHIND = 3


class FakeOperator:
    """Accept puts, and show a revision on a host after a few looks, but not on a frozen one."""

    def __init__(self, system):
        self.system = system
        self.newest = 0
        self.looks = {}

    async def call(self, method, path, body=None, address=""):
        if address in self.system.frozen:
            return 0, {}
        if method == "PUT":
            self.newest += 1
            self.looks = {}
            return 200, {"revision": self.newest}
        self.looks[address] = self.looks.get(address, 0) + 1
        behind = self.looks[address] < LOOKS_BEHIND
        return 200, {"records": {"revision": self.newest - behind or None}}


class FakeSystem:
    def __init__(self):
        self.plan = make_plan(ZONES, Path("none"))
        self.operator = FakeOperator(self)
        self.frozen = set()
        self.daemons = {host.name: self.daemon(host) for host in self.plan.hosts}

    def daemon(self, host):
        changes = {signal.SIGSTOP: self.freeze, signal.SIGCONT: self.thaw}
        return mock.Mock(signal=lambda number: changes[number](host))

    def freeze(self, host):
        self.frozen.add(host.operators)

    def thaw(self, host):
        self.frozen.remove(host.operators)


class InForceTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        for name, value in (("PUTS", 3), ("FROZEN_S", 0)):
            patch = mock.patch.object(in_force, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.system = FakeSystem()
        self.measured = in_force.InForce(self.system)

    def test_waits_until_every_host_has_the_revision(self):
        accepted, spread = run_async(self.measured.steady())
        self.assertEqual((3, 3, 3), (len(accepted), len(spread), self.system.operator.newest))
        looks = self.system.operator.looks
        self.assertEqual((9, LOOKS_BEHIND), (len(looks), min(looks.values())))

    def test_a_frozen_zone_is_woken_after_the_others_have_it(self):
        times = run_async(self.measured.with_frozen_zone("b"))
        self.assertEqual((3, set()), (len(times), self.system.frozen))
        hosts = {host.operators for host in self.system.plan.hosts}
        self.assertEqual(hosts, set(self.system.operator.looks))
