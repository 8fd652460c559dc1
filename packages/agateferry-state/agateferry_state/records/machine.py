"""The records plane's state machine: a record store behind a replicated log."""

from agateferry_state.records.codec import decode_put
from agateferry_state.records.messages import PutOutcome
from agateferry_state.records.store import RecordStore


class RecordsMachine:
    """Apply puts from a log to a record store.

    For example `replica.propose(encode_put(put))` comes back with what `apply` made of the put.
    """

    def __init__(self) -> None:
        self.store = RecordStore()

    def apply(self, index: int, command: bytes) -> PutOutcome:
        """Apply one put and return its outcome."""
        return self.store.put(decode_put(command))

    def snapshot(self) -> bytes:
        """Return the whole store in a form that `restore` takes."""
        return self.store.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the whole store by a snapshot."""
        self.store.restore(data)
