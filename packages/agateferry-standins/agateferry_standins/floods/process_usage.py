"""The memory and descriptors of running processes, and their highest values."""

import re
import threading
from dataclasses import dataclass
from pathlib import Path

SAMPLE_INTERVAL_S = 0.05
KB_PER_MB = 1024
PEAK_MEMORY = re.compile(r"^VmHWM:\s+(\d+) kB", re.MULTILINE)


@dataclass(slots=True)
class ProcessUsage:
    """The highest memory in MB, and the highest numbers of descriptors and of sockets and pipes."""

    memory_mb: float = 0.0
    descriptors: int = 0
    channels: int = 0


class UsageMonitor:
    """Sample the descriptors of processes in a thread; the kernel keeps their highest memory.

    `usage` has the values by the names that the processes were given. A process that has ended
    keeps its last values.
    """

    def __init__(self, pids: dict[str, int]) -> None:
        self._pids = pids
        self.usage = {name: ProcessUsage() for name in pids}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to sample."""
        self._thread.start()

    def stop(self) -> None:
        """Sample a last time and stop."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        is_last = False
        while not is_last:
            is_last = self._stopped.wait(SAMPLE_INTERVAL_S)
            for name, pid in self._pids.items():
                self._sample(self.usage[name], Path(f"/proc/{pid}"))

    def _sample(self, usage: ProcessUsage, folder: Path) -> None:
        try:
            peak = PEAK_MEMORY.search((folder / "status").read_text())
            targets = [_target(link) for link in (folder / "fd").iterdir()]
        except OSError:
            return
        if peak is not None:
            usage.memory_mb = max(usage.memory_mb, int(peak[1]) / KB_PER_MB)
        channels = sum(target.startswith(("socket:", "pipe:")) for target in targets)
        usage.descriptors = max(usage.descriptors, len(targets))
        usage.channels = max(usage.channels, channels)


def _target(link: Path) -> str:
    """Return what a descriptor refers to; empty if it was closed meanwhile."""
    try:
        return str(link.readlink())
    except OSError:
        return ""
