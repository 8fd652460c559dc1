"""The replicated state machine of the records plane, which applies puts to a record store."""

from agateferry_state.records.codec import decode_put
from agateferry_state.records.messages import PutOutcome
from agateferry_state.records.store import RecordStore


class RecordsMachine:
    """Apply puts from a replicated log to a record store.

    For example, `replica.propose(encode_put(put))` returns the outcome that `apply` returned.
    """

    def __init__(self) -> None:
        self.store = RecordStore()

    def apply(self, index: int, command: bytes) -> PutOutcome:
        """Apply one put and return its outcome."""
        return self.store.put(decode_put(command))

    def snapshot(self) -> bytes:
        """Return the whole store, encoded for `restore`."""
        return self.store.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the whole store by a snapshot."""
        self.store.restore(data)
