"""The address of a port; in a module of its own, so that a server needs no settings."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port, written `ip:port`, with an IPv6 address in brackets."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the address as `ip:port`."""
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"
