"""The replicated list of a zone's workers.

Only changes are commands of the cell's log: a worker that joins, starts anew, leaves or is lost.
Heartbeats are not; the leader keeps their times for itself. So every host, also one that comes to
lead a moment after a worker said that it leaves, knows which workers may be given work.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from agateferry_core.demand import Worker
from agateferry_service.rpc import commands_pb2 as pb


class WorkerState(StrEnum):
    """Say whether a worker may be given work."""

    SERVING = "serving"
    LEAVING = "leaving"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class RegisteredWorker:
    """A worker as it last announced itself, and whether it may be given work."""

    worker: Worker
    state: WorkerState


class WorkerRegistry:
    """Hold the zone's workers by name."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._workers: dict[str, RegisteredWorker] = {}

    def __iter__(self) -> Iterator[RegisteredWorker]:
        """Yield every worker, lost ones too."""
        return iter(self._workers.values())

    def get(self, name: str) -> RegisteredWorker | None:
        """Return a worker by name."""
        return self._workers.get(name)

    def change(self, command: pb.WorkerChanged) -> RegisteredWorker:
        """Apply one change and return the worker as it stands."""
        registered = RegisteredWorker(
            worker_from_pb(command, self._zone), WorkerState(command.state)
        )
        self._workers[command.name] = registered
        return registered

    def store(self) -> list[pb.WorkerChanged]:
        """Write all workers."""
        return [worker_to_pb(item.worker, item.state) for item in self._workers.values()]

    def load(self, stored: list[pb.WorkerChanged]) -> None:
        """Replace all workers by stored ones."""
        self._workers.clear()
        for message in stored:
            self.change(message)


def worker_to_pb(worker: Worker, state: WorkerState) -> pb.WorkerChanged:
    """Write a worker as a command."""
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
    """Read a worker from a command."""
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
