"""The attempts that run in a zone, under its leader."""

import asyncio
from collections.abc import Callable

from expression import Result

from agateferry_scheduling.scheduler.messages import EndReason, RequestEnded, RequestQueued
from agateferry_service.cell import events
from agateferry_service.cell.admission import to_pending_request
from agateferry_service.cell.context import CellContext
from agateferry_service.cell.request_metrics import count_request_end
from agateferry_service.cell.scheduler_driver import SchedulerDriver
from agateferry_service.dispatch.attempt import (
    REASON_EVACUATED,
    REASON_WORKER_LOST,
    Attempt,
    Member,
)
from agateferry_service.dispatch.budget import RetryBudget
from agateferry_service.dispatch.client import StartOrder
from agateferry_service.dispatch.messages import AttemptOutcome, AttemptResult
from agateferry_service.requests import (
    CommandResult,
    Placement,
    Request,
    RequestState,
    RunCertainty,
    lease_name,
)
from agateferry_service.requests.state import NO_CHECKPOINT, parse_lease
from agateferry_service.rpc import commands_pb2 as pb
from agateferry_state.replica import ProposeError

MAX_REQUEUE_DELAY_MS = 2_000
BUDGET_EXHAUSTED_DELAY_MS = 5_000
MAX_COUNTED_REQUEUES = 8  # bounds the exponent of the requeue delay
REASONS_WITHOUT_WORKER_FAULT = frozenset(
    {
        "no-capacity",
        "leaving",
        "wrong-incarnation",
        "deadline",
        "deposed",
        "gang-not-reserved",
        REASON_EVACUATED,
    }
)


