"""How messages get from one host to another.

One transport serves all groups of a host: the zone's cell and the records plane share it. It
promises nothing but that a message that arrives is whole; members repeat what was lost.
"""

import random
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Protocol

from expression import Error, Ok, Result
from grpc import aio

from agateferry_core.logs import EventLogger
from agateferry_state.events import ENVELOPE_REFUSED
from agateferry_state.replica.codec import Envelope, decode_envelope
from agateferry_state.replica.link import LinkSettings, PeerLink, server_options
from agateferry_state.replica.metrics import MESSAGES_DROPPED, MESSAGES_REFUSED
from agateferry_state.rpc import replication_pb2 as pb
from agateferry_state.rpc import replication_pb2_grpc as rpc

Receive = Callable[[Envelope], None]


class Transport(Protocol):
    """Carry envelopes between the hosts that take part in a group."""

    def register(self, group: str, receive: Receive) -> None:
        """Have the envelopes of a group handed to `receive`."""

    def unregister(self, group: str) -> None:
        """Drop the envelopes of a group from now on."""

    def set_address(self, host: str, address: str) -> None:
        """Say by which `ip:port` a host is reached."""

    def send(self, envelope: Envelope) -> None:
        """Send to the recipient's host if it can be reached; never waits, never fails."""


class GrpcTransport(rpc.ReplicationServicer):
    """Carry envelopes in one gRPC stream to each other host.

    For example `transport = GrpcTransport({"b": "10.0.0.2:7400"}, rng)`, then
    `await start_server("10.0.0.1:7400", transport)`.
    """

    def __init__(
        self,
        addresses: Mapping[str, str],
        rng: random.Random,
        settings: LinkSettings | None = None,
    ) -> None:
        self._addresses = dict(addresses)
        self._rng = rng
        self._settings = settings or LinkSettings()
        self._receivers: dict[str, Receive] = {}
        self._links: dict[str, PeerLink] = {}
        self._retired: list[PeerLink] = []
        self._log = EventLogger()

    def register(self, group: str, receive: Receive) -> None:
        """Have the envelopes of a group handed to `receive`."""
        self._receivers[group] = receive

    def unregister(self, group: str) -> None:
        """Drop the envelopes of a group from now on."""
        self._receivers.pop(group, None)

    def set_address(self, host: str, address: str) -> None:
        """Say by which `ip:port` a host is reached; an open link elsewhere is given up."""
        self._addresses[host] = address
        link = self._links.get(host)
        if link is not None and link.address != address:
            self._retired.append(self._links.pop(host))

    def send(self, envelope: Envelope) -> None:
        """Send to the recipient's host if it can be reached; never waits, never fails."""
        link = self._link_to(envelope.recipient.host)
        if link is None:
            MESSAGES_DROPPED.labels("address-unknown").inc()
            return
        link.outbox.put(envelope)

    async def close(self) -> None:
        """Close the connections to all hosts."""
        for link in [*self._links.values(), *self._retired]:
            await link.close()
        self._links.clear()
        self._retired.clear()

    async def Exchange(  # noqa: N802
        self, request_iterator: AsyncIterator[pb.Envelopes], context: aio.ServicerContext
    ) -> None:
        """Take in the envelopes of one stream from another host."""
        async for batch in request_iterator:
            for wire in batch.envelopes:
                self._take_in(wire)
            if batch.wants_receipt:
                await context.write(pb.Received())

    def _link_to(self, host: str) -> PeerLink | None:
        link = self._links.get(host)
        address = self._addresses.get(host)
        if link is None and address:
            link = self._links[host] = PeerLink(host, address, self._settings, self._rng)
        return link

    def _take_in(self, wire: pb.Envelope) -> None:
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
    """Listen on `ip:port` for the envelopes of other hosts; the error tells why it cannot."""
    server = aio.server(options=server_options())
    rpc.add_ReplicationServicer_to_server(transport, server)
    try:
        server.add_insecure_port(address)
    except RuntimeError as exc:
        return Error(str(exc))
    await server.start()
    return Ok(server)
