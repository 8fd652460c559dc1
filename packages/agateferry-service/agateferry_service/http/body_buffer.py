"""The body of a request while it arrives."""

BLOCK_BYTES = 64 * 1024


class BodyBuffer:
    """Collect the parts of a body in blocks.

    Parts of one byte are as good as large ones, and no block is copied when the next is added, so
    the memory is about the size of the body.
    """

    __slots__ = ("_blocks", "size")

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        self.size = 0

    def append(self, part: bytes) -> None:
        """Add a part of the body."""
        if not self._blocks or len(self._blocks[-1]) >= BLOCK_BYTES:
            self._blocks.append(bytearray())
        self._blocks[-1] += part
        self.size += len(part)

    def take(self) -> bytes:
        """Return the whole body and forget it."""
        data = b"".join(self._blocks) if len(self._blocks) != 1 else bytes(self._blocks[0])
        self.clear()
        return data

    def clear(self) -> None:
        """Forget what has been collected."""
        self._blocks.clear()
        self.size = 0
