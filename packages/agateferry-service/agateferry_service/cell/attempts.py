"""The attempts that are under way in a zone."""

import asyncio
from collections.abc import Callable

from expression import Result

from agateferry_scheduling.scheduler.messages import EndReason, RequestEnded, RequestQueued
from agateferry_service.cell import events
from agateferry_service.cell.admission import pending_of
from agateferry_service.cell.context import CellContext
from agateferry_service.cell.counting import count_end
from agateferry_service.cell.decider import Decider
from agateferry_service.dispatch.attempt import REASON_WORKER_LOST, Attempt, Member
from agateferry_service.dispatch.budget import RetryBudget
from agateferry_service.dispatch.client import StartOrder
from agateferry_service.dispatch.messages import AttemptEnd, AttemptResult
from agateferry_service.requests import Outcome, Placement, Request, RequestState, Run, lease_name
from agateferry_service.requests.state import NO_CHECKPOINT, parse_lease
from agateferry_service.rpc import commands_pb2 as pb
from agateferry_state.replica import ProposeError

MAX_REQUEUE_MS = 2_000
BUDGET_PAUSE_MS = 5_000
MAX_QUICK_FAILURES = 8
BLAMELESS_REASONS = frozenset(
    {"no-capacity", "leaving", "wrong-incarnation", "deadline", "deposed", "gang-not-reserved"}
)


