"""From when to when a member heard another one as the leader."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaderContact:
    """The contact to the last leader other than this member, in ms of the member's clock."""

    term: int
    since_ms: int
    last_ms: int

    @property
    def duration_ms(self) -> int:
        """Return for how long the leader was heard."""
        return self.last_ms - self.since_ms
