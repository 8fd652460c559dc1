"""The replicated registry of a zone's workers.

Only changes are commands of the cell's log: a worker joins, restarts, leaves or is lost. Heartbeats
are not stored; the leader keeps their times in memory. Because the changes are in the log, a host
that becomes leader right after a worker announced that it leaves gives that worker no new work.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from agateferry_core.demand import Worker
from agateferry_service.rpc import commands_pb2 as pb


class WorkerState(StrEnum):
    """The state of a worker; only a serving one gets new work."""

    SERVING = "serving"
    LEAVING = "leaving"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class RegisteredWorker:
    """A worker as it last announced itself, with its state."""

    worker: Worker
    state: WorkerState


class WorkerRegistry:
    """Hold the workers of a zone by name."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._workers: dict[str, RegisteredWorker] = {}

    def __iter__(self) -> Iterator[RegisteredWorker]:
        """Yield every worker, including lost ones."""
        return iter(self._workers.values())

    def get(self, name: str) -> RegisteredWorker | None:
        """Return the worker of a name, or None if it never joined."""
        return self._workers.get(name)

    def change(self, command: pb.WorkerChanged) -> RegisteredWorker:
        """Apply a committed change and return the changed worker."""
        registered = RegisteredWorker(
            worker_from_pb(command, self._zone), WorkerState(command.state)
        )
        self._workers[command.name] = registered
        return registered

    def store(self) -> list[pb.WorkerChanged]:
        """Return all workers in their stored form, for a snapshot."""
        return [
            worker_to_pb(registered.worker, registered.state)
            for registered in self._workers.values()
        ]

    def load(self, stored: list[pb.WorkerChanged]) -> None:
        """Replace all workers with those of a snapshot."""
        self._workers.clear()
        for message in stored:
            self.change(message)


def worker_to_pb(worker: Worker, state: WorkerState) -> pb.WorkerChanged:
    """Encode a worker and its state as a command."""
    return pb.WorkerChanged(
        name=worker.name,
        rack=worker.rack,
        accelerators=worker.accelerators,
        cpu_cores=worker.cpu_cores,
        memory_mb=worker.memory_mb,
        slots=worker.slots,
        address=worker.address,
        incarnation=worker.incarnation,
        state=state.value,
    )


def worker_from_pb(message: pb.WorkerChanged, zone: str) -> Worker:
    """Decode the worker of a command."""
    return Worker(
        name=message.name,
        zone=zone,
        rack=message.rack,
        accelerators=message.accelerators,
        cpu_cores=message.cpu_cores,
        memory_mb=message.memory_mb,
        slots=message.slots,
        address=message.address,
        incarnation=message.incarnation,
    )
