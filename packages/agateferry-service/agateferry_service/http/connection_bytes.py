"""What one connection takes from the account of its process, by what it is for."""

from collections import deque

from agateferry_service.http.body_buffer import BodyBuffer
from agateferry_service.http.memory import Holding, MemoryAccount

REQUEST_BYTES = 4 * 1024
"""What a request takes besides its head and body."""
HEAD_COPIES = 2
"""A head is parsed into headers while its text is held."""


class ConnectionBytes:
    """Count the head and body that arrive, input to be parsed, and requests until they are read.

    An answered request takes its bytes until its sender has read the answer, since they stand for
    the answer too.
    """

    __slots__ = ("_handled", "_holding", "_unread", "body", "head_bytes", "is_receiving", "kept")

    def __init__(self, account: MemoryAccount) -> None:
        self._holding = Holding(account)
        self._handled: deque[int] = deque()
        """What each request takes that the application has not answered yet, in their order."""
        self._unread = 0
        """What answered requests take whose answers are not read yet."""
        self.body = BodyBuffer()
        self.head_bytes = 0
        self.is_receiving = False
        """Whether a request has begun that is not complete."""
        self.kept = bytearray()
        """Input that is not parsed yet."""

    @property
    def held(self) -> int:
        """Return the bytes that are taken now."""
        return self._holding.size

    def take(self, more_bytes: int, now_s: float) -> bool:
        """Take bytes before they are parsed or kept; return False where there is no room."""
        return self._holding.resize(self._needed() + more_bytes, now_s)

    def settle(self, now_s: float) -> None:
        """Give back what is taken and not needed."""
        self._holding.resize(self._needed(), now_s)

    def begin_handling(self) -> bytes:
        """Return the body of a complete request; its bytes stay taken until its answer is read."""
        self.is_receiving = False
        self._handled.append(self.body.size)
        return self.body.take()

    def grow(self, more_bytes: int, now_s: float) -> bool:
        """Take bytes for the request that is being handled; return False where there is no room."""
        if not self._handled:
            return True
        if not self._holding.resize(self._holding.size + more_bytes, now_s):
            return False
        self._handled[0] += more_bytes
        return True

    def end_handling(self, is_read: bool) -> None:
        """Note that the first request was answered, and whether its sender has read the answer."""
        answered = self._handled.popleft() if self._handled else 0
        if not is_read:
            self._unread += answered

    def answers_read(self) -> None:
        """Note that all answers so far were read."""
        self._unread = 0

    def release(self) -> None:
        """Forget everything and give back all bytes."""
        self._handled.clear()
        self._unread = self.head_bytes = 0
        self.body.clear()
        self.kept.clear()
        self.is_receiving = False
        self._holding.release()

    def _needed(self) -> int:
        requests = len(self._handled) + self.is_receiving
        input_bytes = HEAD_COPIES * self.head_bytes + self.body.size + len(self.kept)
        return REQUEST_BYTES * requests + input_bytes + sum(self._handled) + self._unread
