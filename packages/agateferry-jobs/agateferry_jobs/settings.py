"""What one process needs to know to run; the platform's own format is read at the border."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """Times in ms: from a stop's signal to the kill, and the longest lease of a worker."""

    grace_ms: int = 6000
    max_lease_ms: int = 10_000


@dataclass(frozen=True, slots=True)
class HostSettings:
    """One process of the system: who it is, where it listens and whom it knows.

    Hosts are named by their IP. `seeds` are hosts of the cell as they were known when the settings
    were written. `folder` is None on a host without a disk. Addresses are `ip:port`; those that
    this role does not serve are None.
    """

    node: str
    zone: str
    ip: str
    internal_port: int
    seeds: tuple[str, ...]
    may_bootstrap: bool
    folder: Path | None
    front: str | None
    readiness: str | None
    control: str | None
    metrics_port: int
    bounds: TimeLimits = TimeLimits()

    @property
    def internal_address(self) -> str:
        """Return where other hosts reach this one."""
        return f"{self.ip}:{self.internal_port}"
