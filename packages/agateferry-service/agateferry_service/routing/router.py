"""Calls to the host that leads a replication group: a zone's cell or the records plane."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

import grpc

from agateferry_core.clock import Clock
from agateferry_core.metrics import Metrics
from agateferry_core.tasks import is_current_task_cancelled
from agateferry_service.cell.refusals import RETRY_AFTER_MS, RefusalReason, refusal
from agateferry_service.routing.channels import Channels
from agateferry_service.rpc import cell_pb2 as pb
from agateferry_state.replica.metrics import count_received, count_sent

RETRY_PAUSE_MS = 100
ATTEMPT_TIMEOUT_MS = 2_000
CONNECT_FAILED_DETAIL = "failed to connect"


@dataclass(frozen=True, slots=True)
class GroupHost:
    """A host of a group, with the address of its port for peers."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class RpcMethod:
    """An RPC method: how to get it from a stub, and how to make a reply with a refusal.

    `local` handles the call without a connection if this host belongs to the group. A method that
    is not `sticky` can be served by any host; the next call goes to a random one.
    """

    name: str
    stub_method: Callable[[grpc.aio.Channel], Callable[..., Awaitable[Any]]]
    make_refusal: Callable[[pb.Refusal], Any]
    local: Callable[[Any], Awaitable[Any]] | None = None
    sticky: bool = True


class Router:
    """Find the leader of one group, call it and retry.

    All calls are idempotent and can be retried: submissions carry the request's id, and the others
    have no further effect. A call that may have arrived but has no reply at the timeout is refused
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
        attempt_timeout_ms: int = ATTEMPT_TIMEOUT_MS,
    ) -> None:
        self._host = host
        self._members = {member.name: member for member in members}
        self._channels = channels
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._attempt_timeout_ms = attempt_timeout_ms
        self._leader: str | None = host if host in self._members else None

    async def call(self, method: RpcMethod, request: Any, timeout_ms: int, wait_ms: int = 0) -> Any:
        """Call the leader, with retries until `timeout_ms` plus `wait_ms` have passed.

        `wait_ms` is how long the request lets the leader hold the call.
        """
        give_up_at_ms = self._clock.now_ms() + timeout_ms + wait_ms
        outcome_unknown = False
        got_reply = False
        while True:
            target = self._choose_target()
            reply, may_have_arrived = await self._call_host(
                method, target, request, timeout_ms, wait_ms
            )
            outcome_unknown = outcome_unknown or (may_have_arrived and reply is None)
            got_reply = got_reply or reply is not None
            if reply is not None and not _is_not_leader(reply):
                self._leader = target.name if method.sticky else None
                return reply
            self._update_leader(target, reply)
            if self._clock.now_ms() >= give_up_at_ms:
                return method.make_refusal(_timeout_refusal(outcome_unknown, got_reply))
            self._metrics.retried("not-leader" if reply is not None else "no-answer")
            await self._pause()

    def _choose_target(self) -> GroupHost:
        if self._leader in self._members:
            return self._members[self._leader]
        return self._rng.choice(list(self._members.values()))

    def _update_leader(self, target: GroupHost, reply: Any) -> None:
        named_leader = reply.refusal.leader if reply is not None else ""
        self._leader = (
            named_leader if named_leader in self._members and named_leader != target.name else None
        )

    async def _call_host(
        self, method: RpcMethod, target: GroupHost, request: Any, timeout_ms: int, wait_ms: int
    ) -> tuple[Any, bool]:
        """Call one host; return its reply or None, and whether the call may have arrived."""
        if target.name == self._host and method.local is not None:
            return await method.local(request), True
        stub_call = method.stub_method(self._channels.get(target.address))
        call_timeout_ms = wait_ms + min(timeout_ms, self._attempt_timeout_ms)
        count_sent(request.ByteSize())
        try:
            reply = await stub_call(request, timeout=call_timeout_ms / 1000)
            count_received(reply.ByteSize())
            return reply, True
        except asyncio.CancelledError:
            if is_current_task_cancelled():
                raise
            return None, True
        except grpc.aio.AioRpcError as exc:
            if exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._metrics.silent_connection("peer")
                await self._channels.replace(target.address)
            return None, CONNECT_FAILED_DETAIL not in (exc.details() or "")

    async def _pause(self) -> None:
        await asyncio.sleep(RETRY_PAUSE_MS * self._rng.uniform(0.5, 1.5) / 1000)


def _is_not_leader(reply: Any) -> bool:
    is_refused = reply.HasField("refusal")
    return bool(is_refused and reply.refusal.reason == RefusalReason.NOT_LEADER)


def _timeout_refusal(outcome_unknown: bool, got_reply: bool) -> pb.Refusal:
    if outcome_unknown:
        detail = "no reply arrived; retry with the same key"
        return refusal(RefusalReason.OUTCOME_UNKNOWN, detail, RETRY_AFTER_MS)
    if got_reply:
        detail = "the hosts of the zone have no leader at present"
        return refusal(RefusalReason.NO_LEADER, detail, RETRY_AFTER_MS)
    detail = "this host cannot reach any host of the zone"
    return refusal(RefusalReason.ZONE_UNREACHABLE, detail, RETRY_AFTER_MS)
