"""Measure what an idle entry and the leader use on loopback, against their budgets.

One host of a cell and `ENTRIES` entries run as on the platform. Prints `budget NAME value limit`:
the processor time of an entry's start in seconds, the share of a core that an idle entry uses, its
private memory in MB, and the share of a core that the leader uses while all are idle.
"""

import json
import os
import re
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from agateferry_core.support import free_port
from agateferry_standins.budget import cpu_seconds

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "platform" / "agateferryd.py"
LEADER_IP = "127.0.1.1"
ENTRIES = 6
START_S = 5.0
WINDOW_S = 15.0
KB_PER_MB = 1024
LIMITS = {
    "entry-start-s": 0.39,
    "entry-idle-cores": 0.008,
    "entry-private-mb": 33.0,
    "leader-idle-cores": 0.025,
}


@dataclass
class RoleProcesses:
    """The processes of one cell host and its entries, with their settings in one folder."""

    folder: Path
    port: int = field(default_factory=free_port)
    running: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def start(self, role: str, ip: str) -> None:
        """Start one role on an address of its own."""
        settings = {
            "nodeName": ip,
            "ip": ip,
            "zone": "a",
            "endpoints": {
                "front": f"{ip}:{self.port + 11}",
                "readinessAddr": f"{ip}:{self.port + 12}",
                "control": f"{ip}:{self.port + 13}",
            },
            "internalPortRange": [self.port, self.port + 10],
            "seeds": [f"{LEADER_IP}:{self.port + 13}"],
            "bootstrap": True,
            "dataDir": str(self.folder / "data") if role == "cell" else None,
        }
        path = self.folder / f"{ip}.yaml"
        path.write_text(json.dumps(settings))
        with (self.folder / f"{ip}.log").open("wb") as log:
            env = os.environ | {"AGATEFERRY_CONFIG": str(path)}
            args = [sys.executable, str(PROGRAM), role]
            self.running.append(subprocess.Popen(args, env=env, stdout=log, stderr=log))

    def cpu_s(self) -> list[float]:
        """Return the processor time of each process since its start, the leader's first."""
        stats = [Path(f"/proc/{each.pid}/stat") for each in self.running]
        return [cpu_seconds(stat.read_text()) for stat in stats]

    def stop(self) -> None:
        """Stop all processes and wait for their ends."""
        for each in self.running:
            each.terminate()
        for each in self.running:
            each.wait()


def private_mb(pid: int) -> float:
    """Return the memory of a process that it shares with no other, in MB."""
    rollup = Path(f"/proc/{pid}/smaps_rollup").read_text()
    return sum(int(kb) for kb in re.findall(r"^Private_\w+:\s+(\d+)", rollup, re.M)) / KB_PER_MB


def measure(processes: RoleProcesses) -> dict[str, float]:
    """Return the figures by name."""
    processes.start("cell", LEADER_IP)
    time.sleep(START_S)
    for number in range(ENTRIES):
        processes.start("entry", f"127.0.2.{number + 1}")
    time.sleep(START_S)
    before = processes.cpu_s()
    time.sleep(WINDOW_S)
    used = [after - at for after, at in zip(processes.cpu_s(), before, strict=True)]
    return {
        "entry-start-s": max(before[1:]),
        "entry-idle-cores": max(used[1:]) / WINDOW_S,
        "entry-private-mb": max(private_mb(each.pid) for each in processes.running[1:]),
        "leader-idle-cores": used[0] / WINDOW_S,
    }


def main() -> int:
    """Print the figures; return 1 if one exceeds its limit."""
    with tempfile.TemporaryDirectory(prefix="agateferry-roles-") as folder:
        processes = RoleProcesses(Path(folder))
        try:
            figures = measure(processes)
        finally:
            processes.stop()
    for name, value in figures.items():
        print(f"budget {name} {value:.4f} {LIMITS[name]}")
    return 0 if all(value <= LIMITS[name] for name, value in figures.items()) else 1


if __name__ == "__main__":
    sys.exit(main())
