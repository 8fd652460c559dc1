"""Reports that contradict the ledger, which are believed only once their worker has answered.

A report may be late or of another writer: one that names a worker's id with another `born` or
address, or another id at its address, looks the same as that of a worker that has started again.
What tells them apart is which incarnation answers at the address.
"""

import asyncio
from collections.abc import Awaitable, Callable

from agateferry_core.clock import MS_PER_S
from agateferry_core.logs import EventLogger
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.ignored_reports import IgnoredReports
from agateferry_jobs.cell.worker_sessions import WorkerSessions
from agateferry_jobs.ledger import Ledger, WorkerIncarnation, WorkerState
from agateferry_jobs.workers.presence import Presence

ClaimKey = tuple[str, int, str]
"""The id, `born` and address that a report gives."""
CheckTask = asyncio.Task[messages.HeartbeatReply | None]

MAX_CHECKS = 300
"""How many claims are checked at the same time; the reports of others are repeated later."""
CLAIM_WAIT_MS = 500
"""How long the answer to a report waits for the check; a worker waits for a second."""


class RegistrationClaims:
    """Check at its address each incarnation whose report contradicts the ledger.

    `admit` commits an incarnation that was found there and returns the reply to its report.
    """

    def __init__(
        self,
        ledger: Ledger,
        sessions: WorkerSessions,
        admit: Callable[[messages.Heartbeat], Awaitable[messages.HeartbeatReply]],
    ) -> None:
        self._ledger = ledger
        self._sessions = sessions
        self._admit = admit
        self._checks: dict[ClaimKey, CheckTask] = {}
        self._ignored = IgnoredReports(events.REPORT_IGNORED)
        self._log = EventLogger()
        self._log_failure = self._log.on_exception(events.TASK_FAILED)

    def is_claim(self, incarnation: WorkerIncarnation) -> bool:
        """Return whether a report of an incarnation contradicts what the ledger holds.

        It does if another incarnation has its id or its address, or if it is recorded as gone.
        """
        known = self._ledger.workers.get(incarnation.id)
        if known is not None and known.born == incarnation.born:
            return known.address != incarnation.address
        is_gone = incarnation.born <= self._ledger.state.gone.get(incarnation.id, -1)
        return known is not None or is_gone or self._is_address_taken(incarnation.address)

    def _is_address_taken(self, address: str) -> bool:
        return any(other.address == address for other in self._ledger.workers.values())

    async def handle(self, heartbeat: messages.Heartbeat) -> messages.HeartbeatReply:
        """Check a claim and return the reply to its report.

        One that is not settled in time, or that says it drains and is not found, is not
        acknowledged, since an acknowledgement says that nothing starts there any more.
        """
        incarnation = heartbeat.worker
        key = _key_of(incarnation)
        if key not in self._checks and len(self._checks) >= MAX_CHECKS:
            return messages.OutcomeUnknown("too many reports to check")
        check = self._checks.get(key) or self._start_check(key, heartbeat)
        await asyncio.wait({check}, timeout=CLAIM_WAIT_MS / MS_PER_S)
        if not check.done() or check.exception() is not None:
            return messages.OutcomeUnknown("not checked yet")
        reply = check.result()
        if reply is None and incarnation.state is WorkerState.DRAINING:
            return messages.OutcomeUnknown("not found at its address")
        return reply or messages.Done()

    def _start_check(self, key: ClaimKey, heartbeat: messages.Heartbeat) -> CheckTask:
        check = asyncio.get_running_loop().create_task(self._check(heartbeat))
        self._checks[key] = check
        check.add_done_callback(lambda _: self._on_checked(key, check))
        return check

    def _on_checked(self, key: ClaimKey, check: CheckTask) -> None:
        del self._checks[key]
        if not check.cancelled() and (exc := check.exception()) is not None:
            self._log_failure(exc)

    async def _check(self, heartbeat: messages.Heartbeat) -> messages.HeartbeatReply | None:
        if not await self._holds(heartbeat.worker):
            return None
        return await self._admit(heartbeat)

    async def _holds(self, incarnation: WorkerIncarnation) -> bool:
        """Return whether an incarnation answers at its address and none answers elsewhere."""
        presence = await self._sessions.presence_of(incarnation)
        if presence is not Presence.PRESENT:
            self._ignored.record(incarnation, presence.name.lower())
            return False
        session = self._sessions.by_id.get(incarnation.id)
        if session is None or session.incarnation.address == incarnation.address:
            return True
        if await session.presence() is Presence.PRESENT:
            self._ignored.record(incarnation, "recorded one answers")
            return False
        return True


def _key_of(incarnation: WorkerIncarnation) -> ClaimKey:
    return incarnation.id, incarnation.born, incarnation.address
