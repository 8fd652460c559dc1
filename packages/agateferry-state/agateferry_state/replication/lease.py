"""The leader lease: the time until which no other member can be elected.

Each message of the leader belongs to a numbered round, whose start is taken from the leader's own
monotonic clock. A follower that answers a round withholds its vote for the shortest election
timeout, counted from a moment after that start. Once a quorum answered a round, no other member can
be elected before the round's start plus that timeout. The lease is a little shorter, to allow for
clock drift (Gray and Cheriton 1989; Ongaro 2014, section 6.4.1).
"""


class Lease:
    """Track the rounds of one leader, and the lease that the answered ones extend."""

    def __init__(self, lease_ms: int, now_ms: int) -> None:
        self._lease_ms = lease_ms
        self._started_ms: dict[int, int] = {}
        self.round = 0
        self.confirmed_round = 0
        self.confirmed_round_started_ms = now_ms
        self.valid_until_ms = now_ms

    def begin_round(self, now_ms: int) -> int:
        """Start a round of sends and return its number."""
        self.round += 1
        self._started_ms[self.round] = now_ms
        return self.round

    def confirm(self, round_number: int) -> None:
        """Record that a quorum answered this round, and extend the lease."""
        if round_number <= self.confirmed_round:
            return
        self.confirmed_round = round_number
        self.confirmed_round_started_ms = self._started_ms[round_number]
        self.valid_until_ms = self.confirmed_round_started_ms + self._lease_ms
        for older in [r for r in self._started_ms if r <= round_number]:
            del self._started_ms[older]

    def is_valid(self, now_ms: int) -> bool:
        """Return whether no other leader can exist at `now_ms`."""
        return now_ms < self.valid_until_ms
