"""Small helpers that tests share."""

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine
from typing import Any

POLL_S = 0.02


def run_async(main: Coroutine[Any, Any, Any], timeout_s: float = 60.0) -> Any:
    """Run a coroutine to its end on a new loop, or fail after `timeout_s` seconds."""
    return asyncio.run(asyncio.wait_for(main, timeout_s))


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
