"""Look up the term of each record of a log, stored as runs of equal terms."""

from bisect import bisect_right

from agateferry_state.journal.records import LogPosition


class TermIndex:
    """Map the indexes of a log to terms; the log starts right after a base position."""

    def __init__(self, base: LogPosition) -> None:
        self._run_starts = [base.index]
        self._run_terms = [base.term]
        self._last_index = base.index

    @property
    def last(self) -> LogPosition:
        """Return the position of the last record, or the base if there are no records."""
        return LogPosition(self._last_index, self._run_terms[-1])

    def position_at(self, index: int) -> LogPosition:
        """Return the position at an index; raise ValueError if it is outside the log."""
        if not self._run_starts[0] <= index <= self._last_index:
            raise ValueError(
                f"index {index} is not within {self._run_starts[0]} to {self._last_index}"
            )
        return LogPosition(index, self._run_terms[bisect_right(self._run_starts, index) - 1])

    def contains(self, base: LogPosition) -> bool:
        """Return whether the log has this term at this index; the base counts as contained."""
        is_within_log = self._run_starts[0] <= base.index <= self._last_index
        return is_within_log and self.position_at(base.index) == base

    def add(self, index: int, term: int) -> None:
        """Add the next record; raise ValueError if its index does not follow the last one."""
        if index != self._last_index + 1:
            raise ValueError(f"record {index} does not follow {self._last_index}")
        self._last_index = index
        if term != self._run_terms[-1]:
            self._run_starts.append(index)
            self._run_terms.append(term)

    def drop_from(self, index: int) -> None:
        """Drop the record at `index` and all after it."""
        self.position_at(index - 1)
        self._last_index = index - 1
        while self._run_starts[-1] > self._last_index:
            self._run_starts.pop()
            self._run_terms.pop()

    def drop_through(self, base: LogPosition) -> None:
        """Drop all records up to `base`, which the log contains, and make it the new base."""
        keep = bisect_right(self._run_starts, base.index)
        self._run_starts = [base.index, *self._run_starts[keep:]]
        self._run_terms = [base.term, *self._run_terms[keep:]]
