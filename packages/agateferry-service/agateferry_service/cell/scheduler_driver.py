"""The leader's interface to its zone's scheduler."""

from collections.abc import Callable
from typing import Protocol

from agateferry_core.clock import Clock
from agateferry_scheduling.scheduler.messages import (
    Decision,
    Explanation,
    PendingRequest,
    Reject,
    RequestQueued,
    Scheduler,
    SchedulerEvent,
    Start,
)

EventRecorder = Callable[[SchedulerEvent, int], None]


class DecisionHandler(Protocol):
    """Execute decisions; a handler must not feed the scheduler before it returns."""

    def execute(self, decision: Decision) -> None:
        """Start to execute one decision."""


class SchedulerDriver:
    """Feed events to a scheduler and pass its decisions on, in order."""

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Clock,
        handler: DecisionHandler,
        record_event: EventRecorder | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._handler = handler
        self._record_event = record_event

    def feed(self, event: SchedulerEvent) -> None:
        """Feed an event to the scheduler and execute the decisions that follow."""
        for decision in self._step(event):
            self._handler.execute(decision)

    def queue_request(self, request: PendingRequest) -> Start | Reject | None:
        """Queue a new request and return its own decision, if any, without executing it."""
        own_decision: Start | Reject | None = None
        for decision in self._step(RequestQueued(request)):
            if isinstance(decision, Start | Reject) and decision.request_id == request.request_id:
                own_decision = decision
            else:
                self._handler.execute(decision)
        return own_decision

    def explain(self, request_id: str) -> Explanation:
        """Explain why a request is in its present state."""
        return self._scheduler.explain(request_id, self._clock.now_ms())

    def _step(self, event: SchedulerEvent) -> list[Decision]:
        now_ms = self._clock.now_ms()
        if self._record_event is not None:
            self._record_event(event, now_ms)
        return self._scheduler.step(event, now_ms)