class AttemptManager:
    """Start the attempts that the log holds, and propose the outcome of each."""

    def __init__(self, ctx: CellContext, driver: Callable[[], SchedulerDriver]) -> None:
        self._ctx = ctx
        self._driver = driver
        self._running: dict[str, Attempt] = {}
        self._pending_stops: dict[str, AttemptOutcome] = {}
        self._requeue_counts: dict[str, int] = {}
        self._retry_budget = RetryBudget(ctx.times.retry_budget_percent)

    def __len__(self) -> int:
        """Return how many attempts are running."""
        return len(self._running)

    def launch(self, request: Request, resumed: bool = False) -> None:
        """Start a request's stored attempt, or resume it after a leader change."""
        ctx = self._ctx
        if request.attempt == 1:
            self._retry_budget.record_first_attempt()
        members = [self._member(request, placement, resumed) for placement in request.placements]
        deadline_wall_ms = request.spec.deadline_wall_ms
        offset_ms = ctx.clock.now_ms() - ctx.clock.wall_ms()
        attempt = Attempt(
            members,
            ctx.workers,
            ctx.clock,
            is_leader=lambda: ctx.replica.is_leader,
            rng=ctx.rng,
            times=ctx.times.attempt,
            deadline_ms=deadline_wall_ms + offset_ms if deadline_wall_ms else None,
            checkpointable=request.spec.checkpointable,
            on_running=lambda: self._record_running(request),
            may_start=lambda: ctx.catalog.evacuation() is None,
        )
        self._running[request.id] = attempt
        pending_stop = self._pending_stops.pop(request.id, None)
        if request.cancelling:
            pending_stop = AttemptOutcome.CANCELLED
        if pending_stop is not None:
            attempt.stop(pending_stop)
        ctx.tasks.spawn(self._run_attempt(request, attempt, request.attempt))

    def stop(self, request_id: str, outcome: AttemptOutcome) -> None:
        """Stop an attempt; one that has not been launched yet is stopped at its launch."""
        attempt = self._running.get(request_id)
        if attempt is not None:
            attempt.stop(outcome)
        elif self._pending_stops.get(request_id) is not AttemptOutcome.CANCELLED:
            self._pending_stops[request_id] = outcome

    def discard_pending_stop(self, request_id: str) -> None:
        """Discard the pending stop of an attempt that was never launched."""
        self._pending_stops.pop(request_id, None)

    def on_lease_report(
        self, lease: str, final: bool, checkpoint_step: int, progress: float
    ) -> None:
        """Pass a report on a lease to its attempt, which polls at once if the lease ended."""
        parsed = parse_lease(lease)
        attempt = self._running.get(parsed[0]) if parsed else None
        if parsed is None or attempt is None:
            return
        attempt.on_lease_report(lease, final)
        request = self._ctx.machine.ledger.get(parsed[0])
        is_single_member = len(attempt.members) == 1
        if request is not None and is_single_member and checkpoint_step > request.checkpoint_step:
            self._spawn_progress(request, progress, checkpoint_step)

    def on_worker_lost(self, worker: str, detail: str) -> None:
        """Fail the members of all attempts that run on a lost worker."""
        for attempt in self._running.values():
            attempt.on_worker_lost(worker, detail)

    def _member(self, request: Request, placement: Placement, resumed: bool) -> Member:
        registered = self._ctx.machine.registry.get(placement.worker)
        address = registered.worker.address if registered else ""
        spec = request.spec
        wall_ms = self._ctx.clock.wall_ms()
        remaining_ms = max(0, spec.deadline_wall_ms - wall_ms) if spec.deadline_wall_ms else None
        order = StartOrder(
            lease=lease_name(request.id, request.attempt, placement.member),
            request_id=request.id,
            attempt=request.attempt,
            member=placement.member,
            members=spec.demand.members,
            accelerators=placement.accelerators,
            cpu_cores=spec.demand.cpu_cores,
            memory_mb=spec.demand.memory_mb,
            incarnation=placement.incarnation,
            job=spec.job,
            team=spec.team,
            payload=spec.payload,
            checkpoint_step=request.checkpoint_step,
            deadline_ms=remaining_ms,
        )
        has_run = resumed and request.state is RequestState.RUNNING
        return Member(order, placement.worker, address, sent=resumed, has_run=has_run)

    def _record_running(self, request: Request) -> None:
        if request.state is RequestState.PLACED:
            self._spawn_progress(request, 0.0, NO_CHECKPOINT)

    def _spawn_progress(self, request: Request, progress: float, checkpoint_step: int) -> None:
        command = pb.Progress(
            request_id=request.id,
            attempt=request.attempt,
            progress=progress,
            checkpoint_step=checkpoint_step,
        )
        self._ctx.tasks.spawn(self._ctx.proposer.propose(progress=command))

    async def _run_attempt(self, request: Request, attempt: Attempt, attempt_number: int) -> None:
        result = await attempt.run()
        self._running.pop(request.id, None)
        if result.outcome is AttemptOutcome.ABANDONED:
            self._ctx.proposer.mark_outcome_uncertain()
            return
        if result.outcome is AttemptOutcome.FINISHED:
            command_result = await self._propose_finish(request, attempt_number, result)
        else:
            command_result = await self._propose_failure(request, attempt_number, result)
        if command_result is None:
            return
        run_ms = self._ctx.clock.now_ms() - attempt.started_ms
        self._notify_scheduler(request, result, run_ms)
        self._record_outcome(request, result)
        if request.state is RequestState.ACCEPTED:
            self._requeue(request, result)
        else:
            self._requeue_counts.pop(request.id, None)

    async def _propose_finish(
        self, request: Request, attempt_number: int, result: AttemptResult
    ) -> CommandResult | None:
        command = pb.Finish(
            request_id=request.id,
            attempt=attempt_number,
            answers=result.answers,
            wall_ms=self._ctx.clock.wall_ms(),
        )
        return self._command_result(request, await self._ctx.proposer.propose(finish=command))

    async def _propose_failure(
        self, request: Request, attempt_number: int, result: AttemptResult
    ) -> CommandResult | None:
        command = pb.AttemptFailed(
            request_id=request.id,
            attempt=attempt_number,
            reason=result.reason,
            detail=result.detail,
            run=result.run.value,
            wall_ms=self._ctx.clock.wall_ms(),
            checkpoint_step=result.checkpoint_step,
            counts=result.counts_as_failure,
            progress=result.progress,
        )
        return self._command_result(
            request, await self._ctx.proposer.propose(attempt_failed=command)
        )

    def _command_result(
        self, request: Request, proposed: Result[object, ProposeError]
    ) -> CommandResult | None:
        if proposed.is_error():
            fields = {"kind": proposed.error.kind.value, "detail": proposed.error.detail}
            self._ctx.log.warning(events.OUTCOME_UNKNOWN, request=request.id, **fields)
            return None
        return proposed.ok if isinstance(proposed.ok, CommandResult) else None

    def _notify_scheduler(self, request: Request, result: AttemptResult, run_ms: int) -> None:
        reason = _scheduler_end_reason(result)
        failed_workers = result.failed_workers if reason is EndReason.FAILED else ()
        self._driver().feed(RequestEnded(request.id, reason, run_ms, failed_workers))

    def _record_outcome(self, request: Request, result: AttemptResult) -> None:
        fields = {
            "request": request.id,
            "team": request.spec.team,
            "attempt": request.attempt,
            "reason": result.reason,
            "run": result.run.value,
            "workers": list(result.failed_workers),
            "detail": result.detail,
        }
        if result.outcome is AttemptOutcome.PREEMPTED:
            self._ctx.metrics.preempted(request.spec.urgency.value)
        if result.outcome is AttemptOutcome.FAILED:
            self._ctx.log.warning(events.ATTEMPT_FAILED, **fields)
        if request.ended:
            count_request_end(self._ctx.metrics, request)
            self._ctx.log.info(
                events.ENDED, request=request.id, team=request.spec.team, state=request.state.value
            )
        elif request.state is RequestState.ACCEPTED:
            self._ctx.metrics.retried(result.reason)

    def _requeue(self, request: Request, result: AttemptResult) -> None:
        """Queue a request again, after an exponential delay unless it was preempted.

        A request that may have run also spends retry budget, and waits longer when none is left.
        """
        if result.outcome is AttemptOutcome.PREEMPTED:
            self._driver().feed(RequestQueued(to_pending_request(request.spec, self._ctx.clock)))
            return
        requeues = self._requeue_counts.get(request.id, 0) + 1
        self._requeue_counts[request.id] = min(requeues, MAX_COUNTED_REQUEUES)
        jitter = self._ctx.rng.uniform(0.5, 1.5)
        delay_ms = (
            min(MAX_REQUEUE_DELAY_MS, self._ctx.times.requeue_ms * 2 ** (requeues - 1)) * jitter
        )
        if result.run is not RunCertainty.NOT_RUN and not self._retry_budget.try_spend():
            delay_ms = BUDGET_EXHAUSTED_DELAY_MS * jitter
            self._ctx.metrics.retried("budget-exhausted")
        self._ctx.tasks.spawn(self._requeue_later(request, delay_ms))

    async def _requeue_later(self, request: Request, delay_ms: float) -> None:
        await asyncio.sleep(delay_ms / 1000)
        if request.state is RequestState.ACCEPTED:
            self._driver().feed(RequestQueued(to_pending_request(request.spec, self._ctx.clock)))


def _scheduler_end_reason(result: AttemptResult) -> EndReason:
    match result.outcome:
        case AttemptOutcome.FINISHED:
            return EndReason.FINISHED
        case AttemptOutcome.CANCELLED:
            return EndReason.CANCELLED
        case AttemptOutcome.PREEMPTED:
            return EndReason.PREEMPTED
    if result.reason == REASON_WORKER_LOST:
        return EndReason.WORKER_LOST
    no_worker_fault = result.reason in REASONS_WITHOUT_WORKER_FAULT
    return EndReason.CANCELLED if no_worker_fault else EndReason.FAILED
