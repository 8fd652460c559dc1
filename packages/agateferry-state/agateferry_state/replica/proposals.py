"""The pending proposals and reads of one replica."""

import asyncio
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from agateferry_state.replica.metrics import PROPOSALS_REFUSED
from agateferry_state.replica.protocols import Applied, ProposeError, ProposeErrorKind
from agateferry_state.replication.messages import LogEntry, ReadReady, RejectReason

ProposalResult = Result[Applied, ProposeError]
ReadResult = Result[ReadReady, ProposeError]

ERROR_KINDS = {RejectReason.STORAGE_FAILED: ProposeErrorKind.STORAGE_FAILED}


@dataclass(slots=True)
class _AcceptedProposal:
    term: int
    fut: asyncio.Future[ProposalResult]


class PendingProposals:
    """Complete the futures of proposals and reads with the answers of the replication core."""

    def __init__(self) -> None:
        self._next_id = 1
        self._proposed: dict[int, asyncio.Future[ProposalResult]] = {}
        self._accepted: dict[int, _AcceptedProposal] = {}
        self._reads: dict[int, asyncio.Future[ReadResult]] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether no proposal is pending."""
        return not self._proposed and not self._accepted

    def add_proposal(self) -> tuple[int, asyncio.Future[ProposalResult]]:
        """Register a new proposal; return its id and future."""
        fut: asyncio.Future[ProposalResult] = asyncio.get_running_loop().create_future()
        self._proposed[self._next_id] = fut
        return self._take_id(), fut

    def add_read(self) -> tuple[int, asyncio.Future[ReadResult]]:
        """Register a new read; return its id and future."""
        fut: asyncio.Future[ReadResult] = asyncio.get_running_loop().create_future()
        self._reads[self._next_id] = fut
        return self._take_id(), fut

    def accept(self, proposal_id: int, index: int, term: int) -> None:
        """Record the log index and term at which a proposal was appended.

        One that waits at the same index is of an earlier term, and was removed from this log. A
        later leader may still have it in its own, so its outcome is unknown.
        """
        replaced = self._accepted.get(index)
        if replaced is not None:
            detail = "removed from the log by a new leader"
            _fail(replaced.fut, ProposeError(ProposeErrorKind.UNKNOWN, detail=detail))
        self._accepted[index] = _AcceptedProposal(term, self._proposed.pop(proposal_id))

    def reject(self, proposal_id: int, reason: RejectReason, leader: str | None) -> None:
        """Fail a proposal that was not appended."""
        _fail(self._proposed.pop(proposal_id, None), propose_error_for(reason, leader))

    def complete(self, entry: LogEntry, result: Any, leader: str | None) -> None:
        """Complete the proposal of an entry that was applied here with the command's result."""
        accepted = self._accepted.pop(entry.index, None)
        if accepted is None:
            return
        if accepted.term != entry.term:
            error = ProposeError(ProposeErrorKind.NOT_LEADER, leader, "replaced by a new leader")
            _fail(accepted.fut, error)
        elif not accepted.fut.done():
            accepted.fut.set_result(Ok(Applied(entry.index, result)))

    def fail_older_terms(self, before_term: int, leader: str | None) -> None:
        """Fail proposals appended before a term; their outcome is unknown."""
        for index, accepted in list(self._accepted.items()):
            if accepted.term < before_term:
                del self._accepted[index]
                _fail(accepted.fut, ProposeError(ProposeErrorKind.UNKNOWN, leader))

    def complete_read(self, ready: ReadReady) -> None:
        """Complete a read whose index has been applied."""
        fut = self._reads.pop(ready.read_id, None)
        if fut is not None and not fut.done():
            fut.set_result(Ok(ready))

    def reject_read(self, read_id: int, reason: RejectReason, leader: str | None) -> None:
        """Fail a read that this member cannot serve."""
        _fail(self._reads.pop(read_id, None), propose_error_for(reason, leader))

    def fail_all(self, kind: ProposeErrorKind, detail: str = "") -> None:
        """Fail every pending call; the outcome of proposals in the log is unknown."""
        for proposed in self._proposed.values():
            _fail(proposed, ProposeError(kind, detail=detail))
        for read in self._reads.values():
            _fail(read, ProposeError(kind, detail=detail))
        for accepted in self._accepted.values():
            _fail(accepted.fut, ProposeError(ProposeErrorKind.UNKNOWN, detail=detail))
        self._proposed.clear()
        self._reads.clear()
        self._accepted.clear()

    def _take_id(self) -> int:
        self._next_id += 1
        return self._next_id - 1


def propose_error_for(reason: RejectReason, leader: str | None) -> ProposeError:
    """Return the error for a rejection by the core; its `detail` is the reason."""
    return ProposeError(ERROR_KINDS.get(reason, ProposeErrorKind.NOT_LEADER), leader, reason.value)


def _fail(fut: asyncio.Future[Any] | None, error: ProposeError) -> None:
    PROPOSALS_REFUSED.labels(error.kind.value).inc()
    if fut is not None and not fut.done():
        fut.set_result(Error(error))
