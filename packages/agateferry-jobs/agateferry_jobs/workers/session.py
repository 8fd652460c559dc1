"""The leader's session with one incarnation of one worker.

A session tracks the runs that the ledger places on the worker. One loop polls the worker's run
lists, and extends its lease each time, as long as a run is there or an end is not yet acknowledged.
A start without a clear answer is sent again. If that fails too, the session raises its fencing
token, and the next poll shows the outcome: a run that is not listed under the higher token can
never begin.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_core.logs import EventLogger
from agateferry_core.tasks import spawn
from agateferry_jobs import metrics
from agateferry_jobs.ledger import Run, WorkerIncarnation
from agateferry_jobs.ledger.commands import LossCause, RunEnded, RunOutcome, RunStart
from agateferry_jobs.ledger.state import RunKey
from agateferry_jobs.planning.worker_allocation import WorkerHealth
from agateferry_jobs.workers import events
from agateferry_jobs.workers.clock_bounds import ClockBounds
from agateferry_jobs.workers.contact import WorkerContact
from agateferry_jobs.workers.end_cursor import EndCursor
from agateferry_jobs.workers.lease import Lease
from agateferry_jobs.workers.listener import SessionListener
from agateferry_jobs.workers.port import (
    Confirmed,
    FinishedRun,
    IncarnationMismatch,
    NoAnswer,
    PollOrder,
    Rejected,
    RunLists,
    StartOrder,
    StopOrder,
    WorkerPort,
)
from agateferry_jobs.workers.presence import Presence, find_presence
from agateferry_jobs.workers.report_age import ReportAge
from agateferry_jobs.workers.report_verdict import ReportOrder, ReportVerdict
from agateferry_jobs.workers.run_ends import inferred_ends, listed_ends, run_ended, run_lost
from agateferry_jobs.workers.tracked_run import Phase, TrackedRun

ORDER_TIMEOUT_MS = 300
"""Workers answer an order in a few ms; after this it is sent again on a new connection."""
START_ATTEMPTS = 2
REJECTED_JOB = "400"
"""The reason of a rejection that is about the job and not about the worker."""
PRESENCE_ATTEMPTS = 3
"""How many polls without an answer show that a worker that said it leaves has left."""
MIN_POLL_WAIT_MS = 400
MAX_POLL_WAIT_MS = 1000
"""The limits of how long a worker may delay the answer to a poll while no run ends.

A poll without an answer hides the ends of runs for this time and `POLL_TIMEOUT_MARGIN_MS`.
"""
UNGRANTED_POLL_WAIT_MS = 20
"""The same while the worker gets no lease, so that the next poll extends it as soon as it may."""
POLL_TIMEOUT_MARGIN_MS = 400
"""How long the answer to a poll may take beyond the wait that the poll allows."""
RETRY_DELAY_MS = 200
"""The pause after a failed poll, except the first one in a row."""
STOP_RESEND_MS = 600
"""A stop is sent again after this time if the run is still listed as running."""
RECENT_ANSWER_MS = 2_000
"""How old the last answer may be by which a report is judged; a worker isn't asked more often."""


