import shutil
import socket
import sys
import tempfile
from pathlib import Path

import testtools

from agateferry_standins import demo
from agateferry_standins.deployment.ports import ReservedPorts


class DemoTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.parent = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.parent)
        self.progress_lines = []
        self.patch(demo, "print_progress", self.progress_lines.append)

    def run_demo(self, base_port):
        arguments = ["demo", "--folder", str(self.parent / "run"), "--base-port", str(base_port)]
        self.patch(sys, "argv", arguments)
        return demo.main()

    def test_an_old_run_left_over_is_a_clear_error(self):
        (self.parent / "run").mkdir()
        self.assertEqual(demo.EXIT_NOT_STARTED, self.run_demo(ReservedPorts(1).numbers[0]))
        self.assertIn("an earlier run left", self.progress_lines[-1])
        self.assertTrue((self.parent / "run").exists())

    def test_a_port_in_use_is_a_clear_error(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            sock.listen()
            port = sock.getsockname()[1]
            self.assertEqual(demo.EXIT_NOT_STARTED, self.run_demo(port))
        self.assertIn(f"127.0.0.1:{port}", self.progress_lines[-1])
        self.assertFalse((self.parent / "run").exists())
