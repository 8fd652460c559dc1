"""The event loop driver of one replica: it does all disk, network and clock access for the core.

Messages, proposals, timers and finished syncs are events. The events of one event loop iteration
are passed to the core together, and the resulting effects are executed in order. The entries that
the core appends are synced together at the end of the iteration, after the messages to the
followers were sent.
"""

import asyncio
import contextlib
import zlib
from collections.abc import Callable

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_core.logs import EventLogger
from agateferry_state.events import (
    INVARIANT_BROKEN,
    LEADER_CHANGED,
    MEMBERS_CHANGED,
    STORAGE_FAILED,
)
from agateferry_state.journal import JournalError
from agateferry_state.members import MemberId, Members
from agateferry_state.replica.codec import Envelope
from agateferry_state.replica.metrics import STORAGE_FAILURES, SYNC_SECONDS
from agateferry_state.replica.proposals import PendingProposals
from agateferry_state.replica.protocols import ProposeError, ProposeErrorKind, StateMachine
from agateferry_state.replica.storage import Storage, WriteResult
from agateferry_state.replica.transport import Transport
from agateferry_state.replication import Core, Role, messages
from agateferry_state.replication.messages import Greeting

MIN_TIMER_DELAY_MS = 1
UNKNOWN_OUTCOME_DELAY_MS = 1000
"""After a leader change, proposals of older terms wait this long before they fail as unknown."""
SYNC_PAUSE_FACTOR = 3
"""The pause after a sync, as a multiple of its duration; the event loop does other work then."""
MAX_SYNC_PAUSE_MS = 50
"""The longest pause between syncs; a slow disk adds at most this to the latency of commands."""
LeadershipListener = Callable[[bool, int], None]


