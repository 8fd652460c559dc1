"""Transport of replication messages between hosts.

One transport serves all groups of a host: the zone's cell and the records plane share it. Messages
may be lost or reordered, but are never truncated; the replication protocol resends lost ones.
"""

import random
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Protocol

from expression import Error, Ok, Result
from google.protobuf.message import DecodeError
from grpc import aio

from agateferry_core.clock import Clock, SystemClock
from agateferry_core.logs import EventLogger
from agateferry_state.events import DATAGRAMS_UNAVAILABLE, ENVELOPE_REFUSED
from agateferry_state.replica.codec import Envelope, decode_envelope, encode_envelope
from agateferry_state.replica.datagrams import DatagramReachability, DatagramSocket
from agateferry_state.replica.link import LinkSettings, PeerLink, server_options
from agateferry_state.replica.metrics import (
    MESSAGES_DROPPED,
    MESSAGES_REFUSED,
    count_received,
    count_sent,
)
from agateferry_state.replication.messages import AppendResponse
from agateferry_state.rpc import replication_pb2 as pb
from agateferry_state.rpc import replication_pb2_grpc as rpc

STREAM_ONLY_AFTER_BULK_MS = 500
EnvelopeHandler = Callable[[Envelope], None]


class Transport(Protocol):
    """Carry envelopes between the hosts of groups."""

    def register(self, group: str, receive: EnvelopeHandler) -> None:
        """Pass arriving envelopes of a group to `receive`."""

    def unregister(self, group: str) -> None:
        """Drop arriving envelopes of a group from now on."""

    def set_address(self, host: str, address: str) -> None:
        """Set the `ip:port` of a host."""

    def send(self, envelope: Envelope) -> None:
        """Send to the recipient's host if possible; never blocks and never raises."""


class GrpcTransport(rpc.ReplicationServicer):
    """Carry envelopes in one gRPC stream to each host, and small ones as datagrams.

    For example `transport = GrpcTransport({"b": "10.0.0.2:7400"}, rng)`, then
    `await start_server("10.0.0.1:7400", transport)`.
    """

    def __init__(
        self,
        addresses: Mapping[str, str],
        rng: random.Random,
        settings: LinkSettings | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._addresses = dict(addresses)
        self._rng = rng
        self._settings = settings or LinkSettings()
        self._receivers: dict[str, EnvelopeHandler] = {}
        self._links: dict[str, PeerLink] = {}
        self._retired: list[PeerLink] = []
        self._clock = clock or SystemClock()
        self._datagram_reachability = DatagramReachability(self._clock)
        self._datagrams: DatagramSocket | None = None
        self._last_bulk_ms: dict[str, int] = {}
        self._log = EventLogger()

    def register(self, group: str, receive: EnvelopeHandler) -> None:
        """Pass arriving envelopes of a group to `receive`."""
        self._receivers[group] = receive

    def unregister(self, group: str) -> None:
        """Drop arriving envelopes of a group from now on."""
        self._receivers.pop(group, None)

    def set_address(self, host: str, address: str) -> None:
        """Set the `ip:port` of a host; messages stop using an open link to an older address."""
        self._addresses[host] = address
        link = self._links.get(host)
        if link is not None and link.address != address:
            self._retired.append(self._links.pop(host))

    def send(self, envelope: Envelope) -> None:
        """Send to the recipient's host if possible; never blocks and never raises."""
        if self._send_datagram(envelope):
            return
        link = self._link_to(envelope.recipient.host)
        if link is None:
            MESSAGES_DROPPED.labels("address-unknown").inc()
            return
        link.outbox.put(envelope)

    def open_datagrams(self, address: str) -> None:
        """Use datagrams too, on the UDP port with the server's port number if it can be bound."""
        try:
            self._datagrams = DatagramSocket(address, self._receive_datagram)
        except OSError as exc:
            self._log.warning(DATAGRAMS_UNAVAILABLE, address=address, detail=str(exc))

    def add_to(self, server: aio.Server) -> None:
        """Add the service that receives envelopes to a server that is not started yet."""
        rpc.add_ReplicationServicer_to_server(self, server)

    async def close(self) -> None:
        """Close the connections to all hosts."""
        if self._datagrams is not None:
            self._datagrams.close()
            self._datagrams = None
        for link in [*self._links.values(), *self._retired]:
            await link.close()
        self._links.clear()
        self._retired.clear()

    async def Exchange(  # noqa: N802
        self, request_iterator: AsyncIterator[pb.Envelopes], context: aio.ServicerContext
    ) -> None:
        """Receive the envelopes of one stream from another host."""
        async for batch in request_iterator:
            count_received(batch.ByteSize())
            for wire in batch.envelopes:
                self._dispatch(wire)
            if batch.wants_receipt:
                await context.write(pb.Received())

    def _link_to(self, host: str) -> PeerLink | None:
        link = self._links.get(host)
        address = self._addresses.get(host)
        if link is None and address:
            link = self._links[host] = PeerLink(host, address, self._settings, self._rng)
        return link

    def _send_datagram(self, envelope: Envelope) -> bool:
        """Send a small message as a datagram; return True if it need not be sent by stream too."""
        host = envelope.recipient.host
        if envelope.is_bulk:
            self._last_bulk_ms[host] = self._clock.now_ms()
        if self._datagrams is None or not self._may_use_datagram(envelope):
            return False
        address = self._addresses.get(host)
        if not address:
            return False
        wire = encode_envelope(envelope)
        wire.hears_datagrams = self._datagram_reachability.receives_from(host)
        data = wire.SerializeToString()
        count_sent(len(data))
        self._datagrams.send(address, data)
        return self._datagram_reachability.is_bidirectional(host)

    def _may_use_datagram(self, envelope: Envelope) -> bool:
        """Return whether a message is small and may arrive before earlier ones in the stream."""
        if not envelope.is_heartbeat:
            return isinstance(envelope.message, AppendResponse)
        last_bulk_ms = self._last_bulk_ms.get(envelope.recipient.host)
        return (
            last_bulk_ms is None or self._clock.now_ms() - last_bulk_ms > STREAM_ONLY_AFTER_BULK_MS
        )

    def _receive_datagram(self, data: bytes) -> None:
        count_received(len(data))
        try:
            wire = pb.Envelope.FromString(data)
        except DecodeError:
            MESSAGES_REFUSED.labels("not-understood").inc()
            return
        self._datagram_reachability.record_received(wire.sender.host, wire.hears_datagrams)
        self._dispatch(wire)

    def _dispatch(self, wire: pb.Envelope) -> None:
        receive = self._receivers.get(wire.group)
        if receive is None:
            MESSAGES_REFUSED.labels("no-such-group").inc()
            return
        try:
            envelope = decode_envelope(wire)
        except ValueError as exc:
            MESSAGES_REFUSED.labels("not-understood").inc()
            self._log.warning(ENVELOPE_REFUSED, sender=wire.sender.host, detail=str(exc))
            return
        receive(envelope)


async def start_server(address: str, transport: GrpcTransport) -> Result[aio.Server, str]:
    """Start a server for envelopes on `ip:port`; the error is why the port cannot be bound.

    Stop the server before the event loop ends, else the process does not exit.
    """
    server = aio.server(options=server_options())
    transport.add_to(server)
    try:
        server.add_insecure_port(address)
    except RuntimeError as exc:
        return Error(str(exc))
    await server.start()
    transport.open_datagrams(address)
    return Ok(server)
