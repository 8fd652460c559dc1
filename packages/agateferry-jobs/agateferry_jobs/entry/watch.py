"""Whether an entry can serve: it can while the leader answers it."""

import asyncio

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs.calls import LeaderClient, messages
from agateferry_jobs.daemon import events

PING_MS = 500
"""How often an idle entry asks for the leader."""
STALE_MS = 1_600
"""An entry that heard no leader for this long says that it is not ready; an election takes less."""
PING_TIMEOUT_MS = 900


class LeaderWatch:
    """Ask for the leader now and then, and tell whether it answered lately."""

    def __init__(self, client: LeaderClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._log = EventLogger()
        self._was_ready = False
        self.is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Tell whether new callers should come here."""
        return self.has_leader and not self.is_stopping

    @property
    def has_leader(self) -> bool:
        """Tell whether the leader answered lately."""
        at_ms = self._client.last_reply_ms
        return at_ms is not None and self._clock.now_ms() - at_ms < STALE_MS

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            at_ms = self._client.last_reply_ms
            if at_ms is None or self._clock.now_ms() - at_ms >= PING_MS:
                await self._client.call(messages.Ping(), PING_TIMEOUT_MS)
            self._note()
            await asyncio.sleep(PING_MS / MS_PER_S / 2)

    def _note(self) -> None:
        if self.has_leader == self._was_ready:
            return
        self._was_ready = self.has_leader
        if self._was_ready:
            self._log.info(events.LEADER_FOUND)
        else:
            self._log.warning(events.LEADER_LOST)
