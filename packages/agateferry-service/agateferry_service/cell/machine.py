"""The state machine of one availability zone's cell."""

from collections.abc import Callable
from typing import Any

from agateferry_core.logs import EventLogger
from agateferry_service.cell import events
from agateferry_service.cell.catalog import Catalog
from agateferry_service.endpoints.registry import WorkerRegistry
from agateferry_service.requests.ledger import Ledger
from agateferry_service.rpc import commands_pb2 as pb
from agateferry_state.records import RecordStore, decode_revisions
from agateferry_state.replica import NotApplied


class CellMachine:
    """Apply the cell's commands to the ledger, the registry and the zone's copy of the records.

    `listeners` are called on every host after each command, with the command and its result.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.ledger = Ledger()
        self.registry = WorkerRegistry(zone)
        self.records = RecordStore()
        self._log = EventLogger(zone=zone)
        self.listeners: list[Callable[[pb.Command, Any], None]] = []

    @property
    def catalog(self) -> Catalog:
        """Return the records in force in this zone."""
        return Catalog(self.records, self.zone)

    def apply(self, index: int, command: bytes) -> Any:
        """Apply one command and return its result, or `NotApplied` after an unexpected error.

        A command of an unknown kind still raises: it is of a newer build, and a replica that
        skipped it would show an older state than what was acknowledged.
        """
        message = pb.Command.FromString(command)
        result = self._apply_or_skip(index, message)
        if isinstance(result, NotApplied):
            return result
        for listener in self.listeners:
            listener(message, result)
        return result

    def snapshot(self) -> bytes:
        """Return the whole state as one serialized message."""
        stored = pb.StoredCell(
            requests=self.ledger.store(),
            workers=self.registry.store(),
            records=self.records.snapshot(),
        )
        return stored.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Replace the whole state with a snapshot."""
        stored = pb.StoredCell.FromString(data)
        self.ledger.load(stored.requests)
        self.registry.load(list(stored.workers))
        self.records.restore(stored.records)

    def _apply_or_skip(self, index: int, message: pb.Command) -> Any:
        kind = message.WhichOneof("kind")
        if kind is None:
            return self._apply_message(message)
        try:
            return self._apply_message(message)
        except MemoryError:
            raise
        except Exception as exc:
            detail = f"{kind}: {type(exc).__name__}: {exc}"
            self._log.error(events.COMMAND_FAILED, index=index, command=kind, detail=detail)
            return NotApplied(detail)

    def _apply_message(self, message: pb.Command) -> Any:
        match message.WhichOneof("kind"):
            case "accept":
                return self.ledger.accept(message.accept, self._may_start())
            case "place":
                return self.ledger.place(message.place, self._may_start())
            case "progress":
                return self.ledger.progress(message.progress)
            case "finish":
                return self.ledger.finish(message.finish)
            case "cancel":
                return self.ledger.cancel(message.cancel)
            case "attempt_failed":
                return self.ledger.attempt_failed(message.attempt_failed)
            case "give_up":
                return self.ledger.give_up(message.give_up)
            case "forget":
                return self.ledger.forget(message.forget)
            case "worker":
                return self.registry.change(message.worker)
            case "adopt":
                return self.records.adopt(decode_revisions(message.adopt.revisions))
            case unknown:
                raise ValueError(f"unknown kind of command in the cell's log: {unknown}")

    def _may_start(self) -> bool:
        return self.catalog.evacuation() is None
