"""The gRPC service through which other hosts call the leader."""

from collections.abc import Awaitable, Callable

import grpc
import msgspec

from agateferry_jobs.calls import messages
from agateferry_jobs.rpc import leader_pb2 as pb
from agateferry_jobs.rpc import leader_pb2_grpc as rpc

LARGE_CALL_BYTES = 64 * 1024
"""Smaller calls are always handled."""
MAX_LARGE_BYTES = 16 * 1024 * 1024
"""What larger calls may take that are being handled; one of the longest legal length fits."""
BUSY_RETRY_MS = 1_000
REFUSED = messages.ReplyEnvelope(messages.Refused("too many large calls", BUSY_RETRY_MS))


class LeaderServicer(rpc.LeaderServicer):
    """Decode a call, pass it to `handle` and encode the reply.

    All entries together may send more large calls than a host has memory for. What is over is
    refused before it is decoded, so it has no effect.
    """

    def __init__(
        self, handle: Callable[[messages.Call], Awaitable[messages.ReplyEnvelope]]
    ) -> None:
        self._handle = handle
        self._large_bytes = 0

    async def Ask(  # noqa: N802
        self, request: pb.LeaderAsk, context: grpc.aio.ServicerContext
    ) -> pb.LeaderAnswer:
        """Handle one call; the method's name is fixed by the gRPC service."""
        size = len(request.ask)
        if size < LARGE_CALL_BYTES:
            return await self._answer(request, context)
        if self._large_bytes + size > MAX_LARGE_BYTES:
            return pb.LeaderAnswer(answer=messages.encode(REFUSED))
        self._large_bytes += size
        try:
            return await self._answer(request, context)
        finally:
            self._large_bytes -= size

    async def _answer(
        self, request: pb.LeaderAsk, context: grpc.aio.ServicerContext
    ) -> pb.LeaderAnswer:
        try:
            call = messages.decode_call(request.ask)
        except msgspec.DecodeError as exc:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(exc))
        return pb.LeaderAnswer(answer=messages.encode(await self._handle(call)))
