"""A replica with one voter, for a deployment of one host and for tests.

All proposals that are made in one turn of the loop share one sync, and are applied in the order
of their calls. Each start begins a new term, so that `term` goes up as it does in a larger group.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from expression import Error, Ok, Result

from agateferry_core.clock import Clock
from agateferry_core.logs import EventLogger
from agateferry_state.events import (
    DATA_FOLDER_OPENED,
    DATA_FOLDER_UNUSABLE,
    STORAGE_FAILED,
)
from agateferry_state.journal import Journal, JournalError, Record, Recovered, Snapshot, Vote
from agateferry_state.replica.protocols import (
    Applied,
    ProposeError,
    ProposeErrorKind,
    StateMachine,
)

SNAPSHOT_EVERY_RECORDS = 1000
Proposed = Result[Applied, ProposeError]
OpenJournal = Callable[[], Result[tuple[Journal, Recovered], JournalError]]


@dataclass(slots=True)
class _Proposal:
    command: bytes
    fut: asyncio.Future[Proposed]


class SoloReplica:
    """Store and apply commands on this host alone."""

    def __init__(
        self,
        open_journal: OpenJournal,
        machine: StateMachine,
        name: str,
        clock: Clock,
        snapshot_every: int = SNAPSHOT_EVERY_RECORDS,
    ) -> None:
        self._open_journal = open_journal
        self._machine = machine
        self._name = name
        self._clock = clock
        self._snapshot_every = snapshot_every
        self._log = EventLogger(member=name)
        self._journal: Journal | None = None
        self._failure: ProposeError | None = ProposeError(ProposeErrorKind.STOPPED)
        self._pending: list[_Proposal] = []
        self._term = 0
        self._applied = 0
        self._applied_term = 0
        self._snapshot_index = 0

    @classmethod
    def open(cls, folder: Path, machine: StateMachine, name: str, clock: Clock) -> "SoloReplica":
        """Return a replica over a data folder, which `start` will open."""
        return cls(lambda: Journal.open(folder), machine, name, clock)

    @property
    def is_leader(self) -> bool:
        """Tell whether the replica takes proposals."""
        return self._failure is None

    @property
    def leader(self) -> str | None:
        """Return this member while it takes proposals."""
        return self._name if self.is_leader else None

    @property
    def term(self) -> int:
        """Return the number of times that this folder was started."""
        return self._term

    @property
    def failure(self) -> ProposeError | None:
        """Return why the replica takes no proposals, or None."""
        return self._failure

    async def start(self) -> None:
        """Recover the state machine from the disk; look at `failure` for what went wrong."""
        started_ms = self._clock.now_ms()
        match self._open_journal():
            case Result(tag="ok", ok=(journal, recovered)):
                self._recover(journal, recovered)
                took_ms = self._clock.now_ms() - started_ms
                self._log.info(DATA_FOLDER_OPENED, applied=self._applied, took_ms=took_ms)
            case Result(error=error):
                self._failure = ProposeError(ProposeErrorKind.STORAGE_FAILED, detail=error.detail)
                self._log.error(DATA_FOLDER_UNUSABLE, kind=error.kind, detail=error.detail)

    async def stop(self) -> None:
        """Finish the proposals under way, store a snapshot and close the files."""
        if self._journal is None:
            return
        self._flush()
        if self._failure is None:
            self._save_snapshot()
        self._failure = self._failure or ProposeError(ProposeErrorKind.STOPPED)
        self._journal.close()
        self._journal = None

    async def propose(self, command: bytes) -> Proposed:
        """Store and apply a command together with others of this turn of the loop."""
        if self._failure is not None:
            return Error(self._failure)
        loop = asyncio.get_running_loop()
        if not self._pending:
            loop.call_soon(self._flush)
        proposal = _Proposal(command, loop.create_future())
        self._pending.append(proposal)
        return await proposal.fut

    async def read_barrier(self) -> Result[int, ProposeError]:
        """Return the index that the state has reached; it holds all that was agreed upon."""
        if self._failure is not None:
            return Error(self._failure)
        return Ok(self._applied)

    def _recover(self, journal: Journal, recovered: Recovered) -> None:
        if recovered.snapshot is not None:
            self._machine.restore(recovered.snapshot.data)
            self._applied = self._snapshot_index = recovered.snapshot.index
            self._applied_term = recovered.snapshot.term
        for record in recovered.records:
            self._machine.apply(record.index, record.data)
            self._applied = record.index
            self._applied_term = record.term
        self._journal = journal
        self._failure = None
        self._term = recovered.vote.term + 1
        self._check(journal.save_vote(Vote(self._term, self._name)))

    def _flush(self) -> None:
        """Sync the proposals of this turn together, then apply them in order."""
        proposals, self._pending = self._pending, []
        if self._journal is None or not proposals:
            return
        first = self._applied + 1
        self._journal.append(
            [Record(first + at, self._term, item.command) for at, item in enumerate(proposals)]
        )
        if not self._check(self._journal.sync()):
            self._fail_all(proposals)
            return
        for item in proposals:
            self._apply(item)
        if self._applied - self._snapshot_index >= self._snapshot_every:
            self._save_snapshot()

    def _apply(self, proposal: _Proposal) -> None:
        self._applied += 1
        self._applied_term = self._term
        outcome = self._machine.apply(self._applied, proposal.command)
        if not proposal.fut.done():
            proposal.fut.set_result(Ok(Applied(self._applied, outcome)))

    def _fail_all(self, proposals: list[_Proposal]) -> None:
        assert self._failure is not None
        for item in proposals:
            if not item.fut.done():
                item.fut.set_result(Error(self._failure))

    def _save_snapshot(self) -> None:
        assert self._journal is not None
        if self._applied == self._snapshot_index:
            return
        snapshot = Snapshot(self._applied, self._applied_term, self._machine.snapshot())
        if self._check(self._journal.save_snapshot(snapshot)):
            self._snapshot_index = self._applied

    def _check(self, written: Result[int, JournalError]) -> bool:
        """Return whether the disk did its part, and stop taking proposals where it did not."""
        match written:
            case Result(tag="error", error=error):
                self._failure = ProposeError(ProposeErrorKind.STORAGE_FAILED, detail=error.detail)
                self._log.error(STORAGE_FAILED, kind=error.kind, detail=error.detail)
                return False
        return True
