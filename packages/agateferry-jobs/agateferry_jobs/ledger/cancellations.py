"""Cancellations of jobs that have not arrived.

The answer to a cancellation is a promise about later submissions: the request that it cancels may
still be in the socket of a host that stands still, or be repeated to the next leader. So it is
stored for as long as that request may arrive, by the address of the job and the team of its key.
"""

from collections.abc import Iterator, KeysView, Mapping
from dataclasses import dataclass
from enum import StrEnum

from agateferry_jobs.ledger.team_names import renamed

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


@dataclass(frozen=True, slots=True)
class Cancellation:
    """The cancellation of a submission by a team, which was a call under a manifest's version."""

    team: str
    until_ms: int
    manifest_version: int


class CancellationRecords:
    """Change and read what the ledger stores of cancellations.

    `until_ms` has when each expires, `versions` the manifest's version under which it was checked;
    the latter has none of an earlier version of agateferry, which count as of the first manifest.
    """

    def __init__(self, until_ms: Cancellations, versions: Cancellations) -> None:
        self._until_ms = until_ms
        self._versions = versions

    @property
    def teams(self) -> KeysView[str]:
        """Return the teams that have stored cancellations."""
        return self._until_ms.keys()

    def store(
        self, team: str, address: str, until_ms: int, at_ms: int, version: int
    ) -> CancelResult:
        """Store that a submission by a team to an address counts as cancelled until `until_ms`."""
        self.drop_expired(at_ms)
        if until_ms <= at_ms:
            return CancelResult.AWAITED
        of_team = self._until_ms.setdefault(team, {})
        of_team.pop(address, None)
        if len(of_team) >= MAX_PER_TEAM:
            return CancelResult.FULL
        of_team[address] = until_ms
        self._versions.setdefault(team, {})[address] = version
        return CancelResult.AWAITED

    def at(self, address: str, at_ms: int) -> Iterator[Cancellation]:
        """Yield the cancellations of submissions to an address that count at `at_ms`."""
        for team, of_team in self._until_ms.items():
            until_ms = of_team.get(address)
            if until_ms is not None and at_ms < until_ms:
                yield Cancellation(team, until_ms, self._versions.get(team, {}).get(address, 0))

    def drop_expired(self, at_ms: int) -> None:
        """Remove the cancellations that have expired."""
        for team, of_team in list(self._until_ms.items()):
            versions = self._versions.get(team, {})
            for address in [each for each, until_ms in of_team.items() if until_ms <= at_ms]:
                del of_team[address]
                versions.pop(address, None)
            if not of_team:
                del self._until_ms[team]
                self._versions.pop(team, None)

    def rename_teams(self, new_names: Mapping[str, str]) -> None:
        """Keep the cancellations of teams under their new names."""
        for by_team in (self._until_ms, self._versions):
            kept = renamed(by_team, new_names)
            by_team.clear()
            by_team.update(kept)

    def manifest_versions(self) -> Iterator[tuple[str, int]]:
        """Yield the team and the manifest's version of each cancellation."""
        for team, of_team in self._until_ms.items():
            versions = self._versions.get(team, {})
            for address in of_team:
                yield team, versions.get(address, 0)
