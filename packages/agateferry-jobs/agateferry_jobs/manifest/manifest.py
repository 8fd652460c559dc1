"""The manifest in force, independent of the format in which operators send it."""

from msgspec import Struct


class Queue(Struct, frozen=True):
    """A queue that callers submit jobs to, and the service whose workers run them.

    `timeout_ms` limits a caller's call. The objective of a job is the time that its callers accept:
    `stretch` times its own duration, plus `target_ms`, the wait that they are promised.
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
    """A pool of workers; with `guards_capacity` they refuse runs that exceed their capacity."""

    name: str
    max_connections: int = 0
    guards_capacity: bool = False
    is_standby: bool = False


class Team(Struct, frozen=True):
    """A team, its API keys, and `reserved_gpus`, the accelerators that it has a guarantee for."""

    name: str
    keys: tuple[str, ...] = ()
    priority: int = 0
    reserved_gpus: int = 0


class Manifest(Struct, frozen=True):
    """One version of the manifest; `source` holds the exact bytes that the operator sent."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    source: bytes = b""

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue of this host with the longest matching path prefix."""
        matching = [q for q in self.queues if q.host == host and path.startswith(q.prefix)]
        return max(matching, key=lambda q: len(q.prefix), default=None)

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue with this name."""
        return next((q for q in self.queues if q.name == name), None)

    def team_of(self, key: str) -> Team | None:
        """Return the team that an API key belongs to."""
        return next((t for t in self.teams if key in t.keys), None)

    def team_named(self, name: str) -> Team | None:
        """Return the team with this name."""
        return next((t for t in self.teams if t.name == name), None)
