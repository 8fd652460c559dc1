"""The manifest in force, as the rest of the product reads it."""

from msgspec import Struct


class Queue(Struct, frozen=True):
    """A place where callers hand jobs in, and the service whose workers run them.

    `timeout_ms` bounds a caller's call, `target_ms` is the wait that its callers are promised, and
    `stretch` how many times the job's own length they accept.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int
    target_ms: float = 0.0
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    is_public: bool = False
    needs_ticket: bool = False


class Service(Struct, frozen=True):
    """A pool of workers; `guards_capacity` says that they refuse what does not fit."""

    name: str
    max_connections: int = 0
    guards_capacity: bool = False
    is_standby: bool = False


class Team(Struct, frozen=True):
    """A team, the keys that speak for it, and the accelerators that it can always take back."""

    name: str
    keys: tuple[str, ...] = ()
    priority: int = 0
    reserved_gpus: int = 0


class Manifest(Struct, frozen=True):
    """One version of the manifest; `source` is what the operator sent, byte for byte."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    source: bytes = b""

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue of this host with the longest prefix that the path begins with."""
        fitting = [q for q in self.queues if q.host == host and path.startswith(q.prefix)]
        return max(fitting, key=lambda q: len(q.prefix), default=None)

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue of this name."""
        return next((q for q in self.queues if q.name == name), None)

    def team_of(self, key: str) -> Team | None:
        """Return the team that a key speaks for."""
        return next((t for t in self.teams if key in t.keys), None)

    def team_named(self, name: str) -> Team | None:
        """Return the team of this name."""
        return next((t for t in self.teams if t.name == name), None)
