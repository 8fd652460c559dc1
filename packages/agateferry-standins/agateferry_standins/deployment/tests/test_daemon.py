import shutil
import signal
import sys
import tempfile
from functools import partial
from pathlib import Path

import testtools

from agateferry_core.support import run_async
from agateferry_standins.deployment.daemon import DaemonProcess
from agateferry_standins.deployment.plan import PIDS_FILE, make_plan
from agateferry_standins.deployment.system import wait_for

SCRIPT = """
import signal, sys, time
signal.signal(signal.SIGTERM, lambda *rest: sys.exit(0))
print("up", flush=True)
time.sleep(60)
"""


class DaemonProcessTests(testtools.TestCase):
    def with_daemon(self, test):
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        plan = make_plan(("z1",), folder / "run")
        plan.write_settings()
        self.run_folder = plan.folder

        async def main():
            daemon = DaemonProcess(plan.hosts[0], (sys.executable, "-c", SCRIPT))
            await daemon.start()
            try:
                await wait_for(partial(self.is_up, daemon), "the script to be up")
                await test(daemon)
            finally:
                await daemon.kill()

        run_async(main(), 20)

    async def is_up(self, daemon):
        return "up" in daemon.log_tail()

    def test_a_graceful_stop_returns_the_exit_code(self):
        async def test(daemon):
            self.assertTrue(daemon.running)
            self.assertEqual(0, await daemon.terminate(10))
            self.assertFalse(daemon.running)

        self.with_daemon(test)

    def test_a_kill_ends_a_frozen_daemon(self):
        async def test(daemon):
            daemon.signal(signal.SIGSTOP)
            self.assertIsNone(await daemon.terminate(0.05))
            await daemon.kill()
            self.assertFalse(daemon.running)

        self.with_daemon(test)

    def test_its_process_id_is_recorded(self):
        async def test(daemon):
            recorded = (self.run_folder / PIDS_FILE).read_text().split()
            self.assertEqual([str(daemon.pid)], recorded)

        self.with_daemon(test)
