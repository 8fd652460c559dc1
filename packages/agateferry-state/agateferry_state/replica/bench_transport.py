"""Measure the cost of small messages in streams and in unary calls."""

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path

import grpc
from grpc import aio

from agateferry_core.support import free_port
from agateferry_state.members import MemberId
from agateferry_state.replica.codec import Envelope, encode_envelope
from agateferry_state.replica.link import server_options
from agateferry_state.replica.transport import GrpcTransport, start_server
from agateferry_state.replication.messages import AppendRequest
from agateferry_state.rpc import replication_pb2 as pb

MESSAGES_PER_S = 40
MEASURED_S = 5.0
METHOD = "/agateferry.state.Bench/Send"
MS_PER_S = 1000.0
HEARTBEAT = AppendRequest(3, 1_000, 3, 1_000, 77)


def print_measurement(metric: str, value: float, unit: str) -> None:
    """Print one measurement."""
    print(f"measure state {metric} {value:.3f} {unit}", flush=True)


def print_percentiles(metric: str, values_ms: list[float]) -> None:
    """Print the median and the 99th percentile."""
    ordered = sorted(values_ms)
    print_measurement(f"{metric}_p50", ordered[len(ordered) // 2], "ms")
    print_measurement(f"{metric}_p99", ordered[len(ordered) * 99 // 100], "ms")


class CountingRelay:
    """Relay connections to a port and count the bytes in both directions."""

    def __init__(self, target: int) -> None:
        self.port = free_port()
        self.bytes = 0
        self._target = target

    async def start(self) -> asyncio.Server:
        """Listen for connections."""
        return await asyncio.start_server(self._accept, "127.0.0.1", self.port)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self._target)
        await asyncio.gather(self._pump(reader, target_writer), self._pump(target_reader, writer))

    async def _pump(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        while data := await source.read(65536):
            self.bytes += len(data)
            sink.write(data)
        sink.close()


def _envelope() -> Envelope:
    return Envelope("cell:a", MemberId("a", "0" * 16), MemberId("b", "1" * 16), HEARTBEAT)


async def measure_transport(folder: Path) -> None:
    """Measure heartbeats at a fixed rate; figures include the work of sender and receiver."""
    print_measurement(
        "datagram_bytes_per_heartbeat", len(encode_envelope(_envelope()).SerializeToString()), "B"
    )
    await _measure_stream()
    await _measure_unary()


async def _measure_stream() -> None:
    port = free_port()
    receiver, sender = GrpcTransport({}, random.Random(1)), GrpcTransport({}, random.Random(2))
    receiver.register("cell:a", lambda envelope: None)
    server = (await start_server(f"127.0.0.1:{port}", receiver)).ok
    sender.set_address("b", f"127.0.0.1:{port}")
    await _send_paced("stream", lambda: sender.send(_envelope()))
    relay = CountingRelay(port)
    relay_server = await relay.start()
    sender.set_address("b", f"127.0.0.1:{relay.port}")
    await _send_paced("", lambda: sender.send(_envelope()))
    print_measurement("stream_bytes_per_message", relay.bytes / (MESSAGES_PER_S * MEASURED_S), "B")
    await sender.close()
    relay_server.close()
    await server.stop(None)


async def _measure_unary() -> None:
    async def answer(request: pb.Envelope, context: aio.ServicerContext) -> pb.Received:
        return pb.Received()

    handler = grpc.unary_unary_rpc_method_handler(
        answer,
        request_deserializer=pb.Envelope.FromString,
        response_serializer=pb.Received.SerializeToString,
    )
    server = aio.server(options=server_options())
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler("agateferry.state.Bench", {"Send": handler}),)
    )
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    async with aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = channel.unary_unary(
            METHOD,
            request_serializer=pb.Envelope.SerializeToString,
            response_deserializer=pb.Received.FromString,
        )
        tasks: set[asyncio.Task[None]] = set()

        async def send() -> None:
            await call(encode_envelope(_envelope()))

        def begin() -> None:
            task = asyncio.get_running_loop().create_task(send())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        await _send_paced("unary", begin)
        await asyncio.gather(*tasks)
    await server.stop(None)


async def _send_paced(metric: str, send: Callable[[], None]) -> None:
    send()
    await asyncio.sleep(0.5)
    began = time.process_time()
    for _ in range(int(MESSAGES_PER_S * MEASURED_S)):
        send()
        await asyncio.sleep(1 / MESSAGES_PER_S)
    cpu_ms = (time.process_time() - began) * MS_PER_S
    if metric:
        print_measurement(f"{metric}_cpu_per_message", cpu_ms / (MESSAGES_PER_S * MEASURED_S), "ms")
