"""The manifest in force, independent of the format in which operators send it."""

from functools import cached_property

from msgspec import Struct


class Queue(Struct, frozen=True):
    """A queue that callers submit jobs to, and the service whose workers run them.

    `timeout_ms` limits a caller's call. The objective of a job is the time that its callers accept:
    `stretch` times its own duration, plus `target_ms`, the wait that they are promised. Only
    workers in one of `allowed_regions` run its jobs; empty allows all.
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
    allowed_regions: tuple[str, ...] = ()

    def has_path(self, host: str, path: str) -> bool:
        """Return whether an address is below this queue's host and prefix."""
        return self.host == host and path.startswith(self.prefix)


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


class Manifest(Struct, frozen=True, dict=True):
    """One version of the manifest; `source` holds the exact bytes that the operator sent.

    A manifest can have thousands of queues, so it is searched through indexes.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    source: bytes = b""

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue of this host with the longest matching path prefix."""
        matching = [q for q in self._queues_by_host.get(host, ()) if q.has_path(host, path)]
        return max(matching, key=lambda q: len(q.prefix), default=None)

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue with this name."""
        return self._queues_by_name.get(name)

    def queue_of_job(self, name: str, host: str, path: str) -> Queue | None:
        """Return the queue of a job that was accepted as one of queue `name`, None if it has none.

        That is the one at the job's address. A job of a version that stored no address has the
        queue of that name.
        """
        named = self._queues_by_name.get(name)
        if not path or (named is not None and named.has_path(host, path)):
            return named
        address = (host, path)
        if address not in self._queues_by_address:
            self._queues_by_address[address] = self.queue_for(host, path)
        return self._queues_by_address[address]

    def team_of(self, key: str) -> Team | None:
        """Return the team that an API key belongs to."""
        return self._teams_by_key.get(key)

    def team_named(self, name: str) -> Team | None:
        """Return the team with this name."""
        return self._teams_by_name.get(name)

    @cached_property
    def _queues_by_host(self) -> dict[str, list[Queue]]:
        by_host: dict[str, list[Queue]] = {}
        for queue in self.queues:
            by_host.setdefault(queue.host, []).append(queue)
        return by_host

    @cached_property
    def _queues_by_address(self) -> dict[tuple[str, str], Queue | None]:
        """The queues that were found for jobs whose queue was renamed, moved or removed."""
        return {}

    @cached_property
    def _queues_by_name(self) -> dict[str, Queue]:
        """The first queue of each name."""
        return {queue.name: queue for queue in reversed(self.queues)}

    @cached_property
    def _teams_by_key(self) -> dict[str, Team]:
        return {key: team for team in reversed(self.teams) for key in team.keys}

    @cached_property
    def _teams_by_name(self) -> dict[str, Team]:
        return {team.name: team for team in reversed(self.teams)}
