"""One attempt of a request: reserve on all workers, start all members and follow their leases.

An attempt's placements are in the cell's log before it starts, so the next leader can resume it:
calls are idempotent per lease, and every leader uses the same lease names. An attempt stores
nothing itself; its caller proposes the result to the log.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from expression import Error, Result

from agateferry_core.clock import Clock
from agateferry_service.dispatch.client import StartOrder, WorkerCalls
from agateferry_service.dispatch.messages import (
    AttemptOutcome,
    AttemptResult,
    LeaseState,
    LeaseView,
    WorkerError,
    WorkerErrorKind,
)
from agateferry_service.requests.state import NO_CHECKPOINT, RunCertainty

REASON_WORKER_LOST = "worker-lost"
REASON_DEADLINE = "deadline"
REASON_EVACUATED = "zone-evacuated"
STATES_PROVING_RUN = frozenset({LeaseState.RUNNING, LeaseState.FINISHED, LeaseState.FAILED})


@dataclass(frozen=True, slots=True)
class AttemptTimes:
    """The time limits of an attempt's calls.

    `start_wait_ms` is how long a start call waits for a short task to end; `resolve_timeout_ms`
    bounds the search for the state of a lease after a lost reply; `poll_interval_ms` is how often a
    lease is polled that no heartbeat reports; `reservation_ttl_ms` is a reservation's lifetime;
    `hold_poll_interval_ms` is how often a lease is polled whose start an evacuation holds back.
    """

    start_wait_ms: int = 1_500
    resolve_timeout_ms: int = 6_000
    backoff_ms: int = 100
    poll_interval_ms: int = 60_000
    reservation_ttl_ms: int = 10_000
    hold_poll_interval_ms: int = 500


@dataclass(slots=True)
class Member:
    """One member of an attempt: its order, its worker and the last known state of its lease.

    `sent` tells whether a start call may have reached the worker, also from an earlier leader.
    """

    order: StartOrder
    worker: str
    address: str
    sent: bool = False
    has_run: bool = False
    view: LeaseView | None = None
    error: WorkerError | None = None
    last_report_ms: int = 0
    end_reported: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def finished(self) -> bool:
        """Return whether the member has its answer."""
        return self.view is not None and self.view.state is LeaseState.FINISHED

    @property
    def failed(self) -> bool:
        """Return whether the member cannot get an answer any more."""
        ended_without_answer = self.view is not None and self.view.final and not self.finished
        return ended_without_answer or self.error is not None

    @property
    def done(self) -> bool:
        """Return whether the member has finished or failed."""
        return self.finished or self.failed

    def update(self, view: LeaseView) -> None:
        """Store the state of the lease from a worker's reply."""
        self.view = view
        if view.state in STATES_PROVING_RUN or view.progress > 0:
            self.has_run = True

    @property
    def run(self) -> RunCertainty:
        """Return whether this member ran, as far as is known."""
        if self.has_run:
            return RunCertainty.RAN
        return RunCertainty.MAY_HAVE_RUN if self.sent else RunCertainty.NOT_RUN


