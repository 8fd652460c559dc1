"""A line on standard error that shows the progress of a request."""

import sys
from typing import TextIO

from agateferry_cli.client.views import RequestView
from agateferry_core.clock import Clock, SystemClock

MS_PER_S = 1_000
CLEAR_LINE = "\r\x1b[2K"


class ProgressLine:
    """Rewrite one line at each view of a request; write nothing where the stream is no terminal."""

    def __init__(self, stream: TextIO | None = None, clock: Clock | None = None) -> None:
        self._stream = stream or sys.stderr
        self._clock = clock or SystemClock()
        self._started_ms = self._clock.now_ms()
        self._has_written = False

    def show(self, view: RequestView) -> None:
        """Show the state, the progress and the elapsed time."""
        if not self._stream.isatty():
            return
        elapsed_s = (self._clock.now_ms() - self._started_ms) // MS_PER_S
        progress = f" {view.progress:.0%}" if view.progress else ""
        self._stream.write(f"{CLEAR_LINE}{view.id} {view.state}{progress}, {elapsed_s} s")
        self._stream.flush()
        self._has_written = True

    def clear(self) -> None:
        """Remove the line, so that the result can be printed."""
        if self._has_written:
            self._stream.write(CLEAR_LINE)
            self._stream.flush()
