import contextlib
import io
import json
import os
import re
import shlex
import subprocess
import sys
import tempfile
import urllib.error
import urllib.request
from pathlib import Path
from unittest import mock

import pytest
import testtools

from agateferry_cli.client import ExitCode
from agateferry_cli.main import main
from agateferry_core.support import free_port, wait_until

PAGE = Path(__file__).resolve().parents[4] / "docs" / "quickstart.md"
PORTS = ("7401", "7402", "7403", "7404", "7501")
STOP_TIMEOUT_S = 40
COMMAND_STARTS = ("agateferry ", "echo ")
COMMANDS_HEADING = "## 2."
STATUS = "agateferry records status"
RECORDS = 2


@pytest.mark.process
class QuickstartTests(testtools.TestCase):
    """Run the settings and commands of the quickstart page in their order, on free ports."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(os.chdir, Path.cwd())
        os.chdir(folder.name)
        self.text = PAGE.read_text(encoding="utf-8")
        self.ports = {port: str(free_port()) for port in PORTS}
        for port, free in self.ports.items():
            self.text = self.text.replace(f":{port}", f":{free}").replace(
                f"port = {port}", f"port = {free}"
            )
        host, workers = re.findall(r"```toml\n(.*?)```", self.text, re.DOTALL)
        Path("host.toml").write_text(host, encoding="utf-8")
        Path("workers.toml").write_text(workers, encoding="utf-8")
        addresses = {
            "AGATEFERRY_CALLERS": f"127.0.0.1:{self.ports['7401']}",
            "AGATEFERRY_OPERATORS": f"127.0.0.1:{self.ports['7402']}",
        }
        environ = mock.patch.dict(os.environ, addresses)
        environ.start()
        self.addCleanup(environ.stop)

    def test_the_commands_of_the_page_succeed(self):
        checked = self.verb("agateferry check-config host.toml")
        self.assertEqual(ExitCode.OK, checked[0])
        daemon = self.start("agateferry_service", "host.toml")
        wait_until(self.is_ready, "the daemon to be ready")
        worker = self.start("agateferry_standins.worker", "workers.toml")
        wait_until(self.has_worker, "the worker to announce itself")
        request_id = "none"
        for line in self.commands():
            code, out = self.command(line.replace(" ID", f" {request_id}"))
            self.assertEqual(ExitCode.OK, code, line)
            if line == STATUS:
                wait_until(self.is_in_force, "the records to be in force")
            if " submit " in line:
                request_id = re.search(r"^id +(\S+)$", out, re.MULTILINE).group(1)
        worker.terminate()
        daemon.terminate()
        self.assertEqual(0, daemon.wait(STOP_TIMEOUT_S))

    def commands(self):
        body = self.text[self.text.index(COMMANDS_HEADING) :]
        lines = [line.strip() for line in body.splitlines() if line.startswith("    ")]
        commands = [line for line in lines if line.startswith(COMMAND_STARTS)]
        self.assertGreater(len(commands), 10)
        return commands

    def command(self, line):
        if line.startswith("echo "):
            words = shlex.split(line)
            Path(words[-1]).write_text(words[1], encoding="utf-8")
            return ExitCode.OK, ""
        return self.verb(line)

    def verb(self, line):
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = main(shlex.split(line)[1:])
        return code, out.getvalue()

    def start(self, module, config):
        environ = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
        argv = [sys.executable, "-m", module, "--config", config]
        process = subprocess.Popen(argv, env=environ, stderr=subprocess.DEVNULL)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def is_ready(self):
        url = f"http://127.0.0.1:{self.ports['7402']}/readyz"
        with contextlib.suppress(OSError, urllib.error.URLError):
            return urllib.request.urlopen(url, timeout=1).status == 200
        return False

    def is_in_force(self):
        _, out = self.verb(f"{STATUS} --json")
        return all(host["revision"] == RECORDS for host in json.loads(out)["hosts"])

    def has_worker(self):
        code, out = self.verb("agateferry workers --json")
        return code == ExitCode.OK and bool(json.loads(out)["workers"])
