"""The loop of one replica: it alone touches the disk, the network and the clock for the core.

Everything that happens is an event. The events of one turn of the loop go to the core together,
and its effects are carried out in their order. What the core appends is gathered and synced once
at the end of the turn, after the messages to the followers went out.
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
from agateferry_state.members import MemberId
from agateferry_state.replica.codec import Envelope
from agateferry_state.replica.metrics import STORAGE_FAILURES, SYNC_SECONDS
from agateferry_state.replica.proposals import Proposals
from agateferry_state.replica.protocols import ProposeError, ProposeErrorKind, StateMachine
from agateferry_state.replica.storage import Storage, Written
from agateferry_state.replica.transport import Transport
from agateferry_state.replication import Core, Role, messages
from agateferry_state.replication.messages import Greeting

MIN_DELAY_MS = 1
UNKNOWN_AFTER_MS = 1000
SYNC_REST = 3
"""How many times the length of a sync the loop is left to other work before the next one."""
LONGEST_REST_MS = 50
"""A slow disk must not add more than this to what it takes itself."""
Listener = Callable[[bool, int], None]


class Driver:
    """Feed one core and carry out what it asks for."""

    def __init__(
        self,
        group: str,
        core: Core,
        storage: Storage,
        machine: StateMachine,
        transport: Transport,
        clock: Clock,
        listeners: list[Listener],
    ) -> None:
        self.core = core
        self.proposals = Proposals()
        self.applied_index = core.commit_index
        self.leads_in_term = 0
        self.failure: ProposeError | None = None
        self._group = group
        self._storage = storage
        self._machine = machine
        self._transport = transport
        self._clock = clock
        self._listeners = listeners
        self._loop = asyncio.get_running_loop()
        self._log = EventLogger(group=group, host=core.me.id.host)
        self._inbox: list[messages.Event] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = 0
        self._write_id = 0
        self._synced_id = 0
        self._is_sync_due = False
        self._rests_until_ms = 0
        self._is_closed = False
        self._stepped = asyncio.Event()
        transport.register(group, self._receive)
        self.put(messages.Tick())

    @property
    def leader(self) -> str | None:
        """Return the host that leads, as far as this one knows."""
        return _host(self.core.leader)

    def put(self, event: messages.Event) -> None:
        """Have an event taken in this turn of the loop, together with others."""
        if not self._inbox:
            self._loop.call_soon(self._step)
        self._inbox.append(event)

    async def until(self, condition: Callable[[], bool], within_ms: int) -> None:
        """Wait for a condition on this replica, at most `within_ms`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_ms / MS_PER_S):
                while not condition():
                    self._stepped.clear()
                    await self._stepped.wait()

    def close(self) -> None:
        """Sync what was appended, answer all who wait and give up the disk and the network."""
        self._sync()
        self._transport.unregister(self._group)
        self._is_closed = True
        self.proposals.end(ProposeErrorKind.STOPPED)
        self._note_leading(0)
        if self._timer is not None:
            self._timer.cancel()
        self._storage.close()

    def _receive(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, Greeting) and message.member.address:
            self._transport.set_address(message.member.id.host, message.member.address)
        self.put(messages.MessageReceived(envelope.sender, envelope.recipient, envelope.message))

    def _step(self) -> None:
        events, self._inbox = self._inbox, []
        if self._is_closed:
            return
        try:
            self._take(events)
        except Exception as exc:
            self._leave(f"{type(exc).__name__}: {exc}")
            raise
        self._arm_sync()
        self._arm_timer()
        self._stepped.set()

    def _take(self, events: list[messages.Event]) -> None:
        for effect in self.core.step_all(events, self._clock.now_ms()):
            if not self._carry_out(effect):
                break

    def _leave(self, detail: str) -> None:
        """Take no part any more after a broken invariant, as if this process had been killed."""
        self._log.error(INVARIANT_BROKEN, detail=detail)
        self.failure = ProposeError(ProposeErrorKind.STOPPED, detail=detail)
        self._transport.unregister(self._group)
        self._is_closed = True
        self._note_leading(0)
        self.proposals.end(ProposeErrorKind.UNKNOWN, detail)
        self._stepped.set()

    def _carry_out(self, effect: messages.Effect) -> bool:
        """Do what the core asks; False tells that the disk failed and the rest must not be done."""
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
                return self._check(self._storage.save_vote(term, voted_for))
            case messages.InstallSnapshot(snapshot):
                return self._install(snapshot)
            case messages.TakeSnapshot():
                return self._take_snapshot(effect)
            case _:
                self._tell(effect)
        return True

    def _tell(self, effect: messages.Effect) -> None:
        """Hand an answer of the core to those who wait for it."""
        match effect:
            case messages.ProposalAccepted(proposal_id, index, term):
                self.proposals.accept(proposal_id, index, term)
            case messages.ProposalRejected(proposal_id, reason, leader):
                self.proposals.reject(proposal_id, reason, _host(leader))
            case messages.ReadReady():
                self.proposals.answer_read(effect)
            case messages.ReadRejected(read_id, reason, leader):
                self.proposals.reject_read(read_id, reason, _host(leader))
            case messages.LeadershipChanged(leader, term):
                self._on_leader(leader, term)
            case messages.MembersChanged(members):
                self._log.info(MEMBERS_CHANGED, members=[str(each.id) for each in members.all])
                for member in members.all:
                    if member.address:
                        self._transport.set_address(member.id.host, member.address)

    def _arm_sync(self) -> None:
        if self._write_id == self._synced_id or self._is_sync_due:
            return
        self._is_sync_due = True
        rest_ms = self._rests_until_ms - self._clock.now_ms()
        if rest_ms <= 0:
            self._loop.call_soon(self._sync)
        else:
            self._loop.call_later(rest_ms / MS_PER_S, self._sync)

    def _sync(self) -> None:
        """Sync what was written since the last time, and leave the loop to others for a while.

        A sync holds the loop. What comes meanwhile shares the next one, so that many small
        commands cost few syncs.
        """
        self._is_sync_due = False
        if self._is_closed or self.failure is not None:
            return
        began_ms = self._clock.now_ms()
        with SYNC_SECONDS.time():
            written = self._storage.sync()
        self._synced_id = self._write_id
        now_ms = self._clock.now_ms()
        self._rests_until_ms = now_ms + min(LONGEST_REST_MS, SYNC_REST * (now_ms - began_ms))
        if self._check(written):
            self.put(messages.Synced(self._write_id))

    def _apply(self, entry: messages.LogEntry) -> None:
        result = None
        if entry.kind is messages.EntryKind.COMMAND:
            result = self._machine.apply(entry.index, entry.data)
        self.applied_index = entry.index
        if self.core.role is Role.LEADER and entry.term == self.core.term:
            self._note_leading(entry.term)
        self.proposals.apply(entry, result, self.leader)

    def _install(self, snapshot: messages.Snapshot) -> bool:
        if not self._check(self._storage.install_snapshot(snapshot)):
            return False
        self._machine.restore(snapshot.data)
        self.applied_index = snapshot.meta.index
        return True

    def _take_snapshot(self, effect: messages.TakeSnapshot) -> bool:
        data = self._machine.snapshot()
        meta = messages.SnapshotMeta(
            effect.index, effect.term, effect.members, len(data), zlib.crc32(data)
        )
        if not self._check(self._storage.save_snapshot(messages.Snapshot(meta, data))):
            return False
        self.put(messages.SnapshotTaken(effect.index, data))
        return True

    def _on_leader(self, leader: MemberId | None, term: int) -> None:
        self._log.info(LEADER_CHANGED, leader=_host(leader), term=term)
        if leader != self.core.me.id:
            self._note_leading(0)
            self._loop.call_later(UNKNOWN_AFTER_MS / MS_PER_S, self._give_up, term, _host(leader))

    def _give_up(self, term: int, leader: str | None) -> None:
        """Give up what was appended up to a term, but for what this member appended as its leader.

        A candidate has no leader in its own term at first, and then leads in that very term.
        """
        before_term = term + 1
        if self.core.role is Role.LEADER:
            before_term = min(before_term, self.core.term)
        self.proposals.give_up(before_term, leader)

    def _note_leading(self, term: int) -> None:
        if term == self.leads_in_term:
            return
        self.leads_in_term = term
        for listener in self._listeners:
            listener(term > 0, self.core.term)

    def _check(self, written: Written) -> bool:
        if written.is_ok() or self.failure is not None:
            return self.failure is None
        self._fail(written.error)
        return False

    def _fail(self, error: JournalError) -> None:
        """Take no part any more; nobody is told that anything unsynced was written."""
        STORAGE_FAILURES.labels(error.kind.value).inc()
        self._log.error(STORAGE_FAILED, kind=error.kind, detail=error.detail)
        self.failure = ProposeError(ProposeErrorKind.STORAGE_FAILED, detail=error.detail)
        for effect in self.core.step(messages.SyncFailed(), self._clock.now_ms()):
            self._tell(effect)
        self.proposals.end(ProposeErrorKind.STORAGE_FAILED, error.detail)

    def _arm_timer(self) -> None:
        """Be called at the core's next deadline; a timer that comes too early does no harm."""
        due_ms = self.core.next_deadline_ms
        if self.failure is not None or (self._timer is not None and self._timer_due_ms <= due_ms):
            return
        if self._timer is not None:
            self._timer.cancel()
        delay_ms = max(MIN_DELAY_MS, due_ms - self._clock.now_ms())
        self._timer_due_ms = due_ms
        self._timer = self._loop.call_later(delay_ms / MS_PER_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.put(messages.Tick())


def _host(member: MemberId | None) -> str | None:
    return member.host if member is not None else None
