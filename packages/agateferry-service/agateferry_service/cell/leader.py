"""What the leader of a zone's cell does: admit, place, dispatch and answer.

A leader begins with what the cell's log says and keeps nothing of its own that the next leader
would miss: the scheduler and the attempts are rebuilt from the ledger each time.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from agateferry_core.demand import Assignment
from agateferry_scheduling.scheduler.messages import (
    ConfigChanged,
    Decision,
    EndReason,
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
from agateferry_service.cell.admission import Admission, pending_of
from agateferry_service.cell.attempts import Attempts
from agateferry_service.cell.context import CellContext
from agateferry_service.cell.counting import count_end
from agateferry_service.cell.decider import Decider, EventRecord
from agateferry_service.cell.proposer import refusal_for_propose_error
from agateferry_service.cell.refusals import RefusalReason, refusal
from agateferry_service.cell.watch import WorkerWatch
from agateferry_service.dispatch.messages import AttemptEnd
from agateferry_service.requests import Outcome, OutcomeKind, Placement, Request, RequestSpec
from agateferry_service.requests.codec import placement_to_pb, spec_to_pb, view_to_pb
from agateferry_service.rpc import cell_pb2, commands_pb2
from agateferry_state.replica import ProposeError

SchedulerMaker = Callable[[str], Scheduler]


class CellLeader:
    """Serve a zone while this host leads its cell."""

    def __init__(
        self, ctx: CellContext, make_scheduler: SchedulerMaker, record: EventRecord | None = None
    ) -> None:
        self.ctx = ctx
        self._record = record
        self._make_scheduler = make_scheduler
        self._decider: Decider | None = None
        self.attempts = Attempts(ctx, self.decider)
        self.watch = WorkerWatch(ctx, self.attempts, self.decider)
        self.quarantined: dict[str, str] = {}
        self.at_risk: tuple[str, ...] = ()
        self.background_tasks: list[Callable[[], Coroutine[Any, Any, None]]] = []
        self._revision_told = -1

    @property
    def active(self) -> bool:
        """Tell whether this host serves as the leader now."""
        return self._decider is not None and self.ctx.replica.is_leader

    def decider(self) -> Decider:
        """Return the scheduler's driver; there is one only while this host leads."""
        if self._decider is None:
            raise RuntimeError("the scheduler was asked for while this host does not lead")
        return self._decider

    async def begin(self) -> bool:
        """Take up what the log says; return False when leadership was lost meanwhile.

        A command that changes nothing goes through the log first, so that every command which this
        host proposed before and whose outcome it did not learn has been applied or never will be.
        """
        settle = commands_pb2.Forget(ended_before_wall_ms=0)
        if (await self.ctx.proposer.propose(forget=settle)).is_error():
            return False
        self.attempts = Attempts(self.ctx, self.decider)
        self.watch = WorkerWatch(self.ctx, self.attempts, self.decider)
        scheduler = self._make_scheduler(self.ctx.machine.zone)
        self._decider = Decider(scheduler, self.ctx.clock, self, self._record)
        self.ctx.log.info(events.LEADING, term=self.ctx.replica.term)
        self._tell_records()
        self.watch.begin()
        self._resume_requests()
        for work in (self._tick_for_ever, *self.background_tasks):
            self.ctx.tasks.spawn(work())
        return True

    async def end(self) -> None:
        """Drop all that belongs to leading; what runs on workers goes on."""
        if self._decider is None:
            return
        await self.ctx.tasks.cancel_all()
        self._decider = None
        self._revision_told = -1
        self.ctx.log.info(events.NOT_LEADING)

    async def submit(self, req: cell_pb2.SubmitRequest) -> cell_pb2.RequestReply:
        """Admit a request, store it and, if asked, wait for its end."""
        self._tell_records()
        admitted = self._admission().admit(req)
        if isinstance(admitted, cell_pb2.Refusal):
            return cell_pb2.RequestReply(refusal=admitted)
        known = self._known(admitted)
        if known is not None:
            return await self._reply_to_resend(known, admitted, req.wait_ms)
        return await self._store_new(admitted, req.wait_ms)

    async def get_request(self, req: cell_pb2.LookRequest) -> cell_pb2.RequestReply:
        """Return a request, at its end or after the wait that was asked for."""
        request = self.ctx.machine.ledger.get(req.request_id)
        if request is None:
            return _unknown(req.request_id)
        return await self._reply(request, req.wait_ms)

    async def cancel(self, req: cell_pb2.CancelRequest) -> cell_pb2.RequestReply:
        """Cancel a request and return it with the stage that it had reached."""
        command = commands_pb2.RequestCancel(
            request_id=req.request_id, wall_ms=self.ctx.clock.wall_ms()
        )
        result = await self.ctx.proposer.propose(cancel=command)
        if result.is_error():
            return cell_pb2.RequestReply(refusal=refusal_for_propose_error(result.error))
        outcome = result.ok
        if not isinstance(outcome, Outcome) or outcome.request is None:
            return _unknown(req.request_id)
        request = outcome.request
        if outcome.kind is OutcomeKind.DONE:
            self._carry_out_cancel(request)
        return await self._reply(request, self.ctx.times.cancel_wait_ms)

    def carry_out(self, decision: Decision) -> None:
        """Begin to carry out one decision of the scheduler."""
        match decision:
            case Start():
                self.ctx.tasks.spawn(self._place(decision))
            case Preempt(request_id=request_id, for_request_id=for_id):
                self.ctx.log.info(events.PREEMPTING, request=request_id, for_request=for_id)
                self.attempts.stop(request_id, AttemptEnd.PREEMPTED)
            case Reject():
                self.ctx.tasks.spawn(self._give_up(decision))
            case Quarantine(worker=worker, lifted=lifted, detail=detail):
                self._note_quarantine(worker, lifted, detail)
            case GuaranteeAtRisk(teams=teams, detail=detail):
                self.at_risk = teams
                self.ctx.log.warning(events.GUARANTEE_AT_RISK, teams=list(teams), detail=detail)

    def _admission(self) -> Admission:
        return Admission(self.ctx.catalog, self.ctx.clock)

    def _known(self, spec: RequestSpec) -> Request | None:
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

    async def _store_new(self, spec: RequestSpec, wait_ms: int) -> cell_pb2.RequestReply:
        """Ask the scheduler first, so that a refusal stores nothing, and store what it decided."""
        decision = self.decider().feed_new(pending_of(spec, self.ctx.clock))
        if isinstance(decision, Reject):
            return self._refuse(decision.reason, decision.detail, decision.retry_after_ms or 0)
        placements = self._placements(decision.assignments) if decision else ()
        command = commands_pb2.Accept(
            spec=spec_to_pb(spec), placements=[placement_to_pb(place) for place in placements]
        )
        result = await self.ctx.proposer.propose(accept=command)
        if result.is_error():
            return await self._refuse_unstored(spec, decision, result.error)
        outcome = result.ok
        if not isinstance(outcome, Outcome) or outcome.request is None:
            raise TypeError("the ledger gave no outcome for an accepted request")
        request = outcome.request
        if outcome.kind is not OutcomeKind.DONE:
            self._retract(spec.id, decision)
            return await self._reply_to_resend(request, spec, wait_ms)
        self.ctx.metrics.accepted(request.spec.urgency.value)
        self.ctx.log.info(events.ACCEPTED, request=request.id, team=spec.team, job=spec.job)
        if placements:
            self._launch(request)
        return await self._reply(request, wait_ms)

    async def _refuse_unstored(
        self, spec: RequestSpec, decision: Start | None, error: ProposeError
    ) -> cell_pb2.RequestReply:
        if self._decider is not None:
            self._retract(spec.id, decision)
        refused = refusal_for_propose_error(error)
        self.ctx.metrics.refused(refused.reason)
        return cell_pb2.RequestReply(refusal=refused)

    def _retract(self, request_id: str, decision: Start | None) -> None:
        """Take back what the scheduler was told of a request that did not come about."""
        if decision is None:
            self.decider().feed(RequestWithdrawn(request_id))
        else:
            self.decider().feed(RequestEnded(request_id, EndReason.CANCELLED, 0))

    def _launch(self, request: Request) -> None:
        workers = [place.worker for place in request.placements]
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
        """Store the intent that a decision to start gives, and begin the attempt."""
        known = self.ctx.machine.ledger.get(decision.request_id)
        command = commands_pb2.Place(
            request_id=decision.request_id,
            attempt=known.attempt + 1 if known else 1,
            placements=[placement_to_pb(p) for p in self._placements(decision.assignments)],
        )
        result = await self.ctx.proposer.propose(place=command)
        if result.is_error() or self._decider is None:
            return
        outcome = result.ok
        placed = outcome if isinstance(outcome, Outcome) else Outcome(OutcomeKind.STALE)
        if placed.request is not None and placed.kind is OutcomeKind.DONE:
            self._launch(placed.request)
            return
        self.attempts.forget_stop(decision.request_id)
        self.decider().feed(RequestEnded(decision.request_id, EndReason.CANCELLED, 0))

    async def _give_up(self, decision: Reject) -> None:
        command = commands_pb2.GiveUp(
            request_id=decision.request_id,
            reason=decision.reason.value,
            detail=decision.detail,
            wall_ms=self.ctx.clock.wall_ms(),
        )
        result = await self.ctx.proposer.propose(give_up=command)
        if result.is_ok() and isinstance(result.ok, Outcome) and result.ok.request is not None:
            count_end(self.ctx.metrics, result.ok.request)

    def _carry_out_cancel(self, request: Request) -> None:
        if request.ended:
            count_end(self.ctx.metrics, request)
            self.decider().feed(RequestWithdrawn(request.id))
        else:
            self.attempts.stop(request.id, AttemptEnd.CANCELLED)

    async def _reply(self, request: Request, wait_ms: int) -> cell_pb2.RequestReply:
        await self.ctx.waiters.until_ended(request, wait_ms)
        return cell_pb2.RequestReply(view=view_to_pb(request))

    def _refuse(self, reason: str, detail: str, retry_after_ms: int = 0) -> cell_pb2.RequestReply:
        self.ctx.metrics.refused(reason)
        return cell_pb2.RequestReply(refusal=refusal(reason, detail, retry_after_ms))

    def _note_quarantine(self, worker: str, lifted: bool, detail: str) -> None:
        self.ctx.metrics.quarantined(lifted)
        if lifted:
            self.quarantined.pop(worker, None)
        else:
            self.quarantined[worker] = detail
        self.ctx.log.warning(events.QUARANTINE, worker=worker, lifted=lifted, detail=detail)

    def _resume_requests(self) -> None:
        """Tell the scheduler of every request that has no end yet, those that run first."""
        unended = list(self.ctx.machine.ledger.unended())
        now_ms = self.ctx.clock.now_ms()
        for request in unended:
            if request.holds_workers:
                self.decider().feed(self._running_event(request, now_ms))
                self.attempts.launch(request, resumed=True)
        for request in unended:
            if not request.holds_workers:
                self.decider().feed(RequestQueued(self._pending(request)))

    def _running_event(self, request: Request, now_ms: int) -> RequestRunning:
        assignments = tuple(
            Assignment(place.member, place.worker, place.accelerators)
            for place in request.placements
        )
        return RequestRunning(self._pending(request), assignments, now_ms)

    def _pending(self, request: Request) -> PendingRequest:
        return pending_of(request.spec, self.ctx.clock)

    async def _tick_for_ever(self) -> None:
        """Let time pass for the scheduler, silent workers, records and old answers."""
        forget_at_ms = self.ctx.clock.now_ms() + self.ctx.times.forget_every_ms
        while True:
            await asyncio.sleep(self.ctx.times.tick_ms / 1000)
            self._tell_records()
            self.decider().feed(Tick())
            await self.watch.lose_silent()
            if self.ctx.clock.now_ms() >= forget_at_ms:
                forget_at_ms = self.ctx.clock.now_ms() + self.ctx.times.forget_every_ms
                await self._forget_old()

    def _tell_records(self) -> None:
        """Tell the scheduler of teams and configuration when a newer revision is in force."""
        revision = self.ctx.machine.records.revision
        if revision == self._revision_told:
            return
        self._revision_told = revision
        self.decider().feed(ConfigChanged(self.ctx.catalog.scheduling()))
        self.decider().feed(TeamsChanged(self.ctx.catalog.teams()))

    async def _forget_old(self) -> None:
        before_wall_ms = self.ctx.clock.wall_ms() - self.ctx.times.answer_keep_ms
        oldest = self.ctx.machine.ledger.oldest_end_wall_ms()
        if oldest is not None and oldest < before_wall_ms:
            command = commands_pb2.Forget(ended_before_wall_ms=before_wall_ms)
            await self.ctx.proposer.propose(forget=command)


def _unknown(request_id: str) -> cell_pb2.RequestReply:
    detail = f"no request {request_id} is known; it may have been forgotten"
    return cell_pb2.RequestReply(refusal=refusal(RefusalReason.UNKNOWN_REQUEST, detail))
