"""The leader of a zone's cell, which admits, places and dispatches requests.

A leader starts from the state in the cell's log and keeps nothing that the next leader would need:
the scheduler and the attempts are rebuilt from the ledger at each start.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from agateferry_core.demand import Assignment
from agateferry_scheduling.scheduler.messages import (
    ConfigChanged,
    Decision,
    EndReason,
    EvacuationChanged,
    GuaranteeAtRisk,
    PendingRequest,
    Preempt,
    Quarantine,
    Reject,
    RequestEnded,
    RequestQueued,
    RequestRunning,
    RequestWithdrawn,
    Scheduler,
    Start,
    TeamsChanged,
    Tick,
)
from agateferry_service.cell import events
from agateferry_service.cell.admission import Admission, to_pending_request
from agateferry_service.cell.attempts import AttemptManager
from agateferry_service.cell.context import CellContext
from agateferry_service.cell.evacuation import EvacuationNotice, evacuated_refusal, request_view
from agateferry_service.cell.payload_room import RETRY_AFTER_MS, PayloadRoom
from agateferry_service.cell.proposer import refusal_for_propose_error
from agateferry_service.cell.refusals import RefusalReason, refusal
from agateferry_service.cell.request_metrics import count_request_end
from agateferry_service.cell.scheduler_driver import EventRecorder, SchedulerDriver
from agateferry_service.cell.worker_monitor import WorkerMonitor
from agateferry_service.dispatch.messages import AttemptOutcome
from agateferry_service.requests import (
    CommandResult,
    CommandResultKind,
    Placement,
    Request,
    RequestSpec,
    RequestState,
)
from agateferry_service.requests.codec import placement_to_pb, spec_to_pb
from agateferry_service.rpc import cell_pb2, commands_pb2
from agateferry_state.replica import ProposeError

MAX_CONCURRENT_CANCELS = 100
"""Others wait in order, so that a mass cancellation does not hold up urgent starts."""

SchedulerFactory = Callable[[str], Scheduler]


class CellLeader:
    """Serve a zone while this host leads its cell."""

    def __init__(
        self,
        ctx: CellContext,
        make_scheduler: SchedulerFactory,
        record_event: EventRecorder | None = None,
    ) -> None:
        self.ctx = ctx
        self._record_event = record_event
        self._make_scheduler = make_scheduler
        self._driver: SchedulerDriver | None = None
        self.attempts = AttemptManager(ctx, self.driver)
        self.worker_monitor = WorkerMonitor(ctx, self.attempts, self.driver)
        self.quarantined: dict[str, str] = {}
        self.at_risk: tuple[str, ...] = ()
        self.background_tasks: list[Callable[[], Coroutine[Any, Any, None]]] = []
        self._notified_revision = -1
        self._evacuation_notice = EvacuationNotice(ctx)
        self._cancel_slots = asyncio.Semaphore(MAX_CONCURRENT_CANCELS)
        self._payload_room = PayloadRoom(ctx.machine, ctx.times.max_payload_bytes)

    @property
    def active(self) -> bool:
        """Return whether this host leads and the leader's work has started."""
        return self._driver is not None and self.ctx.replica.is_leader

    def driver(self) -> SchedulerDriver:
        """Return the scheduler's driver, which exists only while this host leads."""
        if self._driver is None:
            raise RuntimeError("the scheduler is used while this host does not lead")
        return self._driver

    async def start(self) -> bool:
        """Rebuild the leader's state from the log; return False if leadership was lost meanwhile.

        A command without effect is committed first as a barrier: after it, every earlier command of
        this host with an unknown outcome has either been applied or never will be.
        """
        barrier = commands_pb2.Forget(ended_before_wall_ms=0)
        if (await self.ctx.proposer.propose(forget=barrier)).is_error():
            return False
        self.attempts = AttemptManager(self.ctx, self.driver)
        self.worker_monitor = WorkerMonitor(self.ctx, self.attempts, self.driver)
        scheduler = self._make_scheduler(self.ctx.machine.zone)
        self._driver = SchedulerDriver(scheduler, self.ctx.clock, self, self._record_event)
        self.ctx.log.info(events.LEADING, term=self.ctx.replica.term)
        self._notify_records_changed()
        self.worker_monitor.start()
        self._resume_requests()
        for work in (self._run_periodic_work, *self.background_tasks):
            self.ctx.tasks.spawn(work())
        return True

    async def stop(self) -> None:
        """Cancel the leader's tasks and drop its state; work on workers continues."""
        if self._driver is None:
            return
        await self.ctx.tasks.cancel_all()
        self._driver = None
        self._notified_revision = -1
        self.ctx.log.info(events.NOT_LEADING)

    async def submit(self, req: cell_pb2.SubmitRequest) -> cell_pb2.RequestReply:
        """Admit a request, store it and, if the caller asked for it, wait for its end."""
        self._notify_records_changed()
        admitted = self._admission().admit(req)
        if isinstance(admitted, cell_pb2.Refusal):
            return cell_pb2.RequestReply(refusal=admitted)
        known = self._find_existing(admitted)
        if known is not None:
            return await self._reply_to_resend(known, admitted, req.wait_ms)
        evacuation = self.ctx.catalog.evacuation()
        if evacuation is not None:
            self.ctx.metrics.refused(RefusalReason.ZONE_EVACUATED)
            refused = evacuated_refusal(self.ctx.machine.zone, evacuation)
            return cell_pb2.RequestReply(refusal=refused)
        return await self._accept_new(admitted, req.wait_ms)

    async def get_request(self, req: cell_pb2.LookRequest) -> cell_pb2.RequestReply:
        """Return a request when it has ended, or after the caller's wait."""
        request = self.ctx.machine.ledger.get(req.request_id)
        if request is None:
            return cell_pb2.RequestReply(refusal=_unknown_request_refusal(req.request_id))
        return await self._reply(request, req.wait_ms)

    async def cancel(self, req: cell_pb2.CancelRequest) -> cell_pb2.RequestReply:
        """Cancel a request and return it with the stage that it reached."""
        async with self._cancel_slots:
            cancelled = await self._commit_cancel(req.request_id)
        if isinstance(cancelled, cell_pb2.Refusal):
            return cell_pb2.RequestReply(refusal=cancelled)
        return await self._reply(cancelled, self.ctx.times.cancel_wait_ms)

    def execute(self, decision: Decision) -> None:
        """Start to execute one decision of the scheduler."""
        match decision:
            case Start():
                self.ctx.tasks.spawn(self._place(decision))
            case Preempt(request_id=request_id, for_request_id=for_id):
                self.ctx.log.info(events.PREEMPTING, request=request_id, for_request=for_id)
                self.attempts.stop(request_id, AttemptOutcome.PREEMPTED)
            case Reject():
                self.ctx.tasks.spawn(self._give_up(decision))
            case Quarantine(worker=worker, lifted=lifted, detail=detail):
                self._record_quarantine(worker, lifted, detail)
            case GuaranteeAtRisk(teams=teams, detail=detail):
                self.at_risk = teams
                self.ctx.log.warning(events.GUARANTEE_AT_RISK, teams=list(teams), detail=detail)

    def _admission(self) -> Admission:
        return Admission(self.ctx.catalog, self.ctx.clock)

    def _find_existing(self, spec: RequestSpec) -> Request | None:
        ledger = self.ctx.machine.ledger
        by_key = ledger.by_key(spec.team, spec.key) if spec.key else None
        return ledger.get(spec.id) or by_key

    async def _reply_to_resend(
        self, known: Request, spec: RequestSpec, wait_ms: int
    ) -> cell_pb2.RequestReply:
        if known.spec.body_digest != spec.body_digest:
            detail = f"the key belongs to request {known.id}, which has another body"
            return self._refuse(RefusalReason.KEY_REUSED, detail)
        return await self._reply(known, wait_ms)

    async def _accept_new(self, spec: RequestSpec, wait_ms: int) -> cell_pb2.RequestReply:
        """Store a new request after the scheduler's decision, so that a refusal stores nothing."""
        has_several_teams = self.ctx.catalog.team_count() > 1
        shortage = self._payload_room.find_shortage(spec, has_several_teams)
        if shortage is not None:
            return self._refuse(RefusalReason.PAYLOADS_FULL, shortage, RETRY_AFTER_MS)
        decision = self.driver().queue_request(to_pending_request(spec, self.ctx.clock))
        if isinstance(decision, Reject):
            return self._refuse(decision.reason, decision.detail, decision.retry_after_ms or 0)
        placements = self._placements(decision.assignments) if decision else ()
        command = commands_pb2.Accept(
            spec=spec_to_pb(spec),
            placements=[placement_to_pb(placement) for placement in placements],
        )
        with self._payload_room.committing(spec):
            proposed = await self.ctx.proposer.propose(accept=command)
        if proposed.is_error():
            return await self._refuse_uncommitted(spec, decision, proposed.error)
        result = proposed.ok
        if not isinstance(result, CommandResult) or result.request is None:
            raise TypeError("the ledger returned no request for an accept command")
        request = result.request
        if result.kind is not CommandResultKind.DONE:
            self._withdraw(spec.id, decision)
            return await self._reply_to_resend(request, spec, wait_ms)
        self.ctx.metrics.accepted(request.spec.urgency.value)
        self.ctx.log.info(events.ACCEPTED, request=request.id, team=spec.team, job=spec.job)
        if placements and request.has_active_attempt:
            self._launch(request)
        elif placements:
            self._requeue_unplaced(request)
        return await self._reply(request, wait_ms)

    async def _refuse_uncommitted(
        self, spec: RequestSpec, decision: Start | None, error: ProposeError
    ) -> cell_pb2.RequestReply:
        if self._driver is not None:
            self._withdraw(spec.id, decision)
        refused = refusal_for_propose_error(error)
        self.ctx.metrics.refused(refused.reason)
        return cell_pb2.RequestReply(refusal=refused)

    def _withdraw(self, request_id: str, decision: Start | None) -> None:
        """Withdraw a request from the scheduler that was not stored as new."""
        if decision is None:
            self.driver().feed(RequestWithdrawn(request_id))
        else:
            self.driver().feed(RequestEnded(request_id, EndReason.CANCELLED, 0))

    def _launch(self, request: Request) -> None:
        workers = [placement.worker for placement in request.placements]
        fields = {"request": request.id, "team": request.spec.team, "attempt": request.attempt}
        self.ctx.log.info(events.PLACED, workers=workers, **fields)
        waited_ms = self.ctx.clock.wall_ms() - request.spec.submitted_wall_ms
        self.ctx.metrics.started(request.spec.urgency.value, max(0, waited_ms))
        self.attempts.launch(request)

    def _placements(self, assignments: tuple[Assignment, ...]) -> tuple[Placement, ...]:
        return tuple(self._placement(assignment) for assignment in assignments)

    def _placement(self, assignment: Assignment) -> Placement:
        registered = self.ctx.machine.registry.get(assignment.worker)
        incarnation = registered.worker.incarnation if registered else ""
        return Placement(assignment.member, assignment.worker, incarnation, assignment.accelerators)

    async def _place(self, decision: Start) -> None:
        """Store the placements of a start decision, and launch the attempt."""
        known = self.ctx.machine.ledger.get(decision.request_id)
        command = commands_pb2.Place(
            request_id=decision.request_id,
            attempt=known.attempt + 1 if known else 1,
            placements=[
                placement_to_pb(placement) for placement in self._placements(decision.assignments)
            ],
        )
        proposed = await self.ctx.proposer.propose(place=command)
        if proposed.is_error() or self._driver is None:
            return
        result = proposed.ok
        placed = (
            result if isinstance(result, CommandResult) else CommandResult(CommandResultKind.STALE)
        )
        if placed.request is not None and placed.kind is CommandResultKind.DONE:
            self._launch(placed.request)
            return
        if placed.request is not None and placed.kind is CommandResultKind.NOT_PLACED:
            self._requeue_unplaced(placed.request)
            return
        self.attempts.discard_pending_stop(decision.request_id)
        self.driver().feed(RequestEnded(decision.request_id, EndReason.CANCELLED, 0))

    def _requeue_unplaced(self, request: Request) -> None:
        """Queue a request again whose placement the ledger dropped, as the zone is evacuated."""
        self._notify_records_changed()
        self.attempts.discard_pending_stop(request.id)
        self.driver().feed(RequestEnded(request.id, EndReason.CANCELLED, 0))
        if request.state is RequestState.ACCEPTED:
            self.driver().feed(RequestQueued(self._pending(request)))

    async def _give_up(self, decision: Reject) -> None:
        command = commands_pb2.GiveUp(
            request_id=decision.request_id,
            reason=decision.reason.value,
            detail=decision.detail,
            wall_ms=self.ctx.clock.wall_ms(),
        )
        proposed = await self.ctx.proposer.propose(give_up=command)
        if (
            proposed.is_ok()
            and isinstance(proposed.ok, CommandResult)
            and proposed.ok.request is not None
        ):
            count_request_end(self.ctx.metrics, proposed.ok.request)

    async def _commit_cancel(self, request_id: str) -> Request | cell_pb2.Refusal:
        command = commands_pb2.RequestCancel(
            request_id=request_id, wall_ms=self.ctx.clock.wall_ms()
        )
        proposed = await self.ctx.proposer.propose(cancel=command)
        if proposed.is_error():
            return refusal_for_propose_error(proposed.error)
        result = proposed.ok
        if not isinstance(result, CommandResult) or result.request is None:
            return _unknown_request_refusal(request_id)
        if result.kind is CommandResultKind.DONE:
            self._execute_cancel(result.request)
        return result.request

    def _execute_cancel(self, request: Request) -> None:
        if request.ended:
            count_request_end(self.ctx.metrics, request)
            self.driver().feed(RequestWithdrawn(request.id))
        else:
            self.attempts.stop(request.id, AttemptOutcome.CANCELLED)

    async def _reply(self, request: Request, wait_ms: int) -> cell_pb2.RequestReply:
        await self.ctx.waiters.wait_until_ended(request, wait_ms)
        view = request_view(request, self.ctx.machine.zone, self.ctx.catalog.evacuation())
        return cell_pb2.RequestReply(view=view)

    def _refuse(self, reason: str, detail: str, retry_after_ms: int = 0) -> cell_pb2.RequestReply:
        self.ctx.metrics.refused(reason)
        return cell_pb2.RequestReply(refusal=refusal(reason, detail, retry_after_ms))

    def _record_quarantine(self, worker: str, lifted: bool, detail: str) -> None:
        self.ctx.metrics.quarantined(lifted)
        if lifted:
            self.quarantined.pop(worker, None)
        else:
            self.quarantined[worker] = detail
        self.ctx.log.warning(events.QUARANTINE, worker=worker, lifted=lifted, detail=detail)

    def _resume_requests(self) -> None:
        """Report every open request to the scheduler, running ones first, and resume attempts."""
        open_requests = list(self.ctx.machine.ledger.open_requests())
        now_ms = self.ctx.clock.now_ms()
        for request in open_requests:
            if request.has_active_attempt:
                self.driver().feed(self._running_event(request, now_ms))
                self.attempts.launch(request, resumed=True)
        for request in open_requests:
            if not request.has_active_attempt:
                self.driver().feed(RequestQueued(self._pending(request)))

    def _running_event(self, request: Request, now_ms: int) -> RequestRunning:
        assignments = tuple(
            Assignment(placement.member, placement.worker, placement.accelerators)
            for placement in request.placements
        )
        return RequestRunning(self._pending(request), assignments, now_ms)

    def _pending(self, request: Request) -> PendingRequest:
        return to_pending_request(request.spec, self.ctx.clock)

    async def _run_periodic_work(self) -> None:
        """Run the periodic work: scheduler ticks, records, silent workers and old requests."""
        forget_at_ms = self.ctx.clock.now_ms() + self.ctx.times.forget_every_ms
        while True:
            await asyncio.sleep(self.ctx.times.tick_ms / 1000)
            self._notify_records_changed()
            self.driver().feed(Tick())
            await self.worker_monitor.mark_silent_workers_lost()
            if self.ctx.clock.now_ms() >= forget_at_ms:
                forget_at_ms = self.ctx.clock.now_ms() + self.ctx.times.forget_every_ms
                await self._forget_old_requests()

    def _notify_records_changed(self) -> None:
        """Report what the records say to the scheduler when a newer revision is in force."""
        revision = self.ctx.machine.records.revision
        if revision == self._notified_revision:
            return
        self._notified_revision = revision
        self._evacuation_notice.log_change()
        self.driver().feed(EvacuationChanged(self.ctx.catalog.evacuation() is not None))
        self.driver().feed(ConfigChanged(self.ctx.catalog.scheduling()))
        self.driver().feed(TeamsChanged(self.ctx.catalog.teams()))

    async def _forget_old_requests(self) -> None:
        before_wall_ms = self.ctx.clock.wall_ms() - self.ctx.times.answer_keep_ms
        oldest = self.ctx.machine.ledger.oldest_end_wall_ms()
        if oldest is not None and oldest < before_wall_ms:
            command = commands_pb2.Forget(ended_before_wall_ms=before_wall_ms)
            await self.ctx.proposer.propose(forget=command)


def _unknown_request_refusal(request_id: str) -> cell_pb2.Refusal:
    detail = f"no request {request_id} is known; it may have expired"
    return refusal(RefusalReason.UNKNOWN_REQUEST, detail)
