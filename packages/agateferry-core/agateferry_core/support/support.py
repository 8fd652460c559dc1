"""Small helpers that tests share."""

import asyncio
import selectors
import socket
import time
from collections.abc import Callable, Coroutine
from typing import Any

POLL_S = 0.02


def run_async(main: Coroutine[Any, Any, Any], timeout_s: float = 60.0) -> Any:
    """Run a coroutine to its end on a new loop, or fail after `timeout_s` seconds."""
    return asyncio.run(asyncio.wait_for(main, timeout_s))


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose time jumps to the next timer as soon as nothing is left to do.

    It is a clock too, so that what runs on it needs no other. Nothing on it may wait for a socket.
    """

    def __init__(self) -> None:
        super().__init__(_NoWaiting(self))
        self.passed_s = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.passed_s

    def now_ms(self) -> int:
        """Return the virtual time in milliseconds."""
        return round(self.passed_s * 1000)

    def wall_ms(self) -> int:
        """Return the virtual time as a time of day."""
        return self.now_ms()


class _NoWaiting(selectors.SelectSelector):
    """Let virtual time pass in place of waiting."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now, after `timeout` seconds of virtual time."""
        if timeout is None:
            raise RuntimeError("nothing is left to do, and no timer will change that")
        self._loop.passed_s += max(0.0, timeout)
        return super().select(0)


def run_virtual(main: Callable[[VirtualLoop], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine to its end in virtual time; it gets the loop, which is its clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, VirtualLoop)
        return runner.run(main(loop))


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that was free a moment ago on a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def wait_until(condition: Callable[[], bool], what: str, timeout_s: float = 30.0) -> None:
    """Poll `condition` until it holds; raise TimeoutError naming `what` after `timeout_s`."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"waited {timeout_s} s in vain for: {what}")
        time.sleep(POLL_S)
