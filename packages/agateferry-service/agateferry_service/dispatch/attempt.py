"""One attempt of a request: reserve on all workers, start on all, and see it to its end.

The intent is in the cell's log before an attempt begins, so the leader that comes next can take
the same attempt up again: every call names the same lease, and a worker does nothing twice for
one lease. An attempt decides nothing for good; its result is proposed to the log by the caller.
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
    AttemptEnd,
    AttemptResult,
    LeaseState,
    LeaseView,
    WorkerError,
    WorkerErrorKind,
)
from agateferry_service.requests.state import NO_CHECKPOINT, Run

REASON_WORKER_LOST = "worker-lost"
REASON_DEADLINE = "deadline"
PROOF_OF_RUN = frozenset({LeaseState.RUNNING, LeaseState.FINISHED, LeaseState.FAILED})


@dataclass(frozen=True, slots=True)
class AttemptTimes:
    """The bounds of an attempt's calls, in milliseconds.

    `hold_ms` is how long a start waits for a quick end on its connection; `resolve_ms` bounds the
    search for what became of a start whose answer was lost; `look_ms` is how often a running lease
    is looked at when no announcement speaks of it; `reserve_ms` is the life of a reservation.
    """

    start_wait_ms: int = 1_500
    resolve_timeout_ms: int = 6_000
    backoff_ms: int = 100
    poll_interval_ms: int = 60_000
    reservation_ttl_ms: int = 10_000


@dataclass(slots=True)
class Member:
    """One member of an attempt: its order, its worker and what is known of its lease.

    `sent` tells whether a start may have reached the worker, now or under an earlier leader.
    """

    order: StartOrder
    worker: str
    address: str
    sent: bool = False
    ran: bool = False
    view: LeaseView | None = None
    error: WorkerError | None = None
    heard_ms: int = 0
    hint: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def finished(self) -> bool:
        """Tell whether the member has its whole answer."""
        return self.view is not None and self.view.state is LeaseState.FINISHED

    @property
    def broken(self) -> bool:
        """Tell whether the member will never have an answer."""
        ended_badly = self.view is not None and self.view.final and not self.finished
        return ended_badly or self.error is not None

    @property
    def decided(self) -> bool:
        """Tell whether nothing more is to be learned of the member."""
        return self.finished or self.broken

    def see(self, view: LeaseView) -> None:
        """Take in what the worker says of the lease."""
        self.view = view
        if view.state in PROOF_OF_RUN or view.progress > 0:
            self.ran = True

    @property
    def run(self) -> Run:
        """Return what is known about whether this member ran."""
        if self.ran:
            return Run.RAN
        return Run.MAY_HAVE_RUN if self.sent else Run.NOT_RUN


class Attempt:
    """Run one attempt.

    `may_act` is asked before each call that changes something; it tells whether this host leads.
    """

    def __init__(
        self,
        members: Sequence[Member],
        calls: WorkerCalls,
        clock: Clock,
        may_act: Callable[[], bool],
        rng: random.Random,
        times: AttemptTimes = AttemptTimes(),
        deadline_ms: int | None = None,
        checkpointable: bool = False,
        on_running: Callable[[], None] = lambda: None,
    ) -> None:
        self.members = tuple(members)
        self.started_ms = clock.now_ms()
        self._calls = calls
        self._clock = clock
        self._may_act = may_act
        self._rng = rng
        self._times = times
        self._deadline_ms = deadline_ms
        self._checkpointable = checkpointable
        self._on_running = on_running
        self._wake = asyncio.Event()
        self._stop_as: AttemptEnd | None = None
        self._abandoned = False
        self._drivers: list[asyncio.Task[None]] = []

    async def run(self) -> AttemptResult:
        """Reserve, start, and return once the attempt has ended as a whole."""
        try:
            if len(self.members) > 1 and not await self._reserve_all():
                return await self._undo()
            self._drivers = [asyncio.create_task(self._drive(member)) for member in self.members]
            await self._until_decided()
            return await self._conclude()
        finally:
            await self._cancel_drivers()

    def stop(self, end: AttemptEnd) -> None:
        """Ask for a stop, because of a cancellation or a preemption; a cancellation outweighs."""
        if self._stop_as is not AttemptEnd.CANCELLED:
            self._stop_as = end
        self._wake.set()

    def notify(self, lease: str, final: bool) -> None:
        """Take in what a worker announced of a lease; one that has ended is looked at now."""
        for member in self.members:
            if member.order.lease == lease:
                member.heard_ms = self._clock.now_ms()
                if final:
                    member.hint.set()

    def lose_worker(self, worker: str, detail: str) -> None:
        """Take in that a worker is gone or has started anew without this attempt's leases."""
        for member in self.members:
            if member.worker == worker and not member.finished and member.error is None:
                kind = WorkerErrorKind.SILENT
                member.error = WorkerError(kind, REASON_WORKER_LOST, detail)
        self._wake.set()

    async def _reserve_all(self) -> bool:
        replies = await asyncio.gather(*(self._reserve(member) for member in self.members))
        return all(replies) and self._stop_as is None

    async def _reserve(self, member: Member) -> bool:
        if not self._check_lead():
            return False
        ttl_ms = self._times.reservation_ttl_ms
        match await self._calls.reserve(member.address, member.order, ttl_ms):
            case Result(tag="ok", ok=view):
                if view.state is not LeaseState.RESERVED:
                    member.see(view)
                return True
            case Result(error=error):
                member.error = error
        return False

    def _check_lead(self) -> bool:
        """Tell whether this host leads; once it does not, the attempt is left as it is.

        A deposed leader must neither start nor stop anything, and must not say how an attempt
        ended that it did not see to its end: a gang would be left running in part.
        """
        if not self._may_act():
            self._abandoned = True
            self._wake.set()
        return not self._abandoned

    async def _undo(self) -> AttemptResult:
        await asyncio.gather(*(self._stop_member(member) for member in self.members))
        end = self._stop_as or AttemptEnd.FAILED
        return self._ended(end, "gang-not-reserved")

    async def _drive(self, member: Member) -> None:
        """Start a member and follow its lease until it is final or lost."""
        self._take_in(member, await self._start(member))
        while not member.decided:
            if await self._needs_look(member):
                self._take_in(member, await self._look(member))
        self._wake.set()

    def _take_in(self, member: Member, reply: Result[LeaseView, WorkerError]) -> None:
        match reply:
            case Result(tag="ok", ok=view):
                member.see(view)
                self._tell_running()
            case Result(error=error):
                member.error = error

    def _tell_running(self) -> None:
        views = [member.view for member in self.members]
        if all(view is not None for view in views) and not self._all_finished():
            self._on_running()

    async def _needs_look(self, member: Member) -> bool:
        """Wait for a hint of the lease's end; without one, tell whether its worker is overdue."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._times.poll_interval_ms / 1000):
                await member.hint.wait()
        hinted = member.hint.is_set()
        member.hint.clear()
        return hinted or self._clock.now_ms() - member.heard_ms >= self._times.poll_interval_ms

    async def _start(self, member: Member) -> Result[LeaseView, WorkerError]:
        """Start a member; when the answer is lost, find out over fresh connections."""
        until_ms = self._clock.now_ms() + self._times.resolve_timeout_ms
        if member.sent:
            reply = await self._look(member)
            if not _is_unstarted(reply):
                return reply
        tries = 0
        while True:
            uncertain = member.sent
            if not self._check_lead():
                return Error(WorkerError(WorkerErrorKind.SILENT, "deposed"))
            member.sent = True
            start_wait_ms = self._times.start_wait_ms
            reply = await self._calls.start(member.address, member.order, start_wait_ms)
            if not _is_lost(reply) or (_is_unreached(reply) and not uncertain):
                member.sent = uncertain or reply.is_ok()
                return reply
            reply = await self._look(member)
            tries += 1
            if not _is_unstarted(reply) or self._clock.now_ms() >= until_ms:
                return reply
            await self._pause(tries)

    async def _look(self, member: Member) -> Result[LeaseView, WorkerError]:
        """Ask for a lease until an answer comes or the bound has passed."""
        until_ms = self._clock.now_ms() + self._times.resolve_timeout_ms
        tries = 0
        while True:
            reply = await self._calls.look(member.address, member.order.lease)
            if not _is_lost(reply) or self._clock.now_ms() >= until_ms:
                return reply
            tries += 1
            await self._pause(tries)

    async def _pause(self, tries: int) -> None:
        spread = self._rng.uniform(0.5, 1.5)
        await asyncio.sleep(self._times.backoff_ms * min(tries, 8) * spread / 1000)

    async def _until_decided(self) -> None:
        while not self._decided():
            await self._wake_or_deadline()

    async def _wake_or_deadline(self) -> None:
        timeout_s = None
        if self._deadline_ms is not None:
            timeout_s = max(0, self._deadline_ms - self._clock.now_ms()) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        self._wake.clear()

    def _decided(self) -> bool:
        if self._abandoned or self._stop_as is not None or self._overdue():
            return True
        return self._all_finished() or any(member.broken for member in self.members)

    def _overdue(self) -> bool:
        return self._deadline_ms is not None and self._clock.now_ms() >= self._deadline_ms

    def _all_finished(self) -> bool:
        return all(member.finished for member in self.members)

    async def _conclude(self) -> AttemptResult:
        await self._cancel_drivers()
        if not self._all_finished():
            await self._stop_all()
        if self._all_finished():
            return AttemptResult(
                AttemptEnd.FINISHED,
                answers=tuple(member.view.answer for member in self.members if member.view),
                progress=1.0,
            )
        if self._stop_as is not None:
            return self._ended(self._stop_as, self._stop_as.value)
        return self._ended(AttemptEnd.FAILED, REASON_DEADLINE if self._overdue() else "")

    async def _stop_all(self) -> None:
        if self._stop_as is AttemptEnd.PREEMPTED and self._checkpointable:
            await self._each_open("checkpoint")
        await asyncio.gather(*(self._stop_member(member) for member in self.members))

    async def _each_open(self, verb: str) -> None:
        lease_calls: list[Awaitable[None]] = [
            self._act(member, verb) for member in self.members if not member.broken
        ]
        await asyncio.gather(*lease_calls)

    async def _stop_member(self, member: Member) -> None:
        final = member.view is not None and member.view.final
        if not final and self._check_lead():
            await self._act(member, "stop")

    async def _act(self, member: Member, verb: str) -> None:
        reason = self._stop_as.value if self._stop_as else "gang-undone"
        reply = await self._calls.act(member.address, member.order.lease, verb, reason)
        if reply.is_ok() and member.sent:
            member.see(reply.ok)

    async def _cancel_drivers(self) -> None:
        for task in self._drivers:
            task.cancel()
        await asyncio.gather(*self._drivers, return_exceptions=True)
        self._drivers = []

    def _ended(self, end: AttemptEnd, reason: str) -> AttemptResult:
        """Sum the members up: a gang is as far as the member that is furthest behind."""
        if self._abandoned:
            return AttemptResult(AttemptEnd.ABANDONED)
        broken = [member for member in self.members if member.broken and not _was_stopped(member)]
        runs = {member.run for member in self.members}
        run = Run.RAN if Run.RAN in runs else Run.NOT_RUN
        if run is Run.NOT_RUN and Run.MAY_HAVE_RUN in runs:
            run = Run.MAY_HAVE_RUN
        views = [member.view for member in self.members]
        steps = [view.checkpoint_step if view else NO_CHECKPOINT for view in views]
        return AttemptResult(
            end,
            reason=_reason_of(broken) or reason or "failed",
            detail="; ".join(_detail_of(member) for member in broken)[:500],
            run=run,
            progress=min(view.progress if view else 0.0 for view in views),
            checkpoint_step=min(steps),
            counts=end is AttemptEnd.FAILED and run is not Run.NOT_RUN,
            failed_workers=tuple(sorted({member.worker for member in broken})),
        )


def _is_lost(reply: Result[LeaseView, WorkerError]) -> bool:
    lost = (WorkerErrorKind.SILENT, WorkerErrorKind.GARBLED, WorkerErrorKind.UNREACHED)
    return reply.is_error() and reply.error.kind in lost


def _is_unreached(reply: Result[LeaseView, WorkerError]) -> bool:
    return reply.is_error() and reply.error.kind is WorkerErrorKind.UNREACHED


def _is_unstarted(reply: Result[LeaseView, WorkerError]) -> bool:
    """Tell whether a worker says that no start of the lease has arrived."""
    if reply.is_ok():
        return reply.ok.state is LeaseState.RESERVED
    return reply.error.kind is WorkerErrorKind.UNKNOWN_LEASE


def _was_stopped(member: Member) -> bool:
    stopped = member.view is not None and member.view.state is LeaseState.STOPPED
    return stopped and member.error is None


def _reason_of(broken: list[Member]) -> str:
    for member in broken:
        if member.error is not None:
            return member.error.reason or member.error.kind.value
        return "task-failed"
    return ""


def _detail_of(member: Member) -> str:
    if member.error is not None:
        return f"{member.worker}: {member.error.kind.value} {member.error.detail}".strip()
    return f"{member.worker}: {member.view.error if member.view else ''}"
