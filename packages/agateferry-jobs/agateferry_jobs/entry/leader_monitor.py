"""Monitor whether the leader replies; an entry is ready only while it does."""

from agateferry_core.clock import Clock
from agateferry_core.logs import EventLogger
from agateferry_core.tasks import repeat
from agateferry_jobs.calls import LeaderClient, messages
from agateferry_jobs.calls.pings import Pinger, ping_port
from agateferry_jobs.daemon import events

PING_INTERVAL_MS = 500
"""How often an entry without calls pings the leader."""
PONG_TIMEOUT_MS = 900
"""After this long without a reply all hosts are pinged, and a call is made besides."""
LEADER_SILENCE_MS = 1_600
"""Without a leader's reply for this long an entry reports not ready; an election takes less."""
PING_TIMEOUT_MS = 900


class LeaderMonitor:
    """Ping the leader periodically and report whether it replied recently.

    The pings are datagrams. Where the leader does not answer them, all hosts are pinged, to find
    the next leader, and a call is made, which works where datagrams are lost.
    """

    def __init__(self, client: LeaderClient, clock: Clock, ip: str, internal_port: int) -> None:
        self._client = client
        self._clock = clock
        self._pinger = Pinger(ip, ping_port(internal_port), clock, client.record_pong)
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
        silent_ms = self._silent_ms()
        return silent_ms is not None and silent_ms < LEADER_SILENCE_MS

    async def run(self) -> None:
        """Monitor the leader until cancelled."""
        try:
            await self._pinger.open()
            await repeat(
                self._check_leader,
                PING_INTERVAL_MS,
                self._log.on_exception(events.TASK_FAILED),
            )
        finally:
            self._pinger.close()

    async def _check_leader(self) -> None:
        await self._ask_leader()
        self._log_change()

    async def _ask_leader(self) -> None:
        silent_ms = self._silent_ms()
        leader = self._client.leader
        if leader is not None and silent_ms is not None and silent_ms < PONG_TIMEOUT_MS:
            self._pinger.send(leader)
            return
        for host in self._client.hosts:
            self._pinger.send(host)
        await self._client.call(messages.Ping(), PING_TIMEOUT_MS)

    def _silent_ms(self) -> int | None:
        """Return how long ago the leader replied; None before its first reply."""
        at_ms = self._client.last_reply_ms
        return self._clock.now_ms() - at_ms if at_ms is not None else None

    def _log_change(self) -> None:
        if self.has_leader == self._had_leader:
            return
        self._had_leader = self.has_leader
        if self._had_leader:
            self._log.info(events.LEADER_FOUND)
        else:
            self._log.warning(events.LEADER_LOST)
