"""The proposals and reads of one replica that wait for an answer."""

import asyncio
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from agateferry_state.replica.metrics import PROPOSALS_REFUSED
from agateferry_state.replica.protocols import Applied, ProposeError, ProposeErrorKind
from agateferry_state.replication.messages import LogEntry, ReadReady, RejectReason

Answer = Result[Applied, ProposeError]
Read = Result[ReadReady, ProposeError]

KINDS = {RejectReason.STORAGE_FAILED: ProposeErrorKind.STORAGE_FAILED}


@dataclass(slots=True)
class _Accepted:
    term: int
    fut: asyncio.Future[Answer]


class Proposals:
    """Match the core's answers with those who wait for them."""

    def __init__(self) -> None:
        self._next_id = 1
        self._asked: dict[int, asyncio.Future[Answer]] = {}
        self._accepted: dict[int, _Accepted] = {}
        self._reads: dict[int, asyncio.Future[Read]] = {}

    @property
    def is_idle(self) -> bool:
        """Tell whether nobody waits for an entry to be applied."""
        return not self._asked and not self._accepted

    def ask(self) -> tuple[int, asyncio.Future[Answer]]:
        """Return the number and the future of a new proposal."""
        fut: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._asked[self._next_id] = fut
        return self._take_id(), fut

    def ask_read(self) -> tuple[int, asyncio.Future[Read]]:
        """Return the number and the future of a new read."""
        fut: asyncio.Future[Read] = asyncio.get_running_loop().create_future()
        self._reads[self._next_id] = fut
        return self._take_id(), fut

    def accept(self, proposal_id: int, index: int, term: int) -> None:
        """Note where a proposal stands in the log."""
        self._accepted[index] = _Accepted(term, self._asked.pop(proposal_id))

    def reject(self, proposal_id: int, reason: RejectReason, leader: str | None) -> None:
        """Tell that a proposal was not appended."""
        _refuse(self._asked.pop(proposal_id, None), refusal_of(reason, leader))

    def apply(self, entry: LogEntry, result: Any, leader: str | None) -> None:
        """Complete the proposal of an entry that was applied here with the command's result."""
        accepted = self._accepted.pop(entry.index, None)
        if accepted is None:
            return
        if accepted.term != entry.term:
            error = ProposeError(ProposeErrorKind.NOT_LEADER, leader, "replaced by a new leader")
            _refuse(accepted.fut, error)
        elif not accepted.fut.done():
            accepted.fut.set_result(Ok(Applied(entry.index, result)))

    def give_up(self, before_term: int, leader: str | None) -> None:
        """Tell that the fate of what was appended in older terms was not learned."""
        for index, accepted in list(self._accepted.items()):
            if accepted.term < before_term:
                del self._accepted[index]
                _refuse(accepted.fut, ProposeError(ProposeErrorKind.UNKNOWN, leader))

    def answer_read(self, ready: ReadReady) -> None:
        """Tell that a read may go on."""
        fut = self._reads.pop(ready.read_id, None)
        if fut is not None and not fut.done():
            fut.set_result(Ok(ready))

    def reject_read(self, read_id: int, reason: RejectReason, leader: str | None) -> None:
        """Tell that a read is not served here."""
        _refuse(self._reads.pop(read_id, None), refusal_of(reason, leader))

    def end(self, kind: ProposeErrorKind, detail: str = "") -> None:
        """Answer all who wait; what stands in the log has an unknown fate."""
        for asked in self._asked.values():
            _refuse(asked, ProposeError(kind, detail=detail))
        for read in self._reads.values():
            _refuse(read, ProposeError(kind, detail=detail))
        for accepted in self._accepted.values():
            _refuse(accepted.fut, ProposeError(ProposeErrorKind.UNKNOWN, detail=detail))
        self._asked.clear()
        self._reads.clear()
        self._accepted.clear()

    def _take_id(self) -> int:
        self._next_id += 1
        return self._next_id - 1


def refusal_of(reason: RejectReason, leader: str | None) -> ProposeError:
    """Return the error that a refusal of the core stands for; `detail` is the core's reason."""
    return ProposeError(KINDS.get(reason, ProposeErrorKind.NOT_LEADER), leader, reason.value)


def _refuse(fut: asyncio.Future[Any] | None, error: ProposeError) -> None:
    PROPOSALS_REFUSED.labels(error.kind.value).inc()
    if fut is not None and not fut.done():
        fut.set_result(Error(error))
