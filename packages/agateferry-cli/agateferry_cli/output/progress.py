"""One line on standard error that shows how far a long wait has got."""

import sys
from typing import TextIO

from agateferry_cli.client.views import RequestView
from agateferry_core.clock import Clock, SystemClock

MS_PER_S = 1_000
CLEAR_LINE = "\r\x1b[2K"


class ProgressLine:
    """Rewrite one line at each view of a request; silent where nobody looks at a terminal."""

    def __init__(self, stream: TextIO | None = None, clock: Clock | None = None) -> None:
        self._stream = stream or sys.stderr
        self._clock = clock or SystemClock()
        self._begun_ms = self._clock.now_ms()
        self._written = False

    def show(self, view: RequestView) -> None:
        """Show the state, the progress and the time that has passed."""
        if not self._stream.isatty():
            return
        passed_s = (self._clock.now_ms() - self._begun_ms) // MS_PER_S
        progress = f" {view.progress:.0%}" if view.progress else ""
        self._stream.write(f"{CLEAR_LINE}{view.id} {view.state}{progress}, {passed_s} s")
        self._stream.flush()
        self._written = True

    def clear(self) -> None:
        """Take the line away before the result is printed."""
        if self._written:
            self._stream.write(CLEAR_LINE)
            self._stream.flush()
