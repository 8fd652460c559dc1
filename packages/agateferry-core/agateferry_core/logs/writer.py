"""Log output that never waits for its reader."""

import os

MAX_WAITING_BYTES = 256 * 1024
"""What may wait for a reader that is slow; about a second of lines on the heaviest day."""


class LineWriter:
    """Write whole lines to a descriptor without blocking; drop and count what does not fit.

    The first line that fits after a gap is followed by one that tells how many were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._untold = 0

    def write(self, text: str) -> None:
        """Take the text of one line, or drop it where too much waits already."""
        data = text.encode(errors="replace")
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            self._untold += 1
            return
        self._waiting += data
        if self._untold:
            self._waiting += b'{"number": 1001, "event": "log lines dropped", "lines": %d}\n' % (
                self._untold
            )
            self._untold = 0

    def flush(self) -> None:
        """Hand over as much as the reader takes now."""
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                self._waiting.clear()
                return
            del self._waiting[:written]
