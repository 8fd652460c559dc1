"""The term of each record of a log, as runs of equal terms."""

from bisect import bisect_right

from agateferry_state.journal.records import Base


class TermIndex:
    """Tell the term at an index of a log that begins above a base."""

    def __init__(self, base: Base) -> None:
        self._firsts = [base.index]
        self._terms = [base.term]
        self._last = base.index

    @property
    def last(self) -> Base:
        """Return the index and term of the last record, or the base where there is none."""
        return Base(self._last, self._terms[-1])

    def at(self, index: int) -> Base:
        """Return the index together with its term; raise ValueError outside the log."""
        if not self._firsts[0] <= index <= self._last:
            raise ValueError(f"index {index} is not within {self._firsts[0]} to {self._last}")
        return Base(index, self._terms[bisect_right(self._firsts, index) - 1])

    def holds(self, base: Base) -> bool:
        """Tell whether the log has this term at this index."""
        inside = self._firsts[0] <= base.index <= self._last
        return inside and self.at(base.index) == base

    def add(self, index: int, term: int) -> None:
        """Add the record that follows the last one; raise ValueError where it leaves a gap."""
        if index != self._last + 1:
            raise ValueError(f"record {index} does not follow {self._last}")
        self._last = index
        if term != self._terms[-1]:
            self._firsts.append(index)
            self._terms.append(term)

    def drop_from(self, index: int) -> None:
        """Drop the records from `index` on."""
        self.at(index - 1)
        self._last = index - 1
        while self._firsts[-1] > self._last:
            self._firsts.pop()
            self._terms.pop()

    def drop_to(self, base: Base) -> None:
        """Make `base`, which the log holds, the new base."""
        keep = bisect_right(self._firsts, base.index)
        self._firsts = [base.index, *self._firsts[keep:]]
        self._terms = [base.term, *self._terms[keep:]]