class Driver:
    """Pass events to a replication core and execute its effects.

    `leading_term` is the term in which this member leads and has applied an entry, else 0.
    """

    def __init__(
        self,
        group: str,
        core: Core,
        storage: Storage,
        machine: StateMachine,
        transport: Transport,
        clock: Clock,
        listeners: list[LeadershipListener],
    ) -> None:
        self.core = core
        self.proposals = PendingProposals()
        self.applied_index = core.commit_index
        self.leading_term = 0
        self.failure: ProposeError | None = None
        self._group = group
        self._storage = storage
        self._machine = machine
        self._transport = transport
        self._clock = clock
        self._listeners = listeners
        self._loop = asyncio.get_running_loop()
        self._log = EventLogger(group=group, host=core.me.id.host)
        self._pending_events: list[messages.Event] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = 0
        self._write_id = 0
        self._synced_id = 0
        self._is_sync_due = False
        self._next_sync_ms = 0
        self._is_closed = False
        self._stepped = asyncio.Event()
        self._set_addresses(core.members)
        transport.register(group, self._receive)
        self.put(messages.Tick())

    @property
    def leader(self) -> str | None:
        """Return the host of the leader that this member knows of, or None."""
        return _host_of(self.core.leader)

    def put(self, event: messages.Event) -> None:
        """Queue an event; all events queued before the next step are processed together."""
        if not self._pending_events:
            self._loop.call_soon(self._step)
        self._pending_events.append(event)

    async def wait_until(self, condition: Callable[[], bool], timeout_ms: int) -> None:
        """Wait until a condition holds, checking it after each step, for at most `timeout_ms`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                while not condition():
                    self._stepped.clear()
                    await self._stepped.wait()

    def close(self) -> None:
        """Sync appended entries, fail pending calls, close the storage and leave the transport."""
        self._sync()
        self._transport.unregister(self._group)
        self._is_closed = True
        self.proposals.fail_all(ProposeErrorKind.STOPPED)
        self._set_leading_term(0)
        if self._timer is not None:
            self._timer.cancel()
        self._storage.close()

    def _receive(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, Greeting) and message.member.address:
            self._transport.set_address(message.member.id.host, message.member.address)
        self.put(messages.MessageReceived(envelope.sender, envelope.recipient, envelope.message))

    def _step(self) -> None:
        events, self._pending_events = self._pending_events, []
        if self._is_closed:
            return
        try:
            self._process(events)
        except Exception as exc:
            self._stop_after_error(f"{type(exc).__name__}: {exc}")
            raise
        self._schedule_sync()
        self._schedule_tick()
        self._stepped.set()

    def _process(self, events: list[messages.Event]) -> None:
        for effect in self.core.step_all(events, self._clock.now_ms()):
            if not self._execute(effect):
                break

    def _stop_after_error(self, detail: str) -> None:
        """Take the replica out of service after an exception, without a sync, as a kill would."""
        self._log.error(INVARIANT_BROKEN, detail=detail)
        self.failure = ProposeError(ProposeErrorKind.STOPPED, detail=detail)
        self._transport.unregister(self._group)
        self._is_closed = True
        self._set_leading_term(0)
        self.proposals.fail_all(ProposeErrorKind.UNKNOWN, detail)
        self._stepped.set()

    def _execute(self, effect: messages.Effect) -> bool:
        """Execute an effect; return False if storage failed and later effects must be skipped."""
        match effect:
            case messages.Send(to, message):
                self._transport.send(Envelope(self._group, self.core.me.id, to, message))
            case messages.AppendLog(write_id, entries):
                self._write_id = write_id
                self._storage.append(entries)
            case messages.TruncateLog(write_id, from_index):
                self._write_id = write_id
                self._storage.truncate(from_index)
            case messages.Apply(entries):
                for entry in entries:
                    self._apply(entry)
            case messages.PersistVote(term, voted_for):
                return self._check_written(self._storage.save_vote(term, voted_for))
            case messages.InstallSnapshot(snapshot):
                return self._install_snapshot(snapshot)
            case messages.TakeSnapshot():
                return self._take_snapshot(effect)
            case _:
                self._notify(effect)
        return True

    def _notify(self, effect: messages.Effect) -> None:
        """Complete pending calls and report changes of leader and members."""
        match effect:
            case messages.ProposalAccepted(proposal_id, index, term):
                self.proposals.accept(proposal_id, index, term)
            case messages.ProposalRejected(proposal_id, reason, leader):
                self.proposals.reject(proposal_id, reason, _host_of(leader))
            case messages.ReadReady():
                self.proposals.complete_read(effect)
            case messages.ReadRejected(read_id, reason, leader):
                self.proposals.reject_read(read_id, reason, _host_of(leader))
            case messages.LeadershipChanged(leader, term):
                self._on_leader_change(leader, term)
            case messages.MembersChanged(members):
                self._log.info(MEMBERS_CHANGED, members=[str(each.id) for each in members.all])
                self._set_addresses(members)

    def _set_addresses(self, members: Members) -> None:
        """Pass the members' addresses to the transport."""
        for member in members.all:
            if member.address:
                self._transport.set_address(member.id.host, member.address)

    def _schedule_sync(self) -> None:
        if self._write_id == self._synced_id or self._is_sync_due:
            return
        self._is_sync_due = True
        pause_ms = self._next_sync_ms - self._clock.now_ms()
        if pause_ms <= 0:
            self._loop.call_soon(self._sync)
        else:
            self._loop.call_later(pause_ms / MS_PER_S, self._sync)

    def _sync(self) -> None:
        """Sync the log, then pause syncs so that the event loop serves other work.

        A sync blocks the event loop. Entries appended during the pause share the next sync, so
        many small commands need few syncs.
        """
        self._is_sync_due = False
        if self._is_closed or self.failure is not None:
            return
        began_ms = self._clock.now_ms()
        with SYNC_SECONDS.time():
            written = self._storage.sync()
        self._synced_id = self._write_id
        now_ms = self._clock.now_ms()
        self._next_sync_ms = now_ms + min(
            MAX_SYNC_PAUSE_MS, SYNC_PAUSE_FACTOR * (now_ms - began_ms)
        )
        if self._check_written(written):
            self.put(messages.Synced(self._write_id))

    def _apply(self, entry: messages.LogEntry) -> None:
        result = None
        if entry.kind is messages.EntryKind.COMMAND:
            result = self._machine.apply(entry.index, entry.data)
        self.applied_index = entry.index
        if self.core.role is Role.LEADER and entry.term == self.core.term:
            self._set_leading_term(entry.term)
        self.proposals.complete(entry, result, self.leader)

    def _install_snapshot(self, snapshot: messages.Snapshot) -> bool:
        if not self._check_written(self._storage.install_snapshot(snapshot)):
            return False
        self._machine.restore(snapshot.data)
        self.applied_index = snapshot.meta.index
        return True

    def _take_snapshot(self, effect: messages.TakeSnapshot) -> bool:
        data = self._machine.snapshot()
        meta = messages.SnapshotMeta(
            effect.index, effect.term, effect.members, len(data), zlib.crc32(data)
        )
        if not self._check_written(self._storage.save_snapshot(messages.Snapshot(meta, data))):
            return False
        self.put(messages.SnapshotTaken(effect.index, data))
        return True

    def _on_leader_change(self, leader: MemberId | None, term: int) -> None:
        self._log.info(LEADER_CHANGED, leader=_host_of(leader), term=term)
        if leader != self.core.me.id:
            self._set_leading_term(0)
            self._loop.call_later(
                UNKNOWN_OUTCOME_DELAY_MS / MS_PER_S,
                self._fail_older_proposals,
                term,
                _host_of(leader),
            )

    def _fail_older_proposals(self, term: int, leader: str | None) -> None:
        """Fail proposals of terms up to `term`, except those of the term that this member leads.

        A candidate reports a change to no leader in its own term, and may then win that term; its
        new proposals must stay pending.
        """
        before_term = term + 1
        if self.core.role is Role.LEADER:
            before_term = min(before_term, self.core.term)
        self.proposals.fail_older_terms(before_term, leader)

    def _set_leading_term(self, term: int) -> None:
        if term == self.leading_term:
            return
        self.leading_term = term
        for listener in self._listeners:
            listener(term > 0, self.core.term)

    def _check_written(self, written: WriteResult) -> bool:
        if written.is_ok() or self.failure is not None:
            return self.failure is None
        self._fail(written.error)
        return False

    def _fail(self, error: JournalError) -> None:
        """Take the replica out of service; unsynced entries are never acknowledged."""
        STORAGE_FAILURES.labels(error.kind.value).inc()
        self._log.error(STORAGE_FAILED, kind=error.kind, detail=error.detail)
        self.failure = ProposeError(ProposeErrorKind.STORAGE_FAILED, detail=error.detail)
        for effect in self.core.step(messages.SyncFailed(), self._clock.now_ms()):
            self._notify(effect)
        self.proposals.fail_all(ProposeErrorKind.STORAGE_FAILED, error.detail)

    def _schedule_tick(self) -> None:
        """Set a timer for the core's next deadline; an earlier one stays, as ticks are harmless."""
        due_ms = self.core.next_deadline_ms
        if self.failure is not None or (self._timer is not None and self._timer_due_ms <= due_ms):
            return
        if self._timer is not None:
            self._timer.cancel()
        delay_ms = max(MIN_TIMER_DELAY_MS, due_ms - self._clock.now_ms())
        self._timer_due_ms = due_ms
        self._timer = self._loop.call_later(delay_ms / MS_PER_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.put(messages.Tick())


def _host_of(member: MemberId | None) -> str | None:
    return member.host if member is not None else None
