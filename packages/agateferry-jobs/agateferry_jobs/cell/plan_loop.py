"""When the leader plans: changes share a plan, and a pause follows each one."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_core.logs import EventLogger
from agateferry_jobs import metrics
from agateferry_jobs.cell import events
from agateferry_jobs.ledger import Ledger
from agateferry_jobs.planning import Plan
from agateferry_jobs.planning.plan_limits import (
    MAX_STARTS,
    MAX_STARTS_PER_JOB,
    PlanLimits,
    Steps,
)

PLAN_PAUSE_FACTOR = 4
"""The pause after each plan, as a multiple of its duration; other work runs meanwhile."""
SLOW_PLAN_MS = 100
"""A plan that takes this long is logged; the pause after it bounds how often that can be."""

MAX_UNREACHED_MS = 500
"""How long plans may leave a job out for their limits until it comes before better ones."""
SLICE_MS = 10
"""How long a plan is worked on at a stretch; calls, polls and the replicated log wait meanwhile."""


class SliceWatch:
    """Measure the time that a plan is worked on, without other work between its slices."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._slice_began_ms = clock.now_ms()
        self._earlier_ms = 0

    def spent_ms(self) -> int:
        """Return the time of all slices so far."""
        return self._earlier_ms + self._slice_ms()

    def is_slice_over(self) -> bool:
        """Return whether other work should run now."""
        return self._slice_ms() >= SLICE_MS

    def end_slice(self) -> None:
        """End the current slice."""
        self._earlier_ms += self._slice_ms()
        self._slice_began_ms = self._clock.now_ms()

    def begin_slice(self) -> None:
        """Begin the next slice."""
        self._slice_began_ms = self._clock.now_ms()

    def _slice_ms(self) -> int:
        return self._clock.now_ms() - self._slice_began_ms


async def make_in_slices(steps: Steps[Plan], watch: SliceWatch) -> Plan:
    """Make a plan, and let other work run after each slice."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            plan: Plan = stop.value
            return plan
        if watch.is_slice_over():
            watch.end_slice()
            await asyncio.sleep(0)
            watch.begin_slice()


class PlanningHooks(Protocol):
    """What the loop needs from the leader."""

    def may_plan(self) -> bool:
        """Return whether this host leads and knows enough about its workers to plan."""

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> None:
        """Run a background task; an exception in it is logged."""


class PlanLoop:
    """Make and execute plans while they are requested; `prepare` is called before each."""

    def __init__(
        self,
        clock: Clock,
        ledger: Ledger,
        hooks: PlanningHooks,
        prepare: Callable[[], Awaitable[None]],
        make: Callable[[PlanLimits], Steps[Plan]],
        execute: Callable[[Plan], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._hooks = hooks
        self._prepare = prepare
        self._make = make
        self._execute = execute
        self._unreached_since_ms: dict[str, int] = {}
        """By job id, since when plans have left it out for their limits, the longest first."""
        self._is_due = False
        self._has_task = False
        self._log = EventLogger()

    def request(self) -> None:
        """Make a new plan soon; requests made meanwhile share one plan."""
        self._is_due = True
        if not self._has_task and self._hooks.may_plan():
            self._has_task = True
            self._hooks.spawn(self._plan_while_due())

    async def _plan_while_due(self) -> None:
        try:
            while self._is_due and self._hooks.may_plan():
                self._is_due = False
                await self._prepare()
                took_ms = await self._plan_once()
                await asyncio.sleep(PLAN_PAUSE_FACTOR * took_ms / MS_PER_S)
        finally:
            self._has_task = False

    async def _plan_once(self) -> int:
        """Make and execute a plan; return how many ms it took to make it.

        The next plan follows soon if this one leaves out anything for its limits.
        """
        watch = SliceWatch(self._clock)
        limits = PlanLimits(MAX_STARTS, MAX_STARTS_PER_JOB, watch.spent_ms, self._long_unreached())
        plan = await make_in_slices(self._make(limits), watch)
        took_ms = watch.spent_ms()
        self._observe(plan, took_ms)
        self._record_unreached(plan)
        self._is_due |= bool(plan.unreached)
        if self._hooks.may_plan():
            await self._execute(plan)
        return took_ms

    def _long_unreached(self) -> list[str]:
        """Return the jobs that come first, since plans have left them out for long."""
        oldest_ms = self._clock.now_ms() - MAX_UNREACHED_MS
        return [id for id, since_ms in self._unreached_since_ms.items() if since_ms <= oldest_ms]

    def _record_unreached(self, plan: Plan) -> None:
        now_ms, before = self._clock.now_ms(), self._unreached_since_ms
        since_ms = {id: before.get(id, now_ms) for id in plan.unreached}
        self._unreached_since_ms = dict(sorted(since_ms.items(), key=lambda each: each[1]))

    def _observe(self, plan: Plan, took_ms: int) -> None:
        metrics.PLAN_SECONDS.observe(took_ms / MS_PER_S)
        if took_ms >= SLOW_PLAN_MS:
            self._log.warning(
                events.PLAN_SLOW,
                took_ms=took_ms,
                jobs=sum(not job.is_over for job in self._ledger.jobs.values()),
                workers=len(self._ledger.workers),
                starts=len(plan.starts),
                stops=len(plan.stops),
            )
