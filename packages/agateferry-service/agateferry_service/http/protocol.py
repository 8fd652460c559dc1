"""An HTTP/1.1 connection that keeps to the limits of its port.

uvicorn's protocol with the C parser, and besides:

- The application is called once the whole body is there. Until then the bytes are in the account of
  the process, and the client has a limited time for the head and for the body.
- Data is parsed in slices; a connection whose slices cost very much shares a queue with its like.
- A rejected client gets its response before the connection is closed, also while it still sends.
- An answer that is not read keeps its bytes in the account, and for a limited time.
"""

import asyncio
from enum import Enum, auto
from typing import Any, ClassVar

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from agateferry_service.http.connection_bytes import ConnectionBytes
from agateferry_service.http.limits import MAX_HEAD_BYTES, RejectionReason
from agateferry_service.http.memory import set_memory
from agateferry_service.http.port import PortState
from agateferry_service.http.raw_responses import DateHeader, response_bytes
from agateferry_service.http.timer import Timer

READ_BYTES = 64 * 1024
SLICE_BYTES = 16 * 1024
MAX_PARTS_IN_SLICE = 256
"""More parts of bodies or requests in one slice cost more than reading them does."""
MAX_PIPELINED = 16
"""How many requests a client may send before the answer to the first."""
LINGER_MS = 1_000
"""How long a rejected client may go on sending, so that it reads its response first."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_read_buffer = memoryview(bytearray(READ_BYTES))
"""All connections read into this buffer; its content is parsed or copied at once."""


class Phase(Enum):
    """What a connection waits for."""

    HEAD = auto()
    BODY = auto()
    ANSWER = auto()
    IDLE = auto()
    CLOSING = auto()


class BoundedProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """Serve one connection within the limits of `port`, which a subclass for each port sets."""

    port: ClassVar[PortState]
    date_header: ClassVar[DateHeader] = DateHeader()

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._bytes = ConnectionBytes(self.port.memory)
        self._deferred: tuple[RequestResponseCycle, Any] | None = None
        """The request whose body is not complete, and its application."""
        self._is_body_over = True
        self._is_in_head = True
        self._is_paced = False
        self._is_queued = False
        self._phase = Phase.HEAD
        self._timer = Timer(self.loop)
        """The timeout of the phase."""
        self._write_timer = Timer(self.loop)
        """The timeout of an answer that is not read."""
        self._parts = 0
        """Parts of bodies and beginnings of requests in the last slice of input."""
        self._received_bytes = 0
        self._began_s = 0.0

    # Connection

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Admit the connection and start the timeout for the first head."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=0)
        self._began_s = self.loop.time()
        if self.port.connections.admit(self):
            self.port.memory.unfinished.add(self)
            self._timer.start(self.port.limits.head_ms, self._on_head_timeout)
        else:
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        """Give back all that the connection has taken."""
        self._cancel_timers()
        self._forget_request()
        self.port.connections.remove(self)
        self._phase = Phase.CLOSING
        super().connection_lost(exc)

    def drop(self) -> None:
        """Close the connection at once because the port has too many."""
        self._abort(RejectionReason.CONNECTIONS_FULL)

    # Input

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle data in the buffer."""
        self.data_received(_read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse data slice by slice, or keep it for later."""
        if self._phase is Phase.CLOSING:
            return
        start = 0
        while start < len(data) and not (self._is_paced or self._bytes.kept):
            self._parse(data[start : start + SLICE_BYTES])
            start += SLICE_BYTES
        if start < len(data) and self._phase is not Phase.CLOSING:
            self._keep(data[start:])

    def parse_kept(self, max_bytes: int) -> bool:
        """Parse up to `max_bytes` of the kept input; return whether more is waiting."""
        part = bytes(self._bytes.kept[:max_bytes])
        del self._bytes.kept[:max_bytes]
        if part and self._phase is not Phase.CLOSING:
            self._parse(part)
        if self._bytes.kept and self._phase is not Phase.CLOSING:
            return True
        self._is_queued = False
        if self._phase is not Phase.CLOSING and not self.pipeline:
            self.flow.resume_reading()
        return False

    def _keep(self, data: bytes | memoryview) -> None:
        if not self._take(len(data)):
            return
        self._bytes.kept += data
        self.flow.pause_reading()
        if not self._is_queued:
            self._is_queued = True
            self.port.paced_input.add(self)

    def _parse(self, data: bytes | memoryview) -> None:
        self.server_state.default_headers = [self.date_header.current()]
        if self._is_between_requests():
            self._is_in_head = True
            self._bytes.is_receiving = True
            self._began_s = self.loop.time()
            self._received_bytes = 0
        self._received_bytes += len(data)
        if self._is_in_head:
            self._bytes.head_bytes += len(data)
        if not self._take(len(data)):
            return
        self._parts = 0
        super().data_received(data)  # type: ignore[arg-type]
        if self._phase is Phase.CLOSING:
            return
        if self._parts > MAX_PARTS_IN_SLICE:
            self._is_paced = True
        if self._is_in_head and self._bytes.head_bytes > MAX_HEAD_BYTES:
            self.reject(RejectionReason.HEAD_TOO_LARGE)
            return
        self._bytes.settle(self.loop.time())
        self._update_phase()

    def _is_between_requests(self) -> bool:
        return self._is_body_over and (self.cycle is None or self.cycle.response_complete)

    def _take(self, more_bytes: int) -> bool:
        """Take bytes from the account before they are parsed or kept, or reject the request."""
        if self._bytes.take(more_bytes, self.loop.time()):
            return True
        self.reject(RejectionReason.MEMORY_FULL)
        return False

    def grow(self, more_bytes: int) -> bool:
        """Take bytes from the account for the request that the application handles.

        They are given back with its answer. Return False where there is no room; then the
        application rejects the request.
        """
        return self._bytes.grow(more_bytes, self.loop.time())

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a request; nothing more is parsed of a connection that closes."""
        if self._phase is Phase.CLOSING:
            raise httptools.HttpParserError("the connection is being closed")
        self._parts += 1
        self._is_in_head = True
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; fields after the body are left out."""
        if self._is_in_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Begin to collect the body; the application is called when it is complete."""
        self._is_in_head = False
        self._is_body_over = False
        self._bytes.head_bytes = 0
        self._bytes.is_receiving = True
        super().on_headers_complete()
        if self.cycle.waiting_for_100_continue:
            self.cycle.waiting_for_100_continue = False
            self.transport.write(CONTINUE)
        if len(self.pipeline) > MAX_PIPELINED:
            self._abort(RejectionReason.PIPELINE_FULL)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body; one that is too long is passed on at once."""
        self._parts += 1
        if not self.cycle.more_body:
            return
        self._bytes.body.append(body)
        if self._bytes.body.size > self.port.limits.max_body_bytes:
            self.cycle.keep_alive = True  # closed by `_linger`, for its sender still sends
            self._complete_body()

    def on_message_complete(self) -> None:
        """Pass the request on, unless its body was too long."""
        self._is_body_over = True
        if self.cycle.more_body and self._phase is not Phase.CLOSING:
            self._complete_body()

    def _complete_body(self) -> None:
        cycle = self.cycle
        cycle.body = self._bytes.begin_handling()  # type: ignore[assignment]  # bytes are not copied again
        cycle.more_body = False
        cycle.message_event.set()
        if self._deferred is not None and self._deferred[0] is cycle:
            _, app = self._deferred
            self._deferred = None
            super()._start_asgi_task(cycle, app)

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        set_memory(cycle.scope["state"], self)
        if cycle.more_body:
            self._deferred = (cycle, app)
        else:
            super()._start_asgi_task(cycle, app)

    # Phases and timeouts

    def _update_phase(self) -> None:
        """Set the phase and its timeout after data or the end of a response."""
        phase = self._current_phase()
        if phase is self._phase:
            return
        self._phase = phase
        self._timer.cancel()
        if phase is Phase.BODY or phase is Phase.HEAD:
            self.port.memory.unfinished.add(self)
        else:
            self.port.memory.unfinished.discard(self)
        limits = self.port.limits
        match phase:
            case Phase.HEAD:
                self._timer.start(limits.head_ms, self._on_head_timeout)
            case Phase.BODY:
                body_ms = limits.body_ms(self.cycle.scope["headers"])
                self._timer.start(body_ms, self.reject, RejectionReason.BODY_TIMEOUT)
            case Phase.ANSWER:
                self.port.connections.mark_busy(self)
            case Phase.IDLE:
                self.port.connections.mark_waiting(self)

    def _current_phase(self) -> Phase:
        if self._deferred is not None:
            return Phase.BODY
        if self.cycle is not None and not self.cycle.response_complete:
            return Phase.ANSWER
        if not self._is_body_over:
            return Phase.BODY
        return Phase.HEAD if self._is_in_head else Phase.IDLE

    def on_response_complete(self) -> None:
        """Give back what the request has taken, or wait until its sender has read the answer."""
        super().on_response_complete()
        if self._phase is Phase.CLOSING:
            return
        if self.transport.is_closing():
            self._phase = Phase.CLOSING
            self.port.connections.mark_closing(self)
            if self.flow.write_paused:
                self._start_write_timer()
            return
        if not self._is_body_over:
            self._linger()
            return
        self._bytes.end_handling(is_read=not self.flow.write_paused)
        self._bytes.settle(self.loop.time())
        self._update_phase()

    def pause_writing(self) -> None:
        """Limit the time in which the client has to read what was written."""
        super().pause_writing()
        self._start_write_timer()

    def resume_writing(self) -> None:
        """Note that the client has read everything."""
        super().resume_writing()
        self._write_timer.cancel()
        self._bytes.answers_read()
        if self._phase is not Phase.CLOSING:
            self._bytes.settle(self.loop.time())

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, also if its client has not read the last answer."""
        if self.flow.write_paused:
            self._abort(RejectionReason.ANSWER_UNREAD)
        else:
            super().timeout_keep_alive_handler()

    def _on_head_timeout(self) -> None:
        if self._bytes.head_bytes:
            self.port.count_rejection(RejectionReason.HEAD_TIMEOUT)
        self.transport.close()

    def _start_write_timer(self) -> None:
        if not self._write_timer.is_running:
            unread_ms = self.port.limits.unread_ms
            self._write_timer.start(unread_ms, self._abort, RejectionReason.ANSWER_UNREAD)

    def _cancel_timers(self) -> None:
        self._timer.cancel()
        self._write_timer.cancel()

    # Rejection

    @property
    def held_bytes(self) -> int:
        """Return the bytes that the connection has taken from the account."""
        return self._bytes.held

    def progress(self, now_s: float) -> float:
        """Return the bytes received for each second since the request began."""
        return self._received_bytes / (now_s - self._began_s + 0.1)

    def evict(self) -> None:
        """Reject the request because the account is full."""
        self.reject(RejectionReason.MEMORY_FULL)

    def reject(self, reason: RejectionReason) -> None:
        """Answer that the unfinished request is rejected, and close the connection after that.

        Where an earlier request of the connection is still being answered, the connection is closed
        without a response, which would be taken for the earlier one's.
        """
        if self._phase is Phase.CLOSING:
            return
        is_earlier_unanswered = (
            self.cycle is not None and not self.cycle.response_complete and self._deferred is None
        )
        if is_earlier_unanswered:
            self._abort(reason)
            return
        self.port.count_rejection(reason)
        response = self.port.make_rejection(reason, reason.detail)
        self.transport.write(response_bytes(response, self.date_header.current()))
        self._linger()

    def send_400_response(self, msg: str) -> None:
        """Answer data that is not HTTP, and close the connection."""
        if self._phase is Phase.CLOSING:
            return
        super().send_400_response(msg)
        self._forget_request()
        self._timer.cancel()
        self._phase = Phase.CLOSING
        self.port.connections.mark_closing(self)

    def _linger(self) -> None:
        """Drop what is known of the request and what still arrives, and close soon.

        A connection that is closed while its client still sends is reset, and the client may lose
        the response that it has not read.
        """
        self._forget_request()
        self._phase = Phase.CLOSING
        self.port.connections.mark_closing(self)
        self._unset_keepalive_if_required()
        self.flow.resume_reading()
        if not self.transport.is_closing():
            self.transport.write_eof()
        self._timer.start(LINGER_MS, self.transport.abort)

    def _abort(self, reason: RejectionReason) -> None:
        self.port.count_rejection(reason)
        self._forget_request()
        self._cancel_timers()
        self._phase = Phase.CLOSING
        self.transport.abort()

    def _forget_request(self) -> None:
        self._bytes.release()
        self._deferred = None
        self.port.memory.unfinished.discard(self)


def bounded_protocol(port: PortState) -> type[BoundedProtocol]:
    """Return the protocol class of a port, because uvicorn takes a class."""
    return type("PortProtocol", (BoundedProtocol,), {"port": port})
