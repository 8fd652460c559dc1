"""The few calls to the file system that a journal makes.

`Files` is a Protocol so that a test can put a full disk or a failing sync behind a journal.
Every method raises OSError as the system does; the journal turns that into an outcome.
"""

import fcntl
import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600


class Files(Protocol):
    """Make, read, write and sync files below one folder."""

    def make_folder(self, folder: Path) -> None:
        """Create a folder with its parents and sync the entries that lead to it."""

    def names(self, folder: Path) -> list[str]:
        """Return the names of the entries of a folder in order."""

    def read(self, path: Path) -> bytes:
        """Return the whole content of a file."""

    def create(self, path: Path) -> int:
        """Create an empty file, replacing any other, and return a descriptor to append by."""

    def write(self, fd: int, data: bytes) -> None:
        """Append all of `data`."""

    def sync(self, fd: int) -> None:
        """Return once the content of the file is on the disk."""

    def sync_folder(self, folder: Path) -> None:
        """Return once the entries of the folder are on the disk."""

    def rename(self, source: Path, target: Path) -> None:
        """Give a file another name, replacing what had it."""

    def remove(self, path: Path) -> None:
        """Remove a file."""

    def lock(self, path: Path) -> int:
        """Lock a file for this process alone, or raise BlockingIOError."""

    def close(self, fd: int) -> None:
        """Close a descriptor and drop its lock."""


class OsFiles:
    """Make the calls to the operating system."""

    def make_folder(self, folder: Path) -> None:
        """Create a folder with its parents and sync the entries that lead to it."""
        if folder.is_dir():
            return
        self.make_folder(folder.parent)
        folder.mkdir(exist_ok=True)
        self.sync_folder(folder.parent)

    def names(self, folder: Path) -> list[str]:
        """Return the names of the entries of a folder in order."""
        return sorted(path.name for path in folder.iterdir())

    def read(self, path: Path) -> bytes:
        """Return the whole content of a file."""
        return path.read_bytes()

    def create(self, path: Path) -> int:
        """Create an empty file, replacing any other, and return a descriptor to append by."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, FILE_MODE)

    def write(self, fd: int, data: bytes) -> None:
        """Append all of `data`."""
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(fd, rest) :]

    def sync(self, fd: int) -> None:
        """Return once the content of the file is on the disk."""
        os.fdatasync(fd)

    def sync_folder(self, folder: Path) -> None:
        """Return once the entries of the folder are on the disk."""
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, source: Path, target: Path) -> None:
        """Give a file another name, replacing what had it."""
        source.rename(target)

    def remove(self, path: Path) -> None:
        """Remove a file."""
        path.unlink()

    def lock(self, path: Path) -> int:
        """Lock a file for this process alone, or raise BlockingIOError."""
        fd = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise
        return fd

    def close(self, fd: int) -> None:
        """Close a descriptor and drop its lock."""
        os.close(fd)
