"""The leader's calls as a gRPC service."""

from collections.abc import Awaitable, Callable

import grpc
import msgspec

from agateferry_jobs.calls import messages
from agateferry_jobs.rpc import leader_pb2 as pb
from agateferry_jobs.rpc import leader_pb2_grpc as rpc


class LeaderServicer(rpc.LeaderServicer):
    """Decode a question, have it answered and encode the answer."""

    def __init__(
        self, answer: Callable[[messages.Call], Awaitable[messages.ReplyEnvelope]]
    ) -> None:
        self._answer = answer

    async def Ask(  # noqa: N802
        self, request: pb.LeaderAsk, context: grpc.aio.ServicerContext
    ) -> pb.LeaderAnswer:
        """Answer one question."""
        try:
            call = messages.decode_call(request.ask)
        except msgspec.DecodeError as exc:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(exc))
        return pb.LeaderAnswer(answer=messages.encode(await self._answer(call)))
