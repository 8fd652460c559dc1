"""Calls to whichever host leads a group: a zone's cell, or the records plane."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

import grpc

from agateferry_core.clock import Clock
from agateferry_core.metrics import Metrics
from agateferry_core.tasks import is_cancelled_itself
from agateferry_service.cell.refusals import RETRY_AFTER_MS, RefusalReason, refusal
from agateferry_service.routing.channels import Channels
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_state.replica.metrics import count_received, count_sent

RETRY_PAUSE_MS = 100
ATTEMPT_MS = 2_000
NEVER_SENT = "failed to connect"


@dataclass(frozen=True, slots=True)
class GroupHost:
    """A host of a group, by name and by the address of its peers' port."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class RpcMethod:
    """One kind of call: how to make its stub's method and its reply that carries a refusal.

    `local` answers without a connection when this host is a member of the group. A call that is
    not `sticky` can be answered by any member, and the next one goes to another.
    """

    name: str
    method: Callable[[grpc.aio.Channel], Callable[..., Awaitable[Any]]]
    refused: Callable[[pb.Refusal], Any]
    local: Callable[[Any], Awaitable[Any]] | None = None
    sticky: bool = True


class Router:
    """Find the leader of one group and call it, again where that is safe.

    Every call that passes here can be repeated: submissions carry the request's id, and the others
    change nothing twice. A call that may have arrived and has no answer when time is up is refused
    as `outcome-unknown`, never as not run.
    """

    def __init__(
        self,
        host: str,
        members: Sequence[GroupHost],
        channels: Channels,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        attempt_ms: int = ATTEMPT_MS,
    ) -> None:
        self._host = host
        self._members = {member.name: member for member in members}
        self._channels = channels
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._attempt_ms = attempt_ms
        self._leader: str | None = host if host in self._members else None

    async def call(self, call: RpcMethod, request: Any, patience_ms: int, wait_ms: int = 0) -> Any:
        """Call the leader, for up to `patience_ms` beyond the `wait_ms` it may hold the call."""
        until_ms = self._clock.now_ms() + patience_ms + wait_ms
        uncertain = False
        heard = False
        while True:
            target = self._target()
            reply, sent = await self._try(call, target, request, patience_ms, wait_ms)
            uncertain = uncertain or (sent and reply is None)
            heard = heard or reply is not None
            if reply is not None and not _is_not_leader(reply):
                self._leader = target.name if call.sticky else None
                return reply
            self._turn_to(target, reply)
            if self._clock.now_ms() >= until_ms:
                return call.refused(_give_up(uncertain, heard))
            self._metrics.retried("not-leader" if reply is not None else "no-answer")
            await self._pause()

    def _target(self) -> GroupHost:
        if self._leader in self._members:
            return self._members[self._leader]
        return self._rng.choice(list(self._members.values()))

    def _turn_to(self, target: GroupHost, reply: Any) -> None:
        hint = reply.refusal.leader if reply is not None else ""
        self._leader = hint if hint in self._members and hint != target.name else None

    async def _try(
        self, call: RpcMethod, target: GroupHost, request: Any, patience_ms: int, wait_ms: int
    ) -> tuple[Any, bool]:
        """Call one host; return its reply, or None and whether it may have got the call."""
        if target.name == self._host and call.local is not None:
            return await call.local(request), True
        method = call.method(self._channels.get(target.address))
        bound_ms = wait_ms + min(patience_ms, self._attempt_ms)
        count_sent(request.ByteSize())
        try:
            reply = await method(request, timeout=bound_ms / 1000)
            count_received(reply.ByteSize())
            return reply, True
        except asyncio.CancelledError:
            if is_cancelled_itself():
                raise
            return None, True
        except grpc.aio.AioRpcError as exc:
            if exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._metrics.silent_connection("peer")
                await self._channels.replace(target.address)
            return None, NEVER_SENT not in (exc.details() or "")

    async def _pause(self) -> None:
        await asyncio.sleep(RETRY_PAUSE_MS * self._rng.uniform(0.5, 1.5) / 1000)


def _is_not_leader(reply: Any) -> bool:
    refused = reply.HasField("refusal")
    return bool(refused and reply.refusal.reason == RefusalReason.NOT_LEADER)


def _give_up(uncertain: bool, heard: bool) -> pb.Refusal:
    if uncertain:
        detail = "no answer came; ask again with the same key"
        return refusal(RefusalReason.OUTCOME_UNKNOWN, detail, RETRY_AFTER_MS)
    if heard:
        detail = "the hosts of the zone have no leader at present"
        return refusal(RefusalReason.NO_LEADER, detail, RETRY_AFTER_MS)
    detail = "no host of the zone can be reached from here"
    return refusal(RefusalReason.ZONE_UNREACHABLE, detail, RETRY_AFTER_MS)
