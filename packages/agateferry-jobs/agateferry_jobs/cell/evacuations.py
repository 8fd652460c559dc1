"""Evacuate and readmit zones, and compare the teams' guarantees with the workers that are left."""

from collections.abc import Callable

from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.calls import messages
from agateferry_jobs.cell import events
from agateferry_jobs.cell.proposing import Proposer, reply_for_error
from agateferry_jobs.cell.worker_sessions import WorkerSessions
from agateferry_jobs.ledger import Ledger, WorkerState, commands
from agateferry_jobs.ledger.evacuations import EvacuationResult


class ZoneEvacuations:
    """Handle calls about evacuations, and watch what they leave while this host leads."""

    def __init__(
        self,
        ledger: Ledger,
        sessions: WorkerSessions,
        proposer: Proposer,
        request_planning: Callable[[], None],
    ) -> None:
        self._ledger = ledger
        self._sessions = sessions
        self._proposer = proposer
        self._request_planning = request_planning
        self._log = EventLogger()
        self._missing_in: tuple[str, ...] | None = None
        """The evacuated zones when the guarantees were last found unmet; None if they are met."""

    async def evacuate(self, call: messages.EvacuateZone, now_ms: int) -> messages.Reply:
        """Evacuate a zone; `Done` means that this is committed."""
        command = commands.EvacuateZone(call.zone, now_ms, call.requested_by, call.revision)
        return await self._commit(call, command)

    async def readmit(self, call: messages.ReadmitZone, now_ms: int) -> messages.Reply:
        """Readmit a zone; `Done` means that this is committed."""
        return await self._commit(call, commands.ReadmitZone(call.zone, now_ms, call.revision))

    async def _commit(
        self,
        call: messages.EvacuateZone | messages.ReadmitZone,
        command: commands.EvacuateZone | commands.ReadmitZone,
    ) -> messages.Reply:
        """Commit a command, also where the zone is in the requested state already.

        An opposite command that is not applied yet could otherwise follow this call's reply.
        """
        result = await self._proposer.propose(command)
        if result.is_error():
            return reply_for_error(result.error)
        if result.ok is EvacuationResult.OUTDATED:
            self._log.warning(
                events.EVACUATION_OUTDATED,
                zone=call.zone,
                requested_by=call.requested_by,
                kind=call.label,
            )
            return messages.Outdated()
        if result.ok is EvacuationResult.CHANGED:
            self._log_change(call)
            self.check()
            self._request_planning()
        return messages.Done()

    def read(self) -> messages.EvacuationsRead:
        """Return the evacuated zones and all revisions."""
        state = self._ledger.state
        zones = tuple(
            messages.EvacuatedZone(
                zone, each.since_ms, each.requested_by, self._sessions.runs_in(zone)
            )
            for zone, each in sorted(state.evacuations.items())
        )
        return messages.EvacuationsRead(zones, dict(state.evacuation_revisions))

    def check(self) -> None:
        """Update the gauges, and log when the guarantees can no longer be met, or can be again."""
        zones = tuple(sorted(self._ledger.state.evacuations))
        guaranteed, available = self._guaranteed_gpus(), self._available_gpus()
        missing = max(0, guaranteed - available)
        metrics.ZONES_EVACUATED.set(len(zones))
        metrics.RUNS_IN_EVACUATED_ZONES.set(sum(map(self._sessions.runs_in, zones)))
        metrics.GUARANTEED_GPUS_MISSING.set(missing)
        missing_in = zones if missing else None
        if missing_in == self._missing_in:
            return
        self._missing_in = missing_in
        figures = {"guaranteed": guaranteed, "available": available}
        if missing:
            self._log.warning(events.GUARANTEES_UNMET, **figures, evacuated=zones)
        else:
            self._log.info(events.GUARANTEES_MET, **figures)

    def reset(self) -> None:
        """Clear the gauges of a host that no longer leads."""
        self._missing_in = None
        metrics.ZONES_EVACUATED.set(0)
        metrics.RUNS_IN_EVACUATED_ZONES.set(0)
        metrics.GUARANTEED_GPUS_MISSING.set(0)

    def _log_change(self, call: messages.EvacuateZone | messages.ReadmitZone) -> None:
        is_evacuation = isinstance(call, messages.EvacuateZone)
        self._log.info(
            events.ZONE_EVACUATED if is_evacuation else events.ZONE_READMITTED,
            zone=call.zone,
            requested_by=call.requested_by,
            runs=self._sessions.runs_in(call.zone),
            available=self._available_gpus(),
            guaranteed=self._guaranteed_gpus(),
        )

    def _guaranteed_gpus(self) -> int:
        manifest = self._ledger.manifest
        return sum(team.reserved_gpus for team in manifest.teams) if manifest is not None else 0

    def _available_gpus(self) -> int:
        evacuations = self._ledger.state.evacuations
        return sum(
            worker.capacity.gpu
            for worker in self._ledger.workers.values()
            if worker.state is WorkerState.READY and worker.zone not in evacuations
        )
