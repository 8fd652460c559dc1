"""Monitor whether the leader replies; an entry is ready only while it does."""

import asyncio

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs.calls import LeaderClient, messages
from agateferry_jobs.daemon import events

PING_INTERVAL_MS = 500
"""How often an entry without calls pings the leader."""
LEADER_SILENCE_MS = 1_600
"""Without a leader's reply for this long an entry reports not ready; an election takes less."""
PING_TIMEOUT_MS = 900


class LeaderMonitor:
    """Ping the leader periodically and report whether it replied recently."""

    def __init__(self, client: LeaderClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._log = EventLogger()
        self._had_leader = False
        self.is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send new calls here."""
        return self.has_leader and not self.is_stopping

    @property
    def has_leader(self) -> bool:
        """Return whether the leader replied to a call or ping within `LEADER_SILENCE_MS`."""
        at_ms = self._client.last_reply_ms
        return at_ms is not None and self._clock.now_ms() - at_ms < LEADER_SILENCE_MS

    async def run(self) -> None:
        """Monitor the leader until cancelled."""
        while True:
            at_ms = self._client.last_reply_ms
            if at_ms is None or self._clock.now_ms() - at_ms >= PING_INTERVAL_MS:
                await self._client.call(messages.Ping(), PING_TIMEOUT_MS)
            self._log_change()
            await asyncio.sleep(PING_INTERVAL_MS / MS_PER_S / 2)

    def _log_change(self) -> None:
        if self.has_leader == self._had_leader:
            return
        self._had_leader = self.has_leader
        if self._had_leader:
            self._log.info(events.LEADER_FOUND)
        else:
            self._log.warning(events.LEADER_LOST)
