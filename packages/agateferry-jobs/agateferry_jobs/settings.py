"""The settings of one process, which `agateferry_platform` reads from the platform's file."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from agateferry_jobs.start_budget import (
    DEFAULT_START_MS,
    DEFAULT_STOP_MS,
    StartBudget,
)

ORDER_DELAY_MS = 1_500
"""How long a report may be on its way, and then a start order until the worker begins."""
START_SHARE_OF_EVACUATION = 0.9
"""The share of `evacuation_ms` within which a worker may begin a run that was ordered.

The rest covers a worker's clock that is 2 % slow, the age of its last reading, and the margin.
"""


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """Time limits of the platform.

    `grace_ms` is the time from the signal to stop to the kill, `max_lease_ms` the longest lease of
    a worker. A worker's capacity that has shrunk counts `contact_ms` and one `heartbeat_ms` later.
    Nothing starts in an evacuated zone from `evacuation_ms` after the acknowledgement on; this is
    None where zones are never evacuated. Urgent work within its team's guarantee begins within
    `reclaim_ms`, and a worker takes up to `stop_timeout_ms` to stop a run; None where the platform
    does not say. The next host of the cell may be lost `catch_up_ms` after the last one was back or
    its successor was started.
    """

    grace_ms: int = 6000
    max_lease_ms: int = 10_000
    contact_ms: int = 3_000
    heartbeat_ms: int = 1_500
    evacuation_ms: int | None = None
    reclaim_ms: int | None = None
    stop_timeout_ms: int | None = None
    catch_up_ms: int | None = None

    @property
    def start_budget(self) -> StartBudget:
        """Return how guaranteed work divides the time in which it has to begin."""
        return StartBudget(
            DEFAULT_START_MS if self.reclaim_ms is None else self.reclaim_ms,
            DEFAULT_STOP_MS if self.stop_timeout_ms is None else self.stop_timeout_ms,
        )

    @property
    def max_start_ms(self) -> int | None:
        """Return how long after a start order was sent its worker may begin the run, if limited."""
        if self.evacuation_ms is None:
            return None
        return round(self.evacuation_ms * START_SHARE_OF_EVACUATION)

    @property
    def max_report_age_ms(self) -> int:
        """Return how old a worker's last report may be for a start by what it shows."""
        return max(self.heartbeat_ms, self.contact_ms + self.heartbeat_ms - ORDER_DELAY_MS)


DEFAULT_MEMORY_MB = 512
"""The memory that is assumed of a machine whose settings do not tell."""
CELL_MEMORY_MB = 100
"""What a host of the cell needs besides the jobs, the log and its clients; at rest it has 65 MB."""


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """What a process may use of its machine; None where the platform does not say.

    A process that uses more than `memory_mb` is killed. Of the descriptors, some are not for
    sockets, pipes and data files.
    """

    memory_mb: int | None = None
    max_fds: int | None = None


@dataclass(frozen=True, slots=True)
class HostSettings:
    """The names, listening addresses and time limits of one process.

    Hosts are identified by their IP. `seeds` are the hosts of the cell that were known when the
    settings were written. With `may_bootstrap` the host may form a new cell. `data_folder` is None
    on a host without a disk. `front`, `readiness` and `control` are `ip:port` addresses, None if
    this role does not serve them. `machine` has the limits of the process's machine. `zones` maps
    each zone that may be evacuated to its region.
    """

    node: str
    zone: str
    ip: str
    internal_port: int
    seeds: tuple[str, ...]
    may_bootstrap: bool
    data_folder: Path | None
    front: str | None
    readiness: str | None
    control: str | None
    metrics_port: int
    bounds: TimeLimits = TimeLimits()
    machine: MachineLimits = MachineLimits()
    zones: Mapping[str, str] = field(default_factory=dict)

    @property
    def internal_address(self) -> str:
        """Return the address for calls between hosts, as `ip:port`."""
        return f"{self.ip}:{self.internal_port}"
