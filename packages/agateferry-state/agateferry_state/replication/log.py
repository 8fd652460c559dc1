"""The in-memory log: its entries, what is durable, and the members that it sets."""

from collections import deque
from itertools import accumulate, pairwise

from agateferry_state.members import Members
from agateferry_state.replication.messages import (
    AppendLog,
    EntryKind,
    LogEntry,
    Snapshot,
    TruncateLog,
)


class Log:
    """Hold the entries after `base_index`, and the newest snapshot.

    Methods that change the log return the effect that makes the same change on disk. `synced_index`
    is the index of the last entry known to be durable; `mark_synced` advances it.
    """

    def __init__(self, snapshot: Snapshot | None, entries: tuple[LogEntry, ...]) -> None:
        self.snapshot: Snapshot | None = None
        self.base_index = 0
        self.base_term = 0
        self._entries: list[LogEntry] = []
        self._end_bytes: list[int] = []
        """For each entry, the size of all entries up to it that were ever added."""
        self._added_bytes = 0
        self._members: list[tuple[int, Members]] = []
        self._reset_to(snapshot)
        self._next_write_id = 1
        # Unsynced writes: write id, and the last index that is durable with that write.
        self._writes: deque[tuple[int, int]] = deque()
        kept = tuple(e for e in entries if e.index > self.base_index)
        if kept and kept[0].index != self.base_index + 1:
            raise ValueError(f"the log lacks entries {self.base_index + 1} to {kept[0].index - 1}")
        self._extend(kept)
        self.synced_index = self.last_index

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry, durable or not."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> Members:
        """Return the newest members in the log, committed or not."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Return the index of the entry that set the newest members."""
        return self._members[-1][0]

    @property
    def is_empty(self) -> bool:
        """Return whether nothing was ever stored here."""
        return self.last_index == 0

    def member_changes_after(self, index: int) -> list[tuple[int, Members, Members]]:
        """Return index, old and new members of each membership change after `index`."""
        pairs = pairwise(self._members)
        return [(at, old, new) for (_, old), (at, new) in pairs if at > index]

    def members_at(self, index: int) -> Members:
        """Return the members in force at an index that the log still covers."""
        return next(members for at, members in reversed(self._members) if at <= index)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None where it was compacted away or does not exist."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entries_between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, both included."""
        return tuple(self._entries[first - self.base_index - 1 : last - self.base_index])

    def bytes_between(self, first: int, last: int) -> int:
        """Return the size of the entries from `first` to `last`, as far as the log holds them."""
        first = max(first, self.base_index + 1)
        return self._bytes_through(last) - self._bytes_through(first - 1) if first <= last else 0

    def batch(self, first: int, max_entries: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from `first` on, within the limits.

        The first entry is returned even if it exceeds `max_bytes`.
        """
        entries = self.entries_between(first, min(self.last_index, first + max_entries - 1))
        remaining_bytes = max_bytes
        batch: list[LogEntry] = []
        for entry in entries:
            remaining_bytes -= len(entry.data)
            if remaining_bytes < 0 and batch:
                break
            batch.append(entry)
        return tuple(batch)

    def last_index_with_term_up_to(self, index: int, term: int) -> int:
        """Return the last index at or before `index` whose entry has no higher term than `term`.

        Where the log was compacted past that entry, the result is some index before the log.
        """
        candidate = min(index, self.last_index)
        while candidate >= self.base_index and (self.term_at(candidate) or 0) > term:
            candidate -= 1
        return candidate

    def append(self, entries: tuple[LogEntry, ...]) -> AppendLog:
        """Append entries; raises ValueError where they do not follow the newest one."""
        if entries[0].index != self.last_index + 1:
            raise ValueError(f"entry {entries[0].index} does not follow {self.last_index}")
        self._extend(entries)
        return AppendLog(self._allocate_write_id(self.last_index), entries)

    def truncate(self, from_index: int) -> TruncateLog:
        """Remove the entry at `from_index` and all after it."""
        del self._entries[from_index - self.base_index - 1 :]
        del self._end_bytes[from_index - self.base_index - 1 :]
        self._added_bytes = self._end_bytes[-1] if self._end_bytes else self._added_bytes
        self._members = [(i, m) for i, m in self._members if i < from_index]
        self._writes = deque((w, min(i, from_index - 1)) for w, i in self._writes)
        self.synced_index = min(self.synced_index, from_index - 1)
        return TruncateLog(self._allocate_write_id(self.last_index), from_index)

    def mark_synced(self, write_id: int) -> None:
        """Record that the writes up to and including `write_id` are durable."""
        while self._writes and self._writes[0][0] <= write_id:
            self.synced_index = self._writes.popleft()[1]

    def compact(self, snapshot: Snapshot, trailing_entries: int, trailing_bytes: int) -> None:
        """Drop the entries that a durable snapshot covers.

        Of the last ones at most `trailing_entries` with at most `trailing_bytes` are kept.
        """
        self.snapshot = snapshot
        end = snapshot.meta.index
        new_base = max(self.base_index, end - trailing_entries)
        while self.bytes_between(new_base + 1, end) > trailing_bytes:
            new_base += 1
        base_term = self.term_at(new_base)
        members = self.members_at(new_base)
        del self._entries[: new_base - self.base_index]
        del self._end_bytes[: new_base - self.base_index]
        self._members = [(new_base, members)] + [p for p in self._members if p[0] > new_base]
        self.base_index, self.base_term = new_base, base_term or 0

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log with a durable snapshot."""
        self._reset_to(snapshot)
        self._writes.clear()
        self.synced_index = self.base_index

    def _reset_to(self, snapshot: Snapshot | None) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.meta.index if snapshot else 0
        self.base_term = snapshot.meta.term if snapshot else 0
        self._entries = []
        self._end_bytes = []
        members = snapshot.meta.members if snapshot else Members()
        self._members = [(self.base_index, members)]

    def _extend(self, entries: tuple[LogEntry, ...]) -> None:
        self._entries.extend(entries)
        sizes = accumulate((len(entry.data) for entry in entries), initial=self._added_bytes)
        self._end_bytes.extend(list(sizes)[1:])
        self._added_bytes = self._end_bytes[-1] if self._end_bytes else self._added_bytes
        for entry in entries:
            if entry.kind is EntryKind.MEMBERS:
                self._members.append((entry.index, Members.decode(entry.data)))

    def _bytes_through(self, index: int) -> int:
        """Return the size of all entries up to `index` that were ever added and not truncated."""
        position = index - self.base_index - 1
        if position >= 0:
            return self._end_bytes[position]
        first = self._entries[0] if self._entries else None
        return self._end_bytes[0] - len(first.data) if first is not None else self._added_bytes

    def _allocate_write_id(self, last_index: int) -> int:
        write_id = self._next_write_id
        self._next_write_id += 1
        self._writes.append((write_id, last_index))
        return write_id
