"""State machine and file system doubles for the tests of replicas."""

import errno
import time

from agateferry_state.journal import OsFiles


class ListMachine:
    """Store every command in order."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self):
        return b"\n".join(self.commands)

    def restore(self, data):
        self.commands = data.split(b"\n") if data else []


class CountingFiles(OsFiles):
    """Count syncs; delay them by `sync_s` seconds, or fail them with `error` if `broken`."""

    def __init__(self):
        self.syncs = 0
        self.sync_s = 0.0
        self.broken = False
        self.error = errno.EIO

    def sync(self, fd):
        self.syncs += 1
        time.sleep(self.sync_s)
        if self.broken:
            raise OSError(self.error, "injected")
        super().sync(fd)
