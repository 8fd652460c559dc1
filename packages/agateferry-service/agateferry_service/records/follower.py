"""The task by which the leader of a cell keeps its zone's copy of the records up to date."""

import asyncio
from collections.abc import Awaitable, Callable

from agateferry_core.logs import EventLogger
from agateferry_service.cell import events
from agateferry_service.cell.machine import CellMachine
from agateferry_service.cell.proposer import Proposer
from agateferry_service.rpc import cell_pb2, commands_pb2

FETCH_WAIT_MS = 1_500
RETRY_PAUSE_S = 1.0

Fetch = Callable[[cell_pb2.RecordsRequest], Awaitable[cell_pb2.RecordsReply]]


class RecordsFollower:
    """Fetch newer revisions from the records plane and commit them to the cell's log.

    The copy goes through the log so that a host that restarts while its zone is partitioned uses
    the newest revision that its zone had adopted, never an older one.
    """

    def __init__(
        self, machine: CellMachine, proposer: Proposer, fetch: Fetch, log: EventLogger
    ) -> None:
        self._machine = machine
        self._proposer = proposer
        self._fetch = fetch
        self._log = log
        self._plane_reachable = True

    async def follow(self) -> None:
        """Fetch and commit new revisions until cancelled, with a pause after each failure."""
        while True:
            if not await self._follow_once():
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _follow_once(self) -> bool:
        after = self._machine.records.revision
        reply = await self._fetch(
            cell_pb2.RecordsRequest(after_revision=after, wait_ms=FETCH_WAIT_MS)
        )
        if reply.HasField("refusal"):
            if self._plane_reachable:
                self._log.warning(events.RECORDS_UNREACHED, detail=reply.refusal.detail)
            self._plane_reachable = False
            return False
        self._plane_reachable = True
        if reply.newest <= after:
            return True
        command = commands_pb2.AdoptRecords(revisions=reply.revisions)
        result = await self._proposer.propose(adopt=command)
        if result.is_ok():
            self._log.info(events.RECORDS_ADOPTED, revision=self._machine.records.revision)
        return bool(result.is_ok())
