"""Cancellations of jobs that have not arrived.

The answer to a cancellation is a promise about later submissions: the request that it cancels may
still be in the socket of a host that stands still, or be repeated to the next leader. So it is
stored for as long as that request may arrive, by the address of the job and the team of its key.
"""

from enum import StrEnum

MAX_PER_TEAM = 1_000
"""How many cancellations are stored for a team; one more is refused until some have expired."""

Cancellations = dict[str, dict[str, int]]
"""By team and address, until when a submission counts as cancelled, in wall-clock ms."""


class CancelResult(StrEnum):
    """What became of the command to cancel a job."""

    CANCELLED = "cancelled"
    """The job is known, and has ended."""
    AWAITED = "awaited"
    """No such job is known; a submission that arrives later will be refused."""
    FULL = "full"
    """No such job is known, and the team has too many cancellations already."""


class AcceptResult(StrEnum):
    """What became of the command to accept a job."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    CANCELLED = "cancelled"
    """The job was cancelled before it arrived."""


def store_cancellation(
    stored: Cancellations, team: str, address: str, until_ms: int, at_ms: int
) -> CancelResult:
    """Store that a submission by a team to an address counts as cancelled until `until_ms`."""
    drop_expired(stored, at_ms)
    if until_ms <= at_ms:
        return CancelResult.AWAITED
    of_team = stored.setdefault(team, {})
    of_team.pop(address, None)
    if len(of_team) >= MAX_PER_TEAM:
        return CancelResult.FULL
    of_team[address] = until_ms
    return CancelResult.AWAITED


def cancelled_until_ms(stored: Cancellations, team: str, address: str, at_ms: int) -> int | None:
    """Return until when a submission counts as cancelled, None if it doesn't at `at_ms`."""
    until_ms = stored.get(team, {}).get(address)
    return until_ms if until_ms is not None and at_ms < until_ms else None


def drop_expired(stored: Cancellations, at_ms: int) -> None:
    """Remove the cancellations that have expired."""
    for team, of_team in list(stored.items()):
        expired = [address for address, until_ms in of_team.items() if until_ms <= at_ms]
        for address in expired:
            del of_team[address]
        if not of_team:
            del stored[team]
