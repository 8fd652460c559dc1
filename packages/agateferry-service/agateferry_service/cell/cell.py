"""One host's part of its zone's cell: the replica, and the leader's work while this host leads."""

import asyncio
import contextlib

from agateferry_service.cell.context import CellContext
from agateferry_service.cell.leader import CellLeader, SchedulerFactory
from agateferry_service.cell.proposer import LOG_NAME
from agateferry_service.cell.refusals import not_leader
from agateferry_service.cell.scheduler_driver import EventRecorder
from agateferry_service.cell.views import CellViews
from agateferry_service.rpc import cell_pb2 as pb

LEADERSHIP_CHECK_INTERVAL_S = 0.25


class Cell:
    """Start and stop the leader as this host gains and loses leadership, and serve its calls.

    While another host leads, every call is refused with `not-leader` and the leader's name.
    """

    def __init__(
        self,
        ctx: CellContext,
        make_scheduler: SchedulerFactory,
        record_event: EventRecorder | None = None,
    ) -> None:
        self.ctx = ctx
        self.leader = CellLeader(ctx, make_scheduler, record_event)
        self._views = CellViews(self.leader)
        self._follower_task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()
        ctx.machine.listeners.append(ctx.waiters.on_applied)
        ctx.replica.on_leadership(lambda leads, term: self._changed.set())
        ctx.proposer.on_outcome_uncertain = self._changed.set

    async def start(self) -> None:
        """Start the replica and the task that follows its leadership."""
        await self.ctx.replica.start()
        self._follower_task = asyncio.create_task(self._follow_leadership())

    async def stop(self) -> None:
        """Stop the replica, which transfers leadership, and stop the leader's work."""
        await self.ctx.replica.stop()
        if self._follower_task is not None:
            self._follower_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._follower_task
        await self.leader.stop()

    async def submit(self, req: pb.SubmitRequest) -> pb.RequestReply:
        """Admit a request, if this host leads."""
        if not self.leader.active:
            return self._refuse_request()
        return await self.leader.submit(req)

    async def get_request(self, req: pb.LookRequest) -> pb.RequestReply:
        """Return a request, possibly after a wait, if this host leads."""
        if not self.leader.active:
            return self._refuse_request()
        reply = await self.leader.get_request(req)
        return reply if self.leader.active else self._refuse_request()

    async def cancel(self, req: pb.CancelRequest) -> pb.RequestReply:
        """Cancel a request, if this host leads."""
        if not self.leader.active:
            return self._refuse_request()
        reply = await self.leader.cancel(req)
        ended = reply.HasField("view") and reply.view.ended_wall_ms > 0
        return reply if ended or self.leader.active else self._refuse_request()

    async def announce(self, req: pb.AnnounceRequest) -> pb.AnnounceReply:
        """Process a worker's heartbeat, if this host leads.

        Leadership is checked again afterwards: a leader deposed in the meantime may not know of a
        newer attempt and must not tell the worker to stop it.
        """
        if not self.leader.active:
            return pb.AnnounceReply(refusal=self._not_leader())
        reply = await self.leader.worker_monitor.announce(req)
        return reply if self.leader.active else pb.AnnounceReply(refusal=self._not_leader())

    async def query(self, req: pb.QueryRequest) -> pb.QueryReply:
        """Answer an operator's query, if this host leads."""
        if not self.leader.active:
            return pb.QueryReply(refusal=self._not_leader())
        return self._views.answer(req.what, req.name)

    def _refuse_request(self) -> pb.RequestReply:
        return pb.RequestReply(refusal=self._not_leader())

    def _not_leader(self) -> pb.Refusal:
        leader = self.ctx.replica.leader
        return not_leader(None if leader == self.ctx.host else leader)

    async def _follow_leadership(self) -> None:
        """Start and stop the leader as leadership and term change.

        A change of term stops the old leader before the new one starts. A command whose outcome is
        unknown also restarts the leader, which then reads from the log whether it was applied.
        """
        led_term = 0
        while True:
            leads = self.ctx.replica.is_leader
            term = self.ctx.replica.term
            outcome_uncertain = self.ctx.proposer.outcome_uncertain
            if led_term and (outcome_uncertain or not leads or term != led_term):
                await self.leader.stop()
                self.ctx.waiters.wake_all()
                led_term = 0
                self.ctx.metrics.leader_changed(LOG_NAME, False)
            if not led_term:
                self.ctx.proposer.outcome_uncertain = False
            if leads and not led_term:
                led_term = await self._start_leading(term)
            await self._wait_for_leadership_change()

    async def _start_leading(self, term: int) -> int:
        """Start the leader and return the term, or 0 after a pause if that failed."""
        if await self.leader.start():
            self.ctx.metrics.leader_changed(LOG_NAME, True)
            return term
        await asyncio.sleep(LEADERSHIP_CHECK_INTERVAL_S)
        return 0

    async def _wait_for_leadership_change(self) -> None:
        """Wait for a leadership change, at most one check interval as a lease expires silently."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEADERSHIP_CHECK_INTERVAL_S):
                await self._changed.wait()
        self._changed.clear()
