"""Whose jobs and cancellations are, over changes of the manifest.

A call may reach a job if its key is valid now, and was a key of the job's team in a version of the
manifest since the job's acceptance. docs/design/team-access.md gives the reasons.

Jobs, cancellations and former keys are kept under the name that their team has in the manifest in
force. A team that has left keeps its last name until the manifest gives it to another team.
"""

import hashlib
from collections import defaultdict
from collections.abc import Container, Iterator, Mapping

from msgspec import Struct, field

from agateferry_core.logs import EventLogger
from agateferry_jobs.ledger import events
from agateferry_jobs.ledger.cancellations import CancellationRecords
from agateferry_jobs.ledger.state import Job
from agateferry_jobs.ledger.team_names import renamed
from agateferry_jobs.ledger.team_succession import TeamKeys, match_teams
from agateferry_jobs.manifest import Manifest

DIGEST_BYTES = 16
RECENT_CHANGES = 64
"""How many changes of the manifest a command may be older than, between its check and its turn."""
MAX_FORMER_KEYS = 20_000
"""How many keys that left their teams are remembered; some 3 MB. The oldest are dropped first."""
NO_TEAM = ""
"""The team of calls to public queues that have no key."""


class TeamChange(Struct, frozen=True):
    """A version of the manifest, the one before it, and the teams that have other names in it."""

    version: int
    earlier_version: int
    new_names: dict[str, str] = {}


class TeamHistory(Struct, omit_defaults=True):
    """What is kept of the teams of earlier manifests."""

    former_keys: dict[str, dict[bytes, int]] = field(default_factory=dict)
    """By team and digest, the last version in which a key that left the team was its key."""
    changes: list[TeamChange] = field(default_factory=list)
    """The last changes, in order."""


class Caller(Struct, frozen=True):
    """The digest of a call's key, and the team that has it in a version of the manifest.

    A call to a public queue may have no key.
    """

    team: str
    key: bytes
    version: int


def digest_of(key: str) -> bytes:
    """Return what is stored of an API key outside the manifest."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest() if key else b""


class TeamRecords:
    """Tell which calls may reach which jobs, and move what is kept when a manifest changes."""

    def __init__(
        self,
        history: TeamHistory,
        jobs: Mapping[str, Job],
        cancellations: CancellationRecords,
    ) -> None:
        self._history = history
        self._jobs = jobs
        self._cancellations = cancellations
        self._log = EventLogger()

    def current_name(self, team: str, version: int) -> str:
        """Return the name in force of a team that had a name in an earlier version."""
        for change in self._history.changes:
            if change.version > version:
                team = change.new_names.get(team, team)
        return team

    def may_access(self, caller: Caller, job: Job) -> bool:
        """Return whether a call is about a job of a team that its key belongs or belonged to."""
        return self.is_of_team(caller, job.team, job.manifest_version)

    def cancelled_until_ms(self, caller: Caller, address: str, at_ms: int) -> int | None:
        """Return until when a call's submission counts as cancelled, None if it doesn't."""
        return max(
            (
                each.until_ms
                for each in self._cancellations.at(address, at_ms)
                if self.is_of_team(caller, each.team, each.manifest_version)
            ),
            default=None,
        )

    def is_of_team(self, caller: Caller, team: str, since_version: int) -> bool:
        """Return whether a caller's key was the key of a team at some time since a version."""
        if self.current_name(caller.team, caller.version) == team:
            return True
        last_version = self._history.former_keys.get(team, {}).get(caller.key)
        return last_version is not None and last_version >= since_version

    def change_teams(self, before: Manifest, after: Manifest) -> dict[str, str]:
        """Move what is kept to the teams of a new manifest; return their new names."""
        keys_before, keys_after = _keys_by_team(before), _keys_by_team(after)
        absent = self._absent_teams(keys_before)
        successors = match_teams(keys_before, keys_after, absent)
        new_names = {old: new for old, new in successors.items() if old != new}
        for name in (*keys_before, *absent):
            if name in keys_after and name not in successors:
                taken = {*keys_before, *keys_after, *absent, *new_names.values()}
                new_names[name] = _unused_name(name, before.version, taken)
        self._record_former_keys(before.version, keys_before, keys_after, successors)
        self._rename(new_names)
        self._history.changes.append(TeamChange(after.version, before.version, new_names))
        del self._history.changes[:-RECENT_CHANGES]
        self._drop_needless_keys()
        return new_names

    def _absent_teams(self, present: TeamKeys) -> TeamKeys:
        """Return the teams that have left and of which something is kept, with their last keys."""
        names = dict.fromkeys(job.team for job in self._jobs.values())
        names.update(dict.fromkeys((*self._cancellations.teams, *self._history.former_keys)))
        absent = {}
        for name in names:
            if name != NO_TEAM and name not in present:
                former = self._history.former_keys.get(name, {})
                last = max(former.values(), default=0)
                absent[name] = frozenset(key for key in former if former[key] == last)
        return absent

    def _record_former_keys(
        self, version: int, before: TeamKeys, after: TeamKeys, successors: Mapping[str, str]
    ) -> None:
        former_keys = self._history.former_keys
        for name, keys in before.items():
            left = keys - after[successors[name]] if name in successors else keys
            if left:
                # Sorted, since the order of a set differs between hosts.
                former_keys.setdefault(name, {}).update(dict.fromkeys(sorted(left), version))

    def _rename(self, new_names: Mapping[str, str]) -> None:
        if not new_names:
            return
        for job in self._jobs.values():
            job.team = new_names.get(job.team, job.team)
        self._cancellations.rename_teams(new_names)
        history = self._history
        history.former_keys = renamed(history.former_keys, new_names)

    def _drop_needless_keys(self) -> None:
        """Drop the former keys that no job, no cancellation and no command can need."""
        needed_from: dict[str, int] = defaultdict(lambda: self._history.changes[0].earlier_version)
        for team, version in self._versions_in_use():
            needed_from[team] = min(needed_from[team], version)
        former_keys = self._history.former_keys
        for team, keys in list(former_keys.items()):
            for key in [key for key, last in keys.items() if last < needed_from[team]]:
                del keys[key]
            if not keys:
                del former_keys[team]
        surplus = sum(map(len, former_keys.values())) - MAX_FORMER_KEYS
        if surplus > 0:
            self._drop_oldest_keys(surplus)

    def _versions_in_use(self) -> Iterator[tuple[str, int]]:
        for job in self._jobs.values():
            yield job.team, job.manifest_version
        yield from self._cancellations.manifest_versions()

    def _drop_oldest_keys(self, count: int) -> None:
        former_keys = self._history.former_keys
        oldest = sorted(
            (last, team, key) for team, keys in former_keys.items() for key, last in keys.items()
        )
        for _, team, key in oldest[:count]:
            del former_keys[team][key]
        self._log.warning(events.FORMER_KEYS_DROPPED, count=count)


def _keys_by_team(manifest: Manifest) -> TeamKeys:
    """Return the digests of each team's keys; teams of the same name count as one."""
    keys: dict[str, frozenset[bytes]] = {}
    for team in manifest.teams:
        keys[team.name] = keys.get(team.name, frozenset()).union(map(digest_of, team.keys))
    return keys


def _unused_name(name: str, version: int, taken: Container[str]) -> str:
    """Return a name for a team that has left and whose own name another team has now."""
    unused = f"{name}#{version}"
    while unused in taken:
        unused += "#"
    return unused
