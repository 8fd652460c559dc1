"""Log output that does not block where its reader is slow."""

import os

MAX_BUFFERED_BYTES = 256 * 1024
"""Limit of the lines not yet written; about a second of lines under the heaviest load."""


class LineWriter:
    """Write whole lines to a file descriptor without blocking; drop and count what does not fit.

    The first line that fits after dropped ones is followed by a log event with their number.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._unreported = 0

    def write(self, text: str) -> None:
        """Buffer the text of one line, or drop it where the buffer is full."""
        data = text.encode(errors="replace")
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self._unreported += 1
            return
        self._buffer += data
        if self._unreported:
            self._buffer += b'{"number": 1001, "event": "log lines dropped", "lines": %d}\n' % (
                self._unreported
            )
            self._unreported = 0

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                self._buffer.clear()
                return
            del self._buffer[:written]
