"""The open connections of one port, up to a limit."""

from typing import Protocol


class Connection(Protocol):
    """A connection that can be closed to make room for another one."""

    def drop(self) -> None:
        """Close the connection at once because the port has too many."""


class ConnectionTable:
    """Admit connections up to `max_connections`.

    A new connection takes the place of one that is being closed or, else, of the one that has
    waited longest without a whole request. So clients that open connections and send nothing keep
    nobody out. Where each connection has a request that is being answered, the new one is closed.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.open: set[Connection] = set()
        self._closing: dict[Connection, None] = {}
        self._waiting: dict[Connection, None] = {}
        """Connections without a whole request, longest first."""

    def admit(self, conn: Connection) -> bool:
        """Add a connection; return False if there is no room for it."""
        if len(self.open) >= self.max_connections:
            replaced = next(iter(self._closing), None) or next(iter(self._waiting), None)
            if replaced is None:
                return False
            self.remove(replaced)
            replaced.drop()
        self.open.add(conn)
        self._waiting[conn] = None
        return True

    def mark_waiting(self, conn: Connection) -> None:
        """Record that a connection has no whole request, from now on."""
        self._waiting.pop(conn, None)
        self._waiting[conn] = None

    def mark_busy(self, conn: Connection) -> None:
        """Record that a connection has a request that is being answered."""
        self._waiting.pop(conn, None)

    def mark_closing(self, conn: Connection) -> None:
        """Record that a connection is only kept until its client has read the last answer."""
        self._waiting.pop(conn, None)
        self._closing[conn] = None

    def remove(self, conn: Connection) -> None:
        """Forget a connection; this may be called again."""
        self.open.discard(conn)
        self._waiting.pop(conn, None)
        self._closing.pop(conn, None)
