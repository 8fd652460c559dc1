"""Heartbeats of workers, and detection of lost workers."""

from collections.abc import Callable

from agateferry_scheduling.scheduler.messages import (
    UsageReported,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
)
from agateferry_service.cell import events
from agateferry_service.cell.attempts import AttemptManager
from agateferry_service.cell.context import CellContext
from agateferry_service.cell.proposer import refusal_for_propose_error
from agateferry_service.cell.scheduler_driver import SchedulerDriver
from agateferry_service.dispatch.messages import FINAL_LEASE_STATES
from agateferry_service.endpoints.registry import (
    RegisteredWorker,
    WorkerState,
    worker_from_pb,
    worker_to_pb,
)
from agateferry_service.rpc import cell_pb2 as pb

MS_PER_S = 1_000
FINAL_STATES = frozenset(state.value for state in FINAL_LEASE_STATES)


class WorkerMonitor:
    """Track when each worker last sent a heartbeat, and declare silent workers lost.

    The leader keeps the times of heartbeats in memory; only changes of a worker go to the log. A
    new leader treats every worker as if it had sent a heartbeat when the leader started.
    """

    def __init__(
        self, ctx: CellContext, attempts: AttemptManager, driver: Callable[[], SchedulerDriver]
    ) -> None:
        self._ctx = ctx
        self._attempts = attempts
        self._driver = driver
        self._last_heartbeat_ms: dict[str, int] = {}

    def start(self) -> None:
        """Treat every worker as alive now, and report all of them to the scheduler."""
        now_ms = self._ctx.clock.now_ms()
        self._last_heartbeat_ms.clear()
        for registered in self._ctx.machine.registry:
            if registered.state is not WorkerState.LOST:
                self._last_heartbeat_ms[registered.worker.name] = now_ms
                self._notify_scheduler(registered)

    def last_heartbeat_ms(self, worker: str) -> int | None:
        """Return the time of a worker's last heartbeat, on the monotonic clock."""
        return self._last_heartbeat_ms.get(worker)

    async def announce(self, req: pb.AnnounceRequest) -> pb.AnnounceReply:
        """Process a heartbeat and reply with the leases that the worker must stop or release."""
        self._last_heartbeat_ms[req.worker.name] = self._ctx.clock.now_ms()
        refused = await self._store_change(req)
        if refused is not None:
            return pb.AnnounceReply(refusal=refused)
        self._report_usage(req)
        reply = pb.AnnounceReply(heartbeat_ms=self.heartbeat_ms())
        for lease in req.leases:
            self._handle_lease_report(lease, reply)
        return reply

    def heartbeat_ms(self) -> int:
        """Return the interval at which workers are asked to send heartbeats.

        It grows with the number of workers, so that the leader's rate of heartbeats stays bounded.
        """
        times = self._ctx.times
        interval_ms = len(self._last_heartbeat_ms) * MS_PER_S // times.max_announcements_per_s
        return max(times.worker_heartbeat_ms, interval_ms)

    def silence_timeout_ms(self) -> int:
        """Return the silence after which a worker is lost, scaled with the heartbeat interval."""
        times = self._ctx.times
        return times.worker_silence_ms * self.heartbeat_ms() // times.worker_heartbeat_ms

    async def mark_silent_workers_lost(self) -> None:
        """Mark workers lost whose last heartbeat is too old."""
        now_ms = self._ctx.clock.now_ms()
        silence_timeout_ms = self.silence_timeout_ms()
        silent = [
            name
            for name, seen_ms in self._last_heartbeat_ms.items()
            if now_ms - seen_ms > silence_timeout_ms
        ]
        for name in silent:
            await self._mark_lost(name)

    async def _mark_lost(self, name: str) -> None:
        self._last_heartbeat_ms.pop(name, None)
        registered = self._ctx.machine.registry.get(name)
        if registered is None:
            return
        self._ctx.log.warning(events.WORKER_LOST, worker=name)
        self._driver().feed(WorkerLost(name))
        self._attempts.on_worker_lost(name, "no heartbeat arrived in time")
        command = worker_to_pb(registered.worker, WorkerState.LOST)
        await self._ctx.proposer.propose(worker=command)

    async def _store_change(self, req: pb.AnnounceRequest) -> pb.Refusal | None:
        """Store a change of a worker; a heartbeat that changes nothing is not stored."""
        known = self._ctx.machine.registry.get(req.worker.name)
        announced = worker_from_pb(req.worker, self._ctx.machine.zone)
        state = WorkerState(req.worker.state)
        if known is not None and known == RegisteredWorker(announced, state):
            return None
        result = await self._ctx.proposer.propose(worker=req.worker)
        if result.is_error():
            return refusal_for_propose_error(result.error)
        self._ctx.log.info(events.WORKER_CHANGED, worker=announced.name, state=state.value)
        if known is not None and known.worker.incarnation != announced.incarnation:
            self._driver().feed(WorkerLost(announced.name))
            self._attempts.on_worker_lost(announced.name, "the worker restarted")
        self._notify_scheduler(RegisteredWorker(announced, state))
        return None

    def _notify_scheduler(self, registered: RegisteredWorker) -> None:
        self._driver().feed(WorkerJoined(registered.worker))
        if registered.state is WorkerState.LEAVING:
            self._driver().feed(WorkerLeaving(registered.worker.name))

    def _report_usage(self, req: pb.AnnounceRequest) -> None:
        as_of_ms = self._ctx.clock.now_ms() - req.usage_age_ms
        usage = UsageReported(req.worker.name, as_of_ms, req.slots_used, req.accelerators_used)
        self._driver().feed(usage)

    def _handle_lease_report(self, lease: pb.LeaseReport, reply: pb.AnnounceReply) -> None:
        final = lease.state in FINAL_STATES
        if self._ctx.machine.ledger.is_active_lease(lease.lease):
            self._attempts.on_lease_report(
                lease.lease, final, lease.checkpoint_step, lease.progress
            )
        elif final:
            reply.release.append(lease.lease)
        else:
            self._ctx.metrics.late_answer("stale-lease")
            self._ctx.log.info(events.STALE_LEASE, lease=lease.lease, state=lease.state)
            reply.stop.append(lease.lease)