class Attempts:
    """Begin attempts whose intent is stored, and store how each ended."""

    def __init__(self, ctx: CellContext, decider: Callable[[], Decider]) -> None:
        self._ctx = ctx
        self._decider = decider
        self._running: dict[str, Attempt] = {}
        self._stop_wishes: dict[str, AttemptEnd] = {}
        self._refusals: dict[str, int] = {}
        self._budget = RetryBudget(ctx.times.retry_budget_percent)

    def __len__(self) -> int:
        """Return how many attempts are under way."""
        return len(self._running)

    def launch(self, request: Request, resumed: bool = False) -> None:
        """Begin, or take up again, the attempt that the ledger holds for a request."""
        ctx = self._ctx
        if request.attempt == 1:
            self._budget.note_first()
        members = [self._member(request, place, resumed) for place in request.placements]
        deadline_wall_ms = request.spec.deadline_wall_ms
        offset_ms = ctx.clock.now_ms() - ctx.clock.wall_ms()
        attempt = Attempt(
            members,
            ctx.workers,
            ctx.clock,
            may_act=lambda: ctx.replica.is_leader,
            rng=ctx.rng,
            times=ctx.times.attempt,
            deadline_ms=deadline_wall_ms + offset_ms if deadline_wall_ms else None,
            checkpointable=request.spec.checkpointable,
            on_running=lambda: self._note_running(request),
        )
        self._running[request.id] = attempt
        wish = self._stop_wishes.pop(request.id, None)
        if request.cancelling:
            wish = AttemptEnd.CANCELLED
        if wish is not None:
            attempt.stop(wish)
        ctx.tasks.spawn(self._see_through(request, attempt, request.attempt))

    def stop(self, request_id: str, end: AttemptEnd) -> None:
        """Stop an attempt, also one whose intent is not stored yet."""
        attempt = self._running.get(request_id)
        if attempt is not None:
            attempt.stop(end)
        elif self._stop_wishes.get(request_id) is not AttemptEnd.CANCELLED:
            self._stop_wishes[request_id] = end

    def forget_stop(self, request_id: str) -> None:
        """Drop a wish to stop an attempt that never came about."""
        self._stop_wishes.pop(request_id, None)

    def notify(self, lease: str, final: bool, checkpoint_step: int, progress: float) -> None:
        """Take in what a worker announced of a lease; a final one is looked at now."""
        parsed = parse_lease(lease)
        attempt = self._running.get(parsed[0]) if parsed else None
        if parsed is None or attempt is None:
            return
        attempt.notify(lease, final)
        request = self._ctx.machine.ledger.get(parsed[0])
        alone = len(attempt.members) == 1
        if request is not None and alone and checkpoint_step > request.checkpoint_step:
            self._spawn_progress(request, progress, checkpoint_step)

    def lose_worker(self, worker: str, detail: str) -> None:
        """Tell every attempt on a worker that it is gone."""
        for attempt in self._running.values():
            attempt.lose_worker(worker, detail)

    def _member(self, request: Request, place: Placement, resumed: bool) -> Member:
        registered = self._ctx.machine.registry.get(place.worker)
        address = registered.worker.address if registered else ""
        spec = request.spec
        wall_ms = self._ctx.clock.wall_ms()
        remaining_ms = max(0, spec.deadline_wall_ms - wall_ms) if spec.deadline_wall_ms else None
        order = StartOrder(
            lease=lease_name(request.id, request.attempt, place.member),
            request_id=request.id,
            attempt=request.attempt,
            member=place.member,
            members=spec.demand.members,
            accelerators=place.accelerators,
            cpu_cores=spec.demand.cpu_cores,
            memory_mb=spec.demand.memory_mb,
            incarnation=place.incarnation,
            job=spec.job,
            team=spec.team,
            payload=spec.payload,
            checkpoint_step=request.checkpoint_step,
            deadline_ms=remaining_ms,
        )
        ran = resumed and request.state is RequestState.RUNNING
        return Member(order, place.worker, address, sent=resumed, ran=ran)

    def _note_running(self, request: Request) -> None:
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

    async def _see_through(self, request: Request, attempt: Attempt, number: int) -> None:
        result = await attempt.run()
        self._running.pop(request.id, None)
        if result.end is AttemptEnd.ABANDONED:
            self._ctx.proposer.doubt()
            return
        if result.end is AttemptEnd.FINISHED:
            outcome = await self._propose_finish(request, number, result)
        else:
            outcome = await self._propose_failure(request, number, result)
        if outcome is None:
            return
        run_ms = self._ctx.clock.now_ms() - attempt.started_ms
        self._tell_scheduler(request, result, run_ms)
        self._count(request, result)
        if request.state is RequestState.ACCEPTED:
            self._requeue(request, result)
        else:
            self._refusals.pop(request.id, None)

    async def _propose_finish(
        self, request: Request, number: int, result: AttemptResult
    ) -> Outcome | None:
        command = pb.Finish(
            request_id=request.id,
            attempt=number,
            answers=result.answers,
            wall_ms=self._ctx.clock.wall_ms(),
        )
        return self._outcome(request, await self._ctx.proposer.propose(finish=command))

    async def _propose_failure(
        self, request: Request, number: int, result: AttemptResult
    ) -> Outcome | None:
        command = pb.AttemptFailed(
            request_id=request.id,
            attempt=number,
            reason=result.reason,
            detail=result.detail,
            run=result.run.value,
            wall_ms=self._ctx.clock.wall_ms(),
            checkpoint_step=result.checkpoint_step,
            counts=result.counts,
            progress=result.progress,
        )
        return self._outcome(request, await self._ctx.proposer.propose(attempt_failed=command))

    def _outcome(self, request: Request, result: Result[object, ProposeError]) -> Outcome | None:
        if result.is_error():
            fields = {"kind": result.error.kind.value, "detail": result.error.detail}
            self._ctx.log.warning(events.PROPOSAL_FAILED, request=request.id, **fields)
            return None
        return result.ok if isinstance(result.ok, Outcome) else None

    def _tell_scheduler(self, request: Request, result: AttemptResult, run_ms: int) -> None:
        reason = _end_reason(result)
        blamed = result.failed_workers if reason is EndReason.FAILED else ()
        self._decider().feed(RequestEnded(request.id, reason, run_ms, blamed))

    def _count(self, request: Request, result: AttemptResult) -> None:
        fields = {
            "request": request.id,
            "team": request.spec.team,
            "attempt": request.attempt,
            "reason": result.reason,
            "run": result.run.value,
            "workers": list(result.failed_workers),
            "detail": result.detail,
        }
        if result.end is AttemptEnd.PREEMPTED:
            self._ctx.metrics.preempted(request.spec.urgency.value)
        if result.end is AttemptEnd.FAILED:
            self._ctx.log.warning(events.ATTEMPT_FAILED, **fields)
        if request.ended:
            count_end(self._ctx.metrics, request)
            self._ctx.log.info(
                events.ENDED, request=request.id, team=request.spec.team, state=request.state.value
            )
        elif request.state is RequestState.ACCEPTED:
            self._ctx.metrics.retried(result.reason)

    def _requeue(self, request: Request, result: AttemptResult) -> None:
        """Queue a request again, the later the more often workers refused it."""
        if result.end is AttemptEnd.PREEMPTED:
            self._decider().feed(RequestQueued(pending_of(request.spec, self._ctx.clock)))
            return
        tries = self._refusals.get(request.id, 0) + 1
        self._refusals[request.id] = min(tries, MAX_QUICK_FAILURES)
        spread = self._ctx.rng.uniform(0.5, 1.5)
        delay_ms = min(MAX_REQUEUE_MS, self._ctx.times.requeue_ms * 2 ** (tries - 1)) * spread
        if result.run is not Run.NOT_RUN and not self._budget.take():
            delay_ms = BUDGET_PAUSE_MS * spread
            self._ctx.metrics.retried("budget-exhausted")
        self._ctx.tasks.spawn(self._requeue_later(request, delay_ms))

    async def _requeue_later(self, request: Request, delay_ms: float) -> None:
        await asyncio.sleep(delay_ms / 1000)
        if request.state is RequestState.ACCEPTED:
            self._decider().feed(RequestQueued(pending_of(request.spec, self._ctx.clock)))


def _end_reason(result: AttemptResult) -> EndReason:
    match result.end:
        case AttemptEnd.FINISHED:
            return EndReason.FINISHED
        case AttemptEnd.CANCELLED:
            return EndReason.CANCELLED
        case AttemptEnd.PREEMPTED:
            return EndReason.PREEMPTED
    if result.reason == REASON_WORKER_LOST:
        return EndReason.WORKER_LOST
    blameless = result.reason in BLAMELESS_REASONS
    return EndReason.CANCELLED if blameless else EndReason.FAILED
