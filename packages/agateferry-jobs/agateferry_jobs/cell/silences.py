"""Which workers are silent, as the cell stores it, so that a new leader need not wait anew.

A leader grants a silent worker no lease. Once that is committed, no other leader does either until
it has committed that the worker answers. So a new leader knows when the worker's lease expires, and
counts from the command in its own log. Without it, the earlier leader may have granted a lease up
to the moment at which it stopped leading.
"""

from agateferry_core.logs import EventLogger
from agateferry_jobs.cell import events
from agateferry_jobs.cell.proposing import Proposer
from agateferry_jobs.cell.worker_sessions import WorkerSessions
from agateferry_jobs.ledger import commands
from agateferry_jobs.workers.session import WorkerSession

NOTE_AFTER_MS = 250
"""How long a worker must be silent; most answer again before, and each note is a commit."""


class WorkerSilences:
    """Commit which workers with runs fall silent, and which answer again."""

    def __init__(self, sessions: WorkerSessions, proposer: Proposer) -> None:
        self._sessions = sessions
        self._proposer = proposer
        self._is_committing = False
        self._log = EventLogger()

    async def commit_changes(self) -> None:
        """Commit what has changed, and what changes meanwhile."""
        if self._is_committing:
            return
        self._is_committing = True
        try:
            while await self._commit_once():
                pass
        finally:
            self._is_committing = False

    async def _commit_once(self) -> bool:
        """Commit what has changed; return False if there is nothing, or it failed.

        Grants stop before it is proposed that a worker is silent, and go on only after it is
        committed that it answers.
        """
        sessions = list(self._sessions.by_id.values())
        silent = [each for each in sessions if _falls_silent(each)]
        answering = [each for each in sessions if not each.grants_leases and each.answers]
        if not silent and not answering:
            return False
        for session in silent:
            session.grants_leases = False
        command = commands.NoteSilences(
            tuple(commands.Silence(*_key(each), each.lease_left_ms()) for each in silent),
            tuple(_key(each) for each in answering),
        )
        result = await self._proposer.propose(command)
        if result.is_error():
            return False
        for session in answering:
            session.grants_leases = True
        self._sessions.request_planning()
        self._log.info(
            events.SILENCES_STORED,
            silent=[each.worker for each in command.silent],
            left_ms=max((each.lease_left_ms for each in command.silent), default=0),
            answering=[id for id, _ in command.answering],
        )
        return True


def _falls_silent(session: WorkerSession) -> bool:
    is_silent = session.failing_for_ms() >= NOTE_AFTER_MS
    return session.grants_leases and bool(session.runs) and is_silent


def _key(session: WorkerSession) -> tuple[str, int]:
    return session.incarnation.id, session.incarnation.born