class Attempt:
    """Run one attempt.

    `is_leader` is checked before each call that changes state on a worker, and `may_start` before
    each call that reserves or starts, also before it is sent again: it is false while the zone is
    evacuated.
    """

    def __init__(
        self,
        members: Sequence[Member],
        calls: WorkerCalls,
        clock: Clock,
        is_leader: Callable[[], bool],
        rng: random.Random,
        times: AttemptTimes = AttemptTimes(),
        deadline_ms: int | None = None,
        checkpointable: bool = False,
        on_running: Callable[[], None] = lambda: None,
        may_start: Callable[[], bool] = lambda: True,
    ) -> None:
        self.members = tuple(members)
        self.started_ms = clock.now_ms()
        self._calls = calls
        self._clock = clock
        self._is_leader = is_leader
        self._rng = rng
        self._times = times
        self._deadline_ms = deadline_ms
        self._checkpointable = checkpointable
        self._on_running = on_running
        self._may_start = may_start
        self._wake = asyncio.Event()
        self._stop_outcome: AttemptOutcome | None = None
        self._abandoned = False
        self._member_tasks: list[asyncio.Task[None]] = []

    async def run(self) -> AttemptResult:
        """Reserve and start all members, and return the result once the attempt has ended."""
        try:
            if len(self.members) > 1 and not await self._reserve_all():
                return await self._cancel_reservations()
            self._member_tasks = [
                asyncio.create_task(self._run_member(member)) for member in self.members
            ]
            await self._wait_until_decided()
            return await self._conclude()
        finally:
            await self._cancel_member_tasks()

    def stop(self, outcome: AttemptOutcome) -> None:
        """Request a stop for a cancellation or a preemption; a cancellation takes precedence."""
        if self._stop_outcome is not AttemptOutcome.CANCELLED:
            self._stop_outcome = outcome
        self._wake.set()

    def on_lease_report(self, lease: str, final: bool) -> None:
        """Process a worker's report on a lease; a lease that has ended is polled at once."""
        for member in self.members:
            if member.order.lease == lease:
                member.last_report_ms = self._clock.now_ms()
                if final:
                    member.end_reported.set()

    def on_worker_lost(self, worker: str, detail: str) -> None:
        """Fail the members on a worker that is lost or has restarted without their leases."""
        for member in self.members:
            if member.worker == worker and not member.finished and member.error is None:
                kind = WorkerErrorKind.SILENT
                member.error = WorkerError(kind, REASON_WORKER_LOST, detail)
        self._wake.set()

    async def _reserve_all(self) -> bool:
        replies = await asyncio.gather(*(self._reserve(member) for member in self.members))
        return all(replies) and self._stop_outcome is None

    async def _reserve(self, member: Member) -> bool:
        if not self._check_leadership():
            return False
        match await self._reserve_or_poll(member):
            case Result(tag="ok", ok=view):
                if view.state is not LeaseState.RESERVED:
                    member.update(view)
                return True
            case Result(error=error):
                member.error = error
        return False

    async def _reserve_or_poll(self, member: Member) -> Result[LeaseView, WorkerError]:
        """Reserve for a member, or only poll a lease that an earlier leader may have started."""
        if self._may_start():
            ttl_ms = self._times.reservation_ttl_ms
            return await self._calls.reserve(member.address, member.order, ttl_ms)
        return await self._get_lease(member) if member.sent else _refused_as_evacuated()

    def _check_leadership(self) -> bool:
        """Return whether this host leads; if not, abandon the attempt without touching its leases.

        A deposed leader must not start or stop anything, and must not report an outcome for an
        attempt that has not ended: part of a gang would be left running.
        """
        if not self._is_leader():
            self._abandoned = True
            self._wake.set()
        return not self._abandoned

    async def _cancel_reservations(self) -> AttemptResult:
        await asyncio.gather(*(self._stop_member(member) for member in self.members))
        outcome = self._stop_outcome or AttemptOutcome.FAILED
        return self._summarize(outcome, "gang-not-reserved")

    async def _run_member(self, member: Member) -> None:
        """Start a member and follow its lease until the member has finished or failed."""
        self._apply_reply(member, await self._start_member(member))
        while not member.done:
            if await self._is_poll_due(member):
                self._apply_reply(member, await self._get_lease(member))
        self._wake.set()

    def _apply_reply(self, member: Member, reply: Result[LeaseView, WorkerError]) -> None:
        match reply:
            case Result(tag="ok", ok=view):
                member.update(view)
                self._report_running()
            case Result(error=error):
                member.error = error

    def _report_running(self) -> None:
        views = [member.view for member in self.members]
        if all(view is not None for view in views) and not self._all_finished():
            self._on_running()

    async def _is_poll_due(self, member: Member) -> bool:
        """Wait for a report that the lease ended, or one interval; return whether to poll now."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._times.poll_interval_ms / 1000):
                await member.end_reported.wait()
        end_was_reported = member.end_reported.is_set()
        member.end_reported.clear()
        return (
            end_was_reported
            or self._clock.now_ms() - member.last_report_ms >= self._times.poll_interval_ms
        )

    async def _start_member(self, member: Member) -> Result[LeaseView, WorkerError]:
        """Start a member; if the reply is lost, poll the lease over fresh connections."""
        give_up_at_ms = self._clock.now_ms() + self._times.resolve_timeout_ms
        if member.sent:
            reply = await self._get_lease(member)
            if not _is_not_started(reply):
                return reply
        retries = 0
        while True:
            may_have_started = member.sent
            if not self._check_leadership():
                return Error(WorkerError(WorkerErrorKind.SILENT, "deposed"))
            if not self._may_start():
                held = await self._hold(member)
                if held is not None:
                    return held
                give_up_at_ms = self._clock.now_ms() + self._times.resolve_timeout_ms
                continue
            member.sent = True
            start_wait_ms = self._times.start_wait_ms
            reply = await self._calls.start(member.address, member.order, start_wait_ms)
            if not _has_no_usable_reply(reply) or (_is_unreached(reply) and not may_have_started):
                member.sent = may_have_started or reply.is_ok()
                return reply
            reply = await self._get_lease(member)
            retries += 1
            if not _is_not_started(reply) or self._clock.now_ms() >= give_up_at_ms:
                return reply
            await self._back_off(retries)

    async def _hold(self, member: Member) -> Result[LeaseView, WorkerError] | None:
        """Send no start while the zone is evacuated; return how the member goes on, if it does.

        A start that was sent and not answered may still arrive: its lease is polled until the
        worker knows it or the zone is readmitted. A gang is not held, because its other members
        may run: it is stopped as a whole.
        """
        if not member.sent or len(self.members) > 1:
            return _refused_as_evacuated()
        while not self._may_start():
            reply = await self._get_lease(member)
            if not _is_not_started(reply):
                return reply
            await asyncio.sleep(self._times.hold_poll_interval_ms / 1000)
        return None

    async def _get_lease(self, member: Member) -> Result[LeaseView, WorkerError]:
        """Poll a lease until a usable reply comes or the time limit has passed."""
        give_up_at_ms = self._clock.now_ms() + self._times.resolve_timeout_ms
        retries = 0
        while True:
            reply = await self._calls.get_lease(member.address, member.order.lease)
            if not _has_no_usable_reply(reply) or self._clock.now_ms() >= give_up_at_ms:
                return reply
            retries += 1
            await self._back_off(retries)

    async def _back_off(self, retries: int) -> None:
        jitter = self._rng.uniform(0.5, 1.5)
        await asyncio.sleep(self._times.backoff_ms * min(retries, 8) * jitter / 1000)

    async def _wait_until_decided(self) -> None:
        while not self._is_decided():
            await self._wait_for_wake_or_deadline()

    async def _wait_for_wake_or_deadline(self) -> None:
        timeout_s = None
        if self._deadline_ms is not None:
            timeout_s = max(0, self._deadline_ms - self._clock.now_ms()) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        self._wake.clear()

    def _is_decided(self) -> bool:
        if self._abandoned or self._stop_outcome is not None or self._deadline_passed():
            return True
        return self._all_finished() or any(member.failed for member in self.members)

    def _deadline_passed(self) -> bool:
        return self._deadline_ms is not None and self._clock.now_ms() >= self._deadline_ms

    def _all_finished(self) -> bool:
        return all(member.finished for member in self.members)

    async def _conclude(self) -> AttemptResult:
        await self._cancel_member_tasks()
        if not self._all_finished():
            await self._stop_all()
        if self._all_finished():
            return AttemptResult(
                AttemptOutcome.FINISHED,
                answers=tuple(member.view.answer for member in self.members if member.view),
                progress=1.0,
            )
        if self._stop_outcome is not None:
            return self._summarize(self._stop_outcome, self._stop_outcome.value)
        return self._summarize(
            AttemptOutcome.FAILED, REASON_DEADLINE if self._deadline_passed() else ""
        )

    async def _stop_all(self) -> None:
        if self._stop_outcome is AttemptOutcome.PREEMPTED and self._checkpointable:
            await self._control_open_members("checkpoint")
        await asyncio.gather(*(self._stop_member(member) for member in self.members))

    async def _control_open_members(self, action: str) -> None:
        lease_calls: list[Awaitable[None]] = [
            self._control(member, action) for member in self.members if not member.failed
        ]
        await asyncio.gather(*lease_calls)

    async def _stop_member(self, member: Member) -> None:
        final = member.view is not None and member.view.final
        if not final and self._check_leadership():
            await self._control(member, "stop")

    async def _control(self, member: Member, action: str) -> None:
        reason = self._stop_outcome.value if self._stop_outcome else "gang-undone"
        reply = await self._calls.control(member.address, member.order.lease, action, reason)
        if reply.is_ok() and member.sent:
            member.update(reply.ok)

    async def _cancel_member_tasks(self) -> None:
        for task in self._member_tasks:
            task.cancel()
        await asyncio.gather(*self._member_tasks, return_exceptions=True)
        self._member_tasks = []

    def _summarize(self, outcome: AttemptOutcome, reason: str) -> AttemptResult:
        """Combine the members into a result; the slowest member sets the progress of a gang."""
        if self._abandoned:
            return AttemptResult(AttemptOutcome.ABANDONED)
        failed = [member for member in self.members if member.failed and not _was_stopped(member)]
        runs = {member.run for member in self.members}
        run = RunCertainty.RAN if RunCertainty.RAN in runs else RunCertainty.NOT_RUN
        if run is RunCertainty.NOT_RUN and RunCertainty.MAY_HAVE_RUN in runs:
            run = RunCertainty.MAY_HAVE_RUN
        views = [member.view for member in self.members]
        steps = [view.checkpoint_step if view else NO_CHECKPOINT for view in views]
        return AttemptResult(
            outcome,
            reason=_failure_reason(failed) or reason or "failed",
            detail="; ".join(_failure_detail(member) for member in failed)[:500],
            run=run,
            progress=min(view.progress if view else 0.0 for view in views),
            checkpoint_step=min(steps),
            counts_as_failure=outcome is AttemptOutcome.FAILED and run is not RunCertainty.NOT_RUN,
            failed_workers=tuple(sorted({member.worker for member in failed})),
        )


def _refused_as_evacuated() -> Result[LeaseView, WorkerError]:
    return Error(WorkerError(WorkerErrorKind.REFUSED, REASON_EVACUATED))


def _has_no_usable_reply(reply: Result[LeaseView, WorkerError]) -> bool:
    lost = (WorkerErrorKind.SILENT, WorkerErrorKind.GARBLED, WorkerErrorKind.UNREACHED)
    return reply.is_error() and reply.error.kind in lost


def _is_unreached(reply: Result[LeaseView, WorkerError]) -> bool:
    return reply.is_error() and reply.error.kind is WorkerErrorKind.UNREACHED


def _is_not_started(reply: Result[LeaseView, WorkerError]) -> bool:
    """Return whether the worker reports that it has not received a start of the lease."""
    if reply.is_ok():
        return reply.ok.state is LeaseState.RESERVED
    return reply.error.kind is WorkerErrorKind.UNKNOWN_LEASE


def _was_stopped(member: Member) -> bool:
    stopped = member.view is not None and member.view.state is LeaseState.STOPPED
    return stopped and member.error is None


def _failure_reason(failed: list[Member]) -> str:
    for member in failed:
        if member.error is not None:
            return member.error.reason or member.error.kind.value
        return "task-failed"
    return ""


def _failure_detail(member: Member) -> str:
    if member.error is not None:
        return f"{member.worker}: {member.error.kind.value} {member.error.detail}".strip()
    return f"{member.worker}: {member.view.error if member.view else ''}"
