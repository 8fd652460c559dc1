"""One member of a replicated group, as other packages use it."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

from expression import Error, Ok, Result

from agateferry_core.clock import MS_PER_S, Clock
from agateferry_core.logs import EventLogger
from agateferry_state.events import DATA_FOLDER_OPENED, DATA_FOLDER_UNUSABLE, TORN_BATCH_DROPPED
from agateferry_state.journal import Files, JournalError
from agateferry_state.members import Member, MemberId, Members
from agateferry_state.replica.driver import Driver, LeadershipListener
from agateferry_state.replica.metrics import STORAGE_FAILURES
from agateferry_state.replica.proposals import ProposalResult, propose_error_for
from agateferry_state.replica.protocols import ProposeError, ProposeErrorKind, StateMachine
from agateferry_state.replica.status import NodeStatus, build_status
from agateferry_state.replica.storage import OpenedStorage, open_storage
from agateferry_state.replica.transport import Transport
from agateferry_state.replication import Core, Role, Settings, messages
from agateferry_state.replication.leader_contact import LeaderContact

STOP_TIMEOUT_MS = 3000
HAND_OVER_TIMEOUT_MS = 2000
"""How long a stopping voter waits at most for a learner to take its vote.

It suffices for an election that begins with the stop, where the transfer of leadership was lost.
"""
DROPPED_HEARTBEATS = 3
"""After so many missed heartbeats, a stopping voter takes it that the leader has removed it."""

PreviewResult = Result[Members, ProposeError]


@dataclass(frozen=True, slots=True)
class Peer:
    """A host of the group: its name, `ip:port`, availability zone, and whether it has a disk."""

    name: str
    address: str
    zone: str = ""
    has_disk: bool = True


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The group, this host's name in it, its initial hosts, and its data folder.

    `folder` is None on a host without a disk. `peers` lists the hosts that form the group at
    first; `address` is the `ip:port` of this host if it is not one of them.
    """

    group: str
    name: str
    peers: tuple[Peer, ...]
    folder: Path | None
    settings: Settings = field(default_factory=Settings)
    address: str = ""

    @property
    def own_address(self) -> str:
        """Return the `ip:port` of this host."""
        return next((p.address for p in self.peers if p.name == self.name), self.address)

    @property
    def first_hosts(self) -> tuple[Member, ...]:
        """Return the initial hosts as members."""
        return tuple(Member(MemberId(p.name), p.has_disk, p.address) for p in self.peers)


