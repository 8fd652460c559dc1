"""Ports that one plan of daemons has for itself, also against plans of other processes.

The ports are divided into blocks, each with a lock file in the folder for temporary files. A plan
holds the locks of its blocks for as long as it is in use, so a port stays reserved between its
drawing and the moment when its daemon binds it.
"""

import fcntl
import os
import random
import socket
import tempfile
import weakref
from pathlib import Path

LOOPBACK_IP = "127.0.0.1"
PORT_RANGE = (10_000, 32_000)
"""Below the range from which the operating system takes the ports of outgoing connections, so that
a daemon's port is still free when the daemon restarts."""
BLOCK_SIZE = 40
LOCKS_FOLDER = "agateferry-ports"
PORT_RANDOM = random.SystemRandom()


class ReservedPorts:
    """Reserve `count` free ports until this object is deleted or `release` is called."""

    def __init__(self, count: int) -> None:
        self.numbers: list[int] = []
        locks: list[int] = []
        self.release = weakref.finalize(self, _close_all, locks)
        first, end = PORT_RANGE
        for block in PORT_RANDOM.sample(range(first, end, BLOCK_SIZE), (end - first) // BLOCK_SIZE):
            lock = _lock(block)
            if lock is None:
                continue
            locks.append(lock)
            free = [port for port in range(block, block + BLOCK_SIZE) if is_free(LOOPBACK_IP, port)]
            self.numbers += free[: count - len(self.numbers)]
            if len(self.numbers) == count:
                return
        raise OSError(f"fewer than {count} ports of {first} to {end} are free")


def is_free(host: str, port: int) -> bool:
    """Return whether a daemon could bind a port now."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


def _lock(block: int) -> int | None:
    """Return the descriptor of the lock of a block of ports, or None if another plan holds it."""
    folder = Path(tempfile.gettempdir()) / LOCKS_FOLDER
    folder.mkdir(exist_ok=True)
    descriptor = os.open(folder / str(block), os.O_RDWR | os.O_CREAT)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        return None
    return descriptor


def _close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)
