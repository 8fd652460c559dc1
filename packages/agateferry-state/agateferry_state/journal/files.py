"""The file system calls that a journal makes.

`Files` is a Protocol so that a test can inject a full disk or a failing sync. Every method raises
OSError as the operating system does; the journal converts it to a `JournalError`.
"""

import fcntl
import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600


class Files(Protocol):
    """Create, read, write and sync files and folders; syncing a folder makes entries durable."""

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its missing parents, and sync the folder that contains each."""

    def list_names(self, folder: Path) -> list[str]:
        """Return the names of the entries of a folder, sorted."""

    def read(self, path: Path) -> bytes:
        """Return the whole content of a file."""

    def create(self, path: Path) -> int:
        """Create an empty file, truncating an existing one; return a descriptor for appending."""

    def write(self, fd: int, data: bytes) -> None:
        """Append all of `data`."""

    def sync(self, fd: int) -> None:
        """Return once the content of the file is durable."""

    def sync_folder(self, folder: Path) -> None:
        """Return once the entries of the folder are durable."""

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing an existing target."""

    def remove(self, path: Path) -> None:
        """Remove a file."""

    def lock(self, path: Path) -> int:
        """Lock a file exclusively without waiting; raise BlockingIOError if it is locked."""

    def close(self, fd: int) -> None:
        """Close a descriptor, which releases its lock."""


class OsFiles:
    """Implement `Files` with the calls of the operating system."""

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its missing parents, and sync the folder that contains each."""
        if folder.is_dir():
            return
        self.make_folder(folder.parent)
        folder.mkdir(exist_ok=True)
        self.sync_folder(folder.parent)

    def list_names(self, folder: Path) -> list[str]:
        """Return the names of the entries of a folder, sorted."""
        return sorted(path.name for path in folder.iterdir())

    def read(self, path: Path) -> bytes:
        """Return the whole content of a file."""
        return path.read_bytes()

    def create(self, path: Path) -> int:
        """Create an empty file, truncating an existing one; return a descriptor for appending."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, FILE_MODE)

    def write(self, fd: int, data: bytes) -> None:
        """Append all of `data`."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(fd, remaining) :]

    def sync(self, fd: int) -> None:
        """Return once the content of the file is durable."""
        os.fdatasync(fd)

    def sync_folder(self, folder: Path) -> None:
        """Return once the entries of the folder are durable."""
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing an existing target."""
        source.rename(target)

    def remove(self, path: Path) -> None:
        """Remove a file."""
        path.unlink()

    def lock(self, path: Path) -> int:
        """Lock a file exclusively without waiting; raise BlockingIOError if it is locked."""
        fd = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise
        return fd

    def close(self, fd: int) -> None:
        """Close a descriptor, which releases its lock."""
        os.close(fd)
