"""Ask at a worker's address which incarnation answers there."""

from enum import Enum, auto

from agateferry_jobs.workers.port import (
    IncarnationMismatch,
    PollOrder,
    Rejected,
    RunLists,
    WorkerPort,
)


class Presence(Enum):
    """Whether an incarnation is at its address, as far as an answer from there shows."""

    PRESENT = auto()
    """It answers under its id and `born`."""
    REPLACED = auto()
    """Another worker or another incarnation answers."""
    REJECTED = auto()
    """Its worker answers and refuses the order, which doesn't tell the incarnation."""
    SILENT = auto()
    """Nothing answers."""


async def find_presence(
    port: WorkerPort, born: int, token: int, timeout_ms: int, attempts: int
) -> Presence:
    """Poll up to `attempts` times, each for `timeout_ms`, until there is an answer.

    The poll extends no lease and acknowledges no end. `token` must not be lower than one that the
    worker has seen, nor higher than that of an order under way to it.
    """
    order = PollOrder(None, token, cursor=0, wait_ms=0)
    for _ in range(attempts):
        match await port.poll(order, timeout_ms):
            case RunLists(born=answering):
                return Presence.PRESENT if answering in (None, born) else Presence.REPLACED
            case Rejected():
                return Presence.REJECTED
            case IncarnationMismatch():
                return Presence.REPLACED
    return Presence.SILENT