class WorkerSession:
    """Send orders and polls to one worker incarnation while this host leads.

    `unexpected_runs` are runs that the worker lists and the ledger does not place there.
    """

    def __init__(
        self,
        incarnation: WorkerIncarnation,
        port: WorkerPort,
        listener: SessionListener,
        clock: Clock,
        lease: Lease,
        reports: ReportAge,
    ) -> None:
        self.incarnation = incarnation
        self.runs: dict[RunKey, TrackedRun] = {}
        self.unexpected_runs: dict[RunKey, int] = {}
        self.grants_leases = True
        """Whether orders may extend the worker's lease; not while the cell has it as silent."""
        self._contact = WorkerContact(clock, reports)
        self._port = port
        self._listener = listener
        self._clock = clock
        self._lease = lease
        self._token = listener.next_token()
        self._poll_number = 0
        self._is_closed = False
        self._was_held_up = False
        """Whether the last poll timed out because this process was busy with other work."""
        self._reports = ReportOrder()
        self._is_asked = False
        """Whether the worker is to be polled until it answers, although no run needs it."""
        self._answered = asyncio.Event()
        self._opened_ms = clock.now_ms()
        self._ends = EndCursor()
        self._acknowledged_cursor = 0
        self._wake = asyncio.Event()
        self._log = EventLogger(worker=incarnation.id, born=incarnation.born)
        self._log_failure = self._log.on_exception(events.SESSION_FAILED)
        self._tasks: set[asyncio.Task[None]] = set()
        self._spawn(self._poll_forever())

    def health(self, is_suspect: bool) -> WorkerHealth:
        """Return the worker's health for the planner."""
        health = self._contact.health(is_suspect, tuple(self.unexpected_runs))
        return health if self.grants_leases else replace(health, accepts_starts=False)

    @property
    def answers(self) -> bool:
        """Return whether the worker answers polls."""
        return self._contact.has_answered and not self._contact.is_failing

    @property
    def has_answered(self) -> bool:
        """Return whether the worker has answered a poll since the session was opened."""
        return self._contact.has_answered

    @property
    def age_ms(self) -> int:
        """Return the time since the session was opened."""
        return self._clock.now_ms() - self._opened_ms

    @property
    def accepts_starts(self) -> bool:
        """Return whether the worker has neither rejected nor left unanswered a start just now."""
        return self._contact.accepts_starts

    @property
    def is_known(self) -> bool:
        """Return whether the worker has answered a poll, or failed to."""
        return self._contact.is_known

    def adopt(self, key: RunKey, run: Run) -> None:
        """Track a run whose start order may have been sent, unless it is tracked already.

        A run that was ordered from an earlier incarnation may have begun on this one. It is stopped
        if it is listed; it is lost once a poll doesn't list it, since the poll's token is higher
        than the order's.
        """
        tracked = self.runs.get(key)
        if tracked is not None and tracked.run == run:
            return
        if run.born != self.incarnation.born:
            self._lease.assume_foreign_order(self._clock.now_ms())
        self.runs[key] = TrackedRun(
            run,
            Phase.UNCERTAIN,
            self._poll_number,
            last_progress_ms=self._clock.now_ms(),
            is_adopted=True,
            has_open_order=True,
        )
        self._wake.set()

    def start_run(self, start: RunStart, payload: str) -> None:
        """Send the start order of a run whose start is committed."""
        tracked = TrackedRun(
            start.run, Phase.ORDERED, self._poll_number, last_progress_ms=self._clock.now_ms()
        )
        self.runs[(start.job, start.subtask)] = tracked
        self._spawn(self._send_start(start, payload, tracked))

    def stop_run(self, key: RunKey) -> None:
        """Stop a run; the order is repeated until the run is no longer listed as running."""
        tracked = self.runs.get(key)
        if tracked is not None and not tracked.is_stopping:
            tracked.stop_ordered_ms = self._clock.now_ms()
            self._spawn(self._send_stop(key, tracked.run.number, tracked))

    def judge_report(self, sequence: int, clock_ms: int) -> ReportVerdict:
        """Return whether a report is this incarnation's, and newer than those recorded before."""
        now_ms = self._clock.now_ms()
        return self._reports.judge(sequence, clock_ms, self._lease.bounds, now_ms)

    def record_report_order(self, sequence: int, clock_ms: int) -> None:
        """Record that a report is used, so that earlier ones that arrive later are not."""
        self._reports.record(sequence, clock_ms)

    def record_report(self, clock_ms: int, cold_ms: int = 0) -> None:
        """Record the report that is used once what it says is stored.

        The worker stays cold for `cold_ms` more.
        """
        self._contact.record_report(cold_ms)
        if clock_ms:
            self._lease.read_report(clock_ms, self._clock.now_ms())

    @property
    def clock_bounds(self) -> ClockBounds | None:
        """Return what is proved of the worker's clock; None before its first answer."""
        return self._lease.bounds

    @property
    def has_answered_lately(self) -> bool:
        """Return whether the last answer is new enough to judge a report by it."""
        bounds = self._lease.bounds
        if bounds is None or self._contact.is_failing:
            return False
        return self._clock.now_ms() - bounds.newest.at_ms <= RECENT_ANSWER_MS

    async def ask(self, timeout_ms: int) -> bool:
        """Poll the worker now; return whether it has answered as this incarnation in time.

        One that did not answer the last poll is polled already, and is not waited for: the reports
        of others may be in the same batch.
        """
        if self._contact.is_failing:
            return False
        self._answered.clear()
        self._is_asked = True
        self._wake.set()
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await self._answered.wait()
        except TimeoutError:
            return False
        return True

    @property
    def token(self) -> int:
        """Return the fencing token of the newest orders."""
        return self._token

    async def presence(self, attempts: int = PRESENCE_ATTEMPTS) -> Presence:
        """Ask the worker now whether this incarnation is still there; one answer says so."""
        born = self.incarnation.born
        return await find_presence(self._port, born, self._token, ORDER_TIMEOUT_MS, attempts)

    async def is_present(self, attempts: int = PRESENCE_ATTEMPTS) -> bool:
        """Return whether the worker answers as this incarnation, or rejects the question."""
        return await self.presence(attempts) in (Presence.PRESENT, Presence.REJECTED)

    def is_lease_expired(self) -> bool:
        """Return whether the worker's lease has expired, so that none of its runs goes on."""
        return self._lease.is_expired(self._clock.now_ms())

    def lease_left_ms(self) -> int:
        """Return the time until the worker's lease has expired; 0 if it has."""
        return self._lease.left_ms(self._clock.now_ms())

    def failing_for_ms(self) -> int:
        """Return for how long the worker has not answered; 0 if it does."""
        return self._contact.failing_for_ms()

    def held_ends(self) -> set[RunKey]:
        """Return the subtasks whose runs this worker, which answers, lists as done.

        They are not committed yet, since the order of a later run may still be under way.
        """
        return set() if self._contact.is_failing else {each.key for each in self._ends.held}

    def uncertain_runs(self, may_have_restarted: bool) -> tuple[RunKey, ...]:
        """Return the runs that are not known to have begun.

        If the worker may have started again under its id, these are all that this incarnation is
        not known to have begun.
        """
        return tuple(
            key
            for key, tracked in self.runs.items()
            if tracked.may_not_have_begun or (may_have_restarted and not tracked.is_proven)
        )

    def ends_as_lost(
        self, cause: LossCause, may_have_restarted: bool = False
    ) -> tuple[RunEnded, ...]:
        """Return ends, as lost, of all tracked runs, once the worker can no longer report them.

        If it may have started again under its id, these are the runs that this incarnation is known
        to have begun and whose orders are all answered; others may begin on the new one.
        """
        return tuple(
            run_lost(key, tracked, cause)
            for key, tracked in self.runs.items()
            if tracked.is_lost_with_incarnation or not may_have_restarted
        )

    def forget(self, key: RunKey, run: Run) -> None:
        """Stop tracking a run whose end is committed."""
        tracked = self.runs.get(key)
        if tracked is not None and tracked.run == run:
            del self.runs[key]

    async def close(self) -> None:
        """Cancel all tasks and close the connections to the worker.

        A poll whose timeout fires together with the cancellation ends with the timeout instead, so
        the loop also looks at `_is_closed`.
        """
        self._is_closed = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._port.close()

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        spawn(coro, self._tasks, self._log_failure)

    async def _poll_forever(self) -> None:
        while not self._is_closed:
            if not self._needs_poll():
                self._wake.clear()
                if not self._listener.keeps_idle_connections():
                    await self._port.release()
                await self._wake.wait()
                continue
            was_failing = self._contact.is_failing
            try:
                succeeded = await self._poll_in_turn()
            except Exception as exc:
                self._log_failure(exc)
                succeeded = False
            has_just_failed = self._contact.is_failing and not was_failing
            if not succeeded and not has_just_failed:
                await asyncio.sleep(RETRY_DELAY_MS / MS_PER_S)

    async def _poll_in_turn(self) -> bool:
        """Poll once, after waiting for a contact slot if the last poll got no answer.

        Without the wait, polls that are sent all at once may each time take longer to send than
        their timeout, so that none is ever answered.
        """
        if self.answers and not self._was_held_up and not self._is_asked:
            return await self._poll_once()
        async with self._listener.contact_slot():
            return await self._poll_once()

    def _needs_poll(self) -> bool:
        is_poll_due = (
            bool(self.runs or self.unexpected_runs or self._ends.held)
            or self._ends.position > self._acknowledged_cursor
        )
        return is_poll_due or self._is_asked or not self.answers

    async def _poll_once(self) -> bool:
        if not self._listener.may_send_orders():
            return False
        now_ms = self._clock.now_ms()
        is_urgent = not self._contact.has_answered or bool(self.unexpected_runs) or self._is_asked
        is_urgent |= any(t.phase is Phase.UNCERTAIN for t in self.runs.values())
        wait_ms = 0 if is_urgent or not self.runs else self._listener.poll_wait_ms()
        if not self.grants_leases:
            wait_ms = min(wait_ms, UNGRANTED_POLL_WAIT_MS)
        deadline_ms = self._poll_deadline(now_ms)
        cursor = self._cursor_to_acknowledge()
        self._poll_number += 1
        poll_number, token = self._poll_number, self._token
        order = PollOrder(deadline_ms, token, cursor, wait_ms)
        answer = await self._port.poll(order, wait_ms + POLL_TIMEOUT_MARGIN_MS)
        metrics.POLLS.labels(answer.label).inc()
        self._was_held_up = isinstance(answer, NoAnswer) and answer.is_own_delay
        match answer:
            case RunLists():
                self._acknowledged_cursor = max(self._acknowledged_cursor, cursor)
                return await self._process_lists(answer, poll_number, now_ms)
            case IncarnationMismatch():
                self._listener.on_incarnation_replaced(self.incarnation)
                return False
            case Rejected(reason="fence"):
                self._token = self._listener.next_token()
                return False
            case NoAnswer(is_own_delay=True):
                return True
            case _:
                self._mark_failing(str(answer))
                return False

    def _cursor_to_acknowledge(self) -> int:
        """Return the number of the end up to which a poll acknowledges ends, 0 for none.

        A worker that has started again counts its ends anew, so an order for its earlier
        incarnation must not acknowledge any without need.
        """
        position = self._ends.position
        is_needed = position > self._acknowledged_cursor and not self._contact.is_failing
        return position if is_needed else 0

    def _poll_deadline(self, now_ms: int) -> int | None:
        """Return the lease deadline of a poll; None for a silent worker, so its lease expires."""
        if not self.runs or self._contact.is_failing or not self.grants_leases:
            return None
        return self._lease.grant_deadline(now_ms)

    def _mark_failing(self, detail: str) -> None:
        if self._contact.record_failure():
            self._log.warning(events.WORKER_SILENT, detail=detail, runs=len(self.runs))
            self._listener.request_planning()

    def _mark_answering(self, clock_ms: int, sent_ms: int) -> None:
        """Record an answer to an order sent at `sent_ms`; without a clock it gives 0."""
        now_ms = self._clock.now_ms()
        if clock_ms:
            self._lease.read_answer(clock_ms, sent_ms, now_ms)
        if self._contact.record_answer():
            self._log.info(events.WORKER_ANSWERS)
            for tracked in self.runs.values():
                tracked.last_progress_ms = now_ms
            if not self.grants_leases:
                self._listener.on_answering_again()
            self._listener.request_planning()

    async def _process_lists(self, lists: RunLists, poll_number: int, sent_ms: int) -> bool:
        """Process the answer to a poll; polls follow one another, so it is the newest one."""
        if lists.born is not None and lists.born != self.incarnation.born:
            self._listener.on_worker_restarted(self.incarnation)
            return False
        self._mark_answering(lists.clock_ms, sent_ms)
        self._is_asked = False
        self._answered.set()
        new_ends = self._ends.take_new(lists.finished, self._is_held)
        ends = listed_ends(new_ends, self.incarnation, self.runs)
        self._update_running(lists)
        ends += inferred_ends(lists, self.incarnation, self.runs, poll_number)
        if not await self._commit_ends(lists, ends):
            return False
        if self._contact.record_first_lists():
            self._listener.request_planning()
        return not self._ends.held

    def _is_held(self, finished: FinishedRun) -> bool:
        """Return whether an end must not be committed yet.

        A subtask whose earlier run was given up as lost would be done while the order of its next
        run is under way, and nothing can recall an order that the network holds up. It is settled
        once the run is listed, the order fenced off or its worker's lease expired.
        """
        is_done = finished.outcome == RunOutcome.DONE
        return is_done and self._listener.may_later_run_begin(finished.key, finished.run)

    async def _commit_ends(self, lists: RunLists, ends: list[RunEnded]) -> bool:
        if ends and not await self._listener.commit_run_ends(tuple(ends)):
            return False
        for end in ends:
            self.forget((end.job, end.subtask), end.run)
        self._ends.advance(lists.finished)
        return True

    def _update_running(self, lists: RunLists) -> None:
        self.unexpected_runs.clear()
        now_ms = self._clock.now_ms()
        for each in lists.running:
            tracked = self.runs.get(each.key)
            if tracked is None or not self._is_run_of(tracked, each.run):
                self.unexpected_runs[each.key] = each.run
                self._spawn(self._send_stop(each.key, each.run, None))
                continue
            tracked.is_proven |= lists.born is not None
            tracked.record_progress(each.percent, now_ms)
            tracked.checkpoint = each.checkpoint or tracked.checkpoint
            if tracked.phase is Phase.UNCERTAIN:
                tracked.phase = Phase.CONFIRMED
                tracked.phase_since_poll = self._poll_number
                self._listener.on_run_begun(each.key, tracked.is_adopted)
            if tracked.is_stopping and _is_stop_due(tracked.stop_sent_ms, now_ms):
                self._spawn(self._send_stop(each.key, each.run, tracked))

    def _is_run_of(self, tracked: TrackedRun, number: int) -> bool:
        """Return whether a listed run is the tracked one, ordered from this incarnation."""
        return tracked.run.number == number and tracked.run.born == self.incarnation.born

    async def _send_start(self, start: RunStart, payload: str, tracked: TrackedRun) -> None:
        """Send a start order until its outcome is known; a poll tells the outcome of any other."""
        try:
            is_known = await self._try_start(start, payload, tracked)
        except Exception as exc:
            self._log_failure(exc)
            is_known = False
        if not is_known:
            self._mark_uncertain(tracked)

    async def _try_start(self, start: RunStart, payload: str, tracked: TrackedRun) -> bool:
        """Send a start order, twice at most; return whether its outcome is known and recorded.

        Nothing is sent to an evacuated zone, or for a subtask that has become done, as by the late
        report of an earlier run. A start that was never sent is refused.
        """
        key = (start.job, start.subtask)
        token = self._token
        for attempt in range(START_ATTEMPTS):
            if self._is_ruled_out(key) or not self.grants_leases:
                return attempt == 0 and await self._end_as_refused(key, tracked)
            sent_ms = self._clock.now_ms()
            deadline_ms = self._lease.grant_start_deadline(sent_ms)
            if deadline_ms is None or not self._listener.may_send_orders():
                break
            bounds = self._lease.bounds
            order = StartOrder(key, start.run.number, payload, deadline_ms, token, start.checkpoint)
            answer = await self._port.start(order, ORDER_TIMEOUT_MS)
            match answer:
                case Confirmed(clock_ms):
                    return self._record_confirmed_start(key, tracked, clock_ms, sent_ms, bounds)
                case Rejected(reason) if attempt == 0:
                    metrics.STARTS_UNCLEAR.labels(reason).inc()
                    self._log.warning(
                        events.START_REJECTED, job=key[0], subtask=key[1], reason=reason
                    )
                    self._pause_starts(reason)
                    return await self._end_as_refused(key, tracked)
                case _:
                    tracked.has_open_order |= isinstance(answer, NoAnswer)
                    metrics.STARTS_UNCLEAR.labels(answer.label).inc()
                    self._log.warning(
                        events.START_UNCERTAIN, job=key[0], subtask=key[1], detail=str(answer)
                    )
        return False

    def _record_confirmed_start(
        self,
        key: RunKey,
        tracked: TrackedRun,
        clock_ms: int,
        sent_ms: int,
        bounds: ClockBounds | None,
    ) -> bool:
        """Record that a start was carried out; return whether that can be by this incarnation.

        `bounds` are those of its clock when the order was sent.
        """
        now_ms = self._clock.now_ms()
        tracked.is_proven = bounds is not None and bounds.identifies(clock_ms, sent_ms, now_ms)
        if not tracked.is_proven:
            self._lease.assume_foreign_order(now_ms)
        if bounds is not None and bounds.excludes(clock_ms, sent_ms):
            return False
        self._mark_answering(clock_ms, sent_ms)
        tracked.phase = Phase.CONFIRMED
        tracked.phase_since_poll = self._poll_number
        self._listener.on_run_begun(key, is_adopted=False)
        self._contact.record_start()
        self._wake.set()
        return True

    def _is_ruled_out(self, key: RunKey) -> bool:
        """Return whether no start order for a subtask may be sent to this worker now."""
        is_evacuated = self._listener.is_evacuated(self.incarnation.zone)
        return is_evacuated or self._listener.is_obsolete(key)

    def _pause_starts(self, reason: str) -> None:
        """Order no new starts for a while, unless the rejection is about the job."""
        if reason == REJECTED_JOB:
            return
        if reason == "fence":
            self._token = self._listener.next_token()
        self._contact.record_failed_start()

    async def _end_as_refused(self, key: RunKey, tracked: TrackedRun) -> bool:
        if not await self._listener.commit_run_ends((run_ended(key, tracked, RunOutcome.REFUSED),)):
            return False
        self.forget(key, tracked.run)
        return True

    def _mark_uncertain(self, tracked: TrackedRun) -> None:
        """Let the next poll show whether a run began; its new token blocks late start orders.

        A worker may answer polls and leave starts unanswered, so it gets no new ones for a while.
        """
        self._contact.record_failed_start()
        self._token = self._listener.next_token()
        tracked.phase = Phase.UNCERTAIN
        tracked.phase_since_poll = self._poll_number
        self._wake.set()

    async def _send_stop(self, key: RunKey, run: int, tracked: TrackedRun | None) -> None:
        if not self._listener.may_send_orders():
            return
        if tracked is not None:
            tracked.stop_sent_ms = self._clock.now_ms()
        self._wake.set()
        answer = await self._port.stop(StopOrder(key, run, self._token), ORDER_TIMEOUT_MS)
        if isinstance(answer, NoAnswer | Rejected):
            self._log.warning(events.STOP_UNCERTAIN, job=key[0], subtask=key[1], detail=str(answer))


def _is_stop_due(sent_ms: int | None, now_ms: int) -> bool:
    return sent_ms is None or now_ms - sent_ms >= STOP_RESEND_MS


PortFactory = Callable[[WorkerIncarnation], WorkerPort]
