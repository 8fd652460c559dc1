"""A process of agateferryd, controlled by signals to its process id."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from agateferry_standins.deployment.plan import HostPlan, record_pid

DAEMON_COMMAND = (sys.executable, "-m", "agateferry_service", "--config")
LOG_TAIL_LINES = 5


class DaemonProcess:
    """Start, stop and kill the daemon of one host, and send it signals."""

    def __init__(self, plan: HostPlan, command: tuple[str, ...] = DAEMON_COMMAND) -> None:
        self.plan = plan
        self._command = command
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the process id of the daemon that was started last."""
        if self._process is None:
            raise RuntimeError(f"{self.plan.name} was never started")
        return self._process.pid

    @property
    def running(self) -> bool:
        """Return whether the daemon was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the daemon; its folder and settings file must exist."""
        env = {**os.environ, "PYTHONPATH": os.pathsep.join(p for p in sys.path if p)}
        log = os.open(self.plan.log_file, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        try:
            self._process = await asyncio.create_subprocess_exec(
                *self._command, str(self.plan.settings_file), env=env, stdout=log, stderr=log
            )
        finally:
            os.close(log)
        record_pid(self.plan.folder.parent, self.pid)

    async def kill(self) -> None:
        """Kill the daemon with SIGKILL, as in a power failure, and wait for its exit."""
        if self.running:
            self.signal(signal.SIGKILL)
            await self._wait()

    async def terminate(self, timeout_s: float) -> int | None:
        """Request a graceful stop with SIGTERM; return the exit code, or None after `timeout_s`."""
        if not self.running:
            return self._process.returncode if self._process else 0
        self.signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self._wait(), timeout_s)
        except TimeoutError:
            return None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, such as SIGSTOP to freeze the daemon and SIGCONT to resume it."""
        os.kill(self.pid, number)

    def log_tail(self) -> str:
        """Return the last `LOG_TAIL_LINES` lines of the daemon's log."""
        lines = Path(self.plan.log_file).read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES:])

    async def _wait(self) -> int:
        assert self._process is not None
        return await self._process.wait()