class NodeReplica:
    """One member of a replicated group."""

    def __init__(
        self,
        cfg: NodeConfig,
        machine: StateMachine,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        files: Files | None = None,
    ) -> None:
        self._cfg = cfg
        self._machine = machine
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._files = files
        self._log = EventLogger(group=cfg.group, host=cfg.name)
        self._listeners: list[LeadershipListener] = []
        self._driver: Driver | None = None
        self._failure: ProposeError | None = ProposeError(ProposeErrorKind.STOPPED)

    @property
    def is_leader(self) -> bool:
        """Return whether this member leads, its lease is valid now, and it has caught up."""
        driver = self._driver
        if driver is None or driver.failure is not None:
            return False
        if driver.leading_term != driver.core.term:
            return False
        return driver.core.holds_lease(self._clock.now_ms())

    @property
    def leader(self) -> str | None:
        """Return the host of the leader that this member knows of, or None."""
        return self._driver.leader if self._driver is not None else None

    @property
    def leader_contact(self) -> LeaderContact | None:
        """Return the contact to the last other leader; None if none was heard since the start."""
        return self._driver.core.leader_contact if self._driver is not None else None

    @property
    def term(self) -> int:
        """Return the newest term that this member has seen."""
        return self._driver.core.term if self._driver is not None else 0

    @property
    def failure(self) -> ProposeError | None:
        """Return why this member is out of service, or None while it is in service."""
        return self._driver.failure if self._driver is not None else self._failure

    @property
    def members(self) -> Members:
        """Return the newest members in the local log; none before `start`."""
        return self._driver.core.members if self._driver is not None else Members()

    def on_leadership(self, listener: LeadershipListener) -> None:
        """Call `listener(leads, term)` whenever this member starts or stops leading.

        It starts to lead once it has applied all entries committed by earlier leaders. A lease can
        expire without a call, so check `is_leader` before every action.
        """
        self._listeners.append(listener)

    async def start(self) -> None:
        """Recover the stored state and join the group; on an error, `failure` tells why."""
        started_ms = self._clock.now_ms()
        match open_storage(self._cfg.folder, self._files):
            case Result(tag="ok", ok=opened):
                self._driver = self._make_driver(opened)
                self._log.info(
                    DATA_FOLDER_OPENED,
                    last_index=self._driver.core.last_index,
                    took_ms=self._clock.now_ms() - started_ms,
                )
            case Result(error=error):
                self._on_open_error(error)

    async def stop(self) -> None:
        """Hand over leadership and vote, wait for pending proposals and close the files."""
        driver = self._driver
        if driver is None:
            return
        driver.put(messages.StopAnnounced())
        has_others = len(driver.core.members.voters) > 1
        if driver.failure is None and driver.core.role is Role.LEADER and has_others:
            driver.put(messages.TransferLeadership())
            await driver.wait_until(lambda: driver.core.role is not Role.LEADER, STOP_TIMEOUT_MS)
        await self._hand_over_vote(driver)
        await driver.wait_until(lambda: driver.proposals.is_idle, STOP_TIMEOUT_MS)
        self._failure = driver.failure or ProposeError(ProposeErrorKind.STOPPED)
        self._driver = None
        driver.close()

    async def _hand_over_vote(self, driver: Driver) -> None:
        """Wait until a learner has taken this voter's vote, if there is one.

        The leader sends nothing to a member that it has removed, so its silence tells.
        """
        members, cfg = driver.core.members, self._cfg.settings
        can_hand_over = members.is_voter(driver.core.me.id) and bool(members.learners)
        if not cfg.replaces_hosts or not can_hand_over:
            return
        began_ms = self._clock.now_ms()
        while driver.failure is None and self._clock.now_ms() - began_ms < HAND_OVER_TIMEOUT_MS:
            await asyncio.sleep(cfg.heartbeat_ms / MS_PER_S)
            contact = driver.core.leader_contact
            if contact is None or contact.last_ms < began_ms:
                continue
            if self._clock.now_ms() - contact.last_ms > DROPPED_HEARTBEATS * cfg.heartbeat_ms:
                return

    async def propose(self, command: bytes) -> ProposalResult:
        """Commit and apply a command; return the state machine's result."""
        return await self._submit(lambda proposal_id: messages.Proposed(proposal_id, command))

    async def change_member(self, action: messages.MemberAction, member: Member) -> ProposalResult:
        """Admit or remove a member at an operator's request."""
        return await self._submit(
            lambda proposal_id: messages.MemberChangeRequested(proposal_id, action, member)
        )

    async def read_barrier(self) -> Result[int, ProposeError]:
        """Wait until the local state includes every command committed before the call."""
        while self._driver is not None and self._driver.failure is None:
            read_id, fut = self._driver.proposals.add_read()
            self._driver.put(messages.ReadRequested(read_id))
            match await fut:
                case Result(tag="ok", ok=ready):
                    if not ready.valid_until_ms or self._clock.now_ms() < ready.valid_until_ms:
                        return Ok(ready.index)
                case Result(error=error):
                    return Error(error)
        return Error(self._unavailable_error())

    def force_bootstrap(self) -> None:
        """Start a new group on this empty host at an operator's request."""
        if self._driver is not None:
            self._driver.put(messages.BootstrapForced())

    async def force_recovery(self, lost: frozenset[MemberId]) -> ProposalResult:
        """Recover from the loss of a quorum with this host's log, at an operator's request.

        `lost` must name every other voter, else the core rejects the recovery as unsafe.
        """
        return await self._submit(lambda proposal_id: messages.RecoveryForced(lost, proposal_id))

    def preview_change(self, action: messages.MemberAction, host: str) -> PreviewResult:
        """Return the members as they would be after `change_member`, without a change."""
        return self._preview(lambda core: core.preview_change(action, host))

    def preview_recovery(self, lost: frozenset[MemberId]) -> PreviewResult:
        """Return the members as they would be after `force_recovery`, without a change."""
        return self._preview(lambda core: core.preview_recovery(lost))

    def status(self) -> NodeStatus | None:
        """Return the status for operators, or None while the replica is not started."""
        driver = self._driver
        if driver is None:
            return None
        return build_status(
            group=self._cfg.group,
            core=driver.core,
            now_ms=self._clock.now_ms(),
            applied_index=driver.applied_index,
            disk=self._disk_state(driver),
        )

    async def _submit(self, event: Callable[[int], messages.Event]) -> ProposalResult:
        driver = self._driver
        if driver is None or driver.failure is not None:
            return Error(self._unavailable_error())
        proposal_id, fut = driver.proposals.add_proposal()
        driver.put(event(proposal_id))
        return await fut

    def _preview(
        self, plan: Callable[[Core], Result[Members, messages.RejectReason]]
    ) -> PreviewResult:
        driver = self._driver
        if driver is None or driver.failure is not None:
            return Error(self._unavailable_error())
        return plan(driver.core).map_error(lambda reason: propose_error_for(reason, driver.leader))

    def _make_driver(self, opened: OpenedStorage) -> Driver:
        if opened.cut_bytes:
            self._log.warning(TORN_BATCH_DROPPED, bytes=opened.cut_bytes)
        if opened.stored.snapshot is not None:
            self._machine.restore(opened.stored.snapshot.data)
        for peer in self._cfg.peers:
            self._transport.set_address(peer.name, peer.address)
        return Driver(
            group=self._cfg.group,
            core=self._make_core(opened),
            storage=opened.storage,
            machine=self._machine,
            transport=self._transport,
            clock=self._clock,
            listeners=self._listeners,
        )

    def _make_core(self, opened: OpenedStorage) -> Core:
        cfg = self._cfg
        me = Member(MemberId(cfg.name, opened.incarnation), cfg.folder is not None, cfg.own_address)
        settings = replace(
            self._cfg.settings, cell=self._cfg.group, first_hosts=self._cfg.first_hosts
        )
        return Core(me, settings, opened.stored, self._rng, self._clock.now_ms())

    def _on_open_error(self, error: JournalError) -> None:
        STORAGE_FAILURES.labels(error.kind.value).inc()
        self._failure = ProposeError(ProposeErrorKind.STORAGE_FAILED, detail=error.detail)
        self._log.error(DATA_FOLDER_UNUSABLE, kind=error.kind, detail=error.detail)

    def _unavailable_error(self) -> ProposeError:
        return self.failure or ProposeError(ProposeErrorKind.STOPPED)

    def _disk_state(self, driver: Driver) -> str:
        if driver.failure is not None:
            return driver.failure.detail
        return "none" if self._cfg.folder is None else "synced"
