import shutil
import socket
import tempfile
from pathlib import Path

import testtools

from agateferry_service.settings import load_settings
from agateferry_standins.deployment.plan import (
    PlanError,
    check_ports,
    create_run_folder,
    make_plan,
    record_pid,
)
from agateferry_standins.deployment.samples import LAGERTELLER, PASS_SERVICE


def temporary_folder(test):
    folder = tempfile.mkdtemp()
    test.addCleanup(shutil.rmtree, folder)
    return Path(folder)


class PlanTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.folder = temporary_folder(self)
        self.plan = make_plan(LAGERTELLER.zones, self.folder / "run")

    def test_every_settings_file_is_valid(self):
        self.plan.write_settings()
        for host in self.plan.hosts:
            settings = load_settings(host.settings_file).ok
            self.assertEqual(host.zone, settings.host.zone)
            self.assertEqual(3, len(settings.zone_peers()))
            self.assertEqual(5, len(settings.records_voters()))

    def test_only_the_other_hosts_get_the_advertised_peers_address(self):
        first, second = self.plan.hosts[:2]
        plan = self.plan.with_advertised_peers(first.name, "127.0.0.1:9")
        plan.write_settings()
        own = load_settings(first.settings_file).ok
        other = load_settings(second.settings_file).ok
        self.assertEqual(first.peers, str(own.own_peer().peers))
        self.assertEqual("127.0.0.1:9", str(other.peers[0].peers))

    def test_the_error_of_a_port_in_use_names_it(self):
        with socket.socket() as sock:
            host, _, port = self.plan.hosts[4].peers.rpartition(":")
            sock.bind((host, int(port)))
            sock.listen()
            exc = self.assertRaises(PlanError, check_ports, self.plan)
            self.assertIn(self.plan.hosts[4].peers, str(exc))


class RunFolderTests(testtools.TestCase):
    def test_the_error_of_a_folder_of_an_earlier_run_names_it(self):
        folder = temporary_folder(self) / "run"
        create_run_folder(folder)
        record_pid(folder, 1)
        exc = self.assertRaises(PlanError, create_run_folder, folder)
        self.assertIn(str(folder), str(exc))
        self.assertNotIn("kill", str(exc))


class SampleTests(testtools.TestCase):
    def test_every_kind_has_its_job_and_its_team(self):
        for deployment in (LAGERTELLER, PASS_SERVICE):
            names = {(record.kind, record.name) for record in deployment.records}
            for kind in deployment.kinds:
                self.assertIn(("job", kind.job), names)
                self.assertIn(("team", kind.team), names)
