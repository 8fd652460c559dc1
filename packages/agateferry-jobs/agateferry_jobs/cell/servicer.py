"""The gRPC service through which other hosts call the leader."""

from collections.abc import Awaitable, Callable

import grpc
import msgspec

from agateferry_jobs.calls import messages
from agateferry_jobs.rpc import leader_pb2 as pb
from agateferry_jobs.rpc import leader_pb2_grpc as rpc


class LeaderServicer(rpc.LeaderServicer):
    """Decode a call, pass it to `handle` and encode the reply."""

    def __init__(
        self, handle: Callable[[messages.Call], Awaitable[messages.ReplyEnvelope]]
    ) -> None:
        self._handle = handle

    async def Ask(  # noqa: N802
        self, request: pb.LeaderAsk, context: grpc.aio.ServicerContext
    ) -> pb.LeaderAnswer:
        """Handle one call; the method's name is fixed by the gRPC service."""
        try:
            call = messages.decode_call(request.ask)
        except msgspec.DecodeError as exc:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(exc))
        return pb.LeaderAnswer(answer=messages.encode(await self._handle(call)))
