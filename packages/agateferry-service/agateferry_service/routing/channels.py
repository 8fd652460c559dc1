"""gRPC channels to the other entry hosts."""

import grpc

KEEPALIVE_MS = 10_000
KEEPALIVE_TIMEOUT_MS = 2_000
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1_000
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

CHANNEL_OPTIONS = (
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.min_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
)


class Channels:
    """Keep one channel per address, and replace a channel whose host does not reply."""

    def __init__(self) -> None:
        self._channels: dict[str, grpc.aio.Channel] = {}

    def get(self, address: str) -> grpc.aio.Channel:
        """Return the channel to an address, opened on first use."""
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=list(CHANNEL_OPTIONS))
            self._channels[address] = channel
        return channel

    async def replace(self, address: str) -> None:
        """Close the channel to an address, so that the next call opens a new connection."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close(grace=None)

    async def close(self) -> None:
        """Close every channel."""
        for address in list(self._channels):
            await self.replace(address)
