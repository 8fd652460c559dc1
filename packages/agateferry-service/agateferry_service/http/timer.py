"""A timeout that can be started again and cancelled."""

import asyncio
from collections.abc import Callable
from typing import Any

from agateferry_core.clock import MS_PER_S


class Timer:
    """Call something once after a time, unless the timer is cancelled or started again."""

    __slots__ = ("_handle", "_loop")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the timer was started and not cancelled since."""
        return self._handle is not None

    def start(self, delay_ms: int, callback: Callable[..., None], *args: Any) -> None:
        """Start the timer anew."""
        self.cancel()
        self._handle = self._loop.call_later(delay_ms / MS_PER_S, callback, *args)

    def cancel(self) -> None:
        """Stop the timer; this may be called again."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
