"""Run coroutines in real or virtual time, and wait for ports and conditions."""

import asyncio
import contextlib
import selectors
import socket
import time
from collections.abc import Callable, Coroutine
from typing import Any

POLL_INTERVAL_S = 0.02
ASYNC_POLL_INTERVAL_S = 0.01


def run_async(main: Coroutine[Any, Any, Any], timeout_s: float = 60.0) -> Any:
    """Run a coroutine to its end on a new event loop; raise TimeoutError after `timeout_s`."""
    return asyncio.run(asyncio.wait_for(main, timeout_s))


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer as soon as no task is ready.

    It also serves as the `Clock` of the code that runs on it. No task on it may wait for a socket.
    """

    def __init__(self) -> None:
        super().__init__(_VirtualTimeSelector(self))
        self.elapsed_s = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.elapsed_s

    def now_ms(self) -> int:
        """Return the virtual time in milliseconds."""
        return round(self.elapsed_s * 1000)

    def wall_ms(self) -> int:
        """Return the virtual time in milliseconds, as a wall clock that started at the epoch."""
        return self.now_ms()


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advance the virtual time instead of waiting."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the virtual time by `timeout` seconds and return the files that are ready now."""
        if timeout is None:
            raise RuntimeError(
                "no task is ready and no timer is pending: the coroutine would wait forever"
            )
        self._loop.elapsed_s += max(0.0, timeout)
        return super().select(0)


def run_virtual(main: Callable[[VirtualLoop], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine to its end in virtual time; `main` gets the loop, which is its clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, VirtualLoop)
        return runner.run(main(loop))


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port of a loopback address that was free when it was checked."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return different ports that were free when they were checked.

    All of them are held until the last one is drawn; drawn one after the other, two may be equal.
    """
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((host, 0))
        return [int(sock.getsockname()[1]) for sock in sockets]


def wait_until(condition: Callable[[], bool], what: str, timeout_s: float = 30.0) -> None:
    """Poll `condition` until it holds; raise TimeoutError naming `what` after `timeout_s`."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"gave up after {timeout_s} s of waiting for: {what}")
        time.sleep(POLL_INTERVAL_S)


async def eventually(condition: Callable[[], Any], what: str, timeout_s: float = 30.0) -> None:
    """Wait until `condition` holds, in real or virtual time; raise AssertionError naming `what`."""
    for _ in range(round(timeout_s / ASYNC_POLL_INTERVAL_S)):
        if condition():
            return
        await asyncio.sleep(ASYNC_POLL_INTERVAL_S)
    raise AssertionError(f"did not happen in {timeout_s} s: {what}")
