"""Which team of a manifest is the same as one of the manifest before it.

Operators name teams, and callers know only their keys. So a team is followed by its keys as well as
by its name: through a rotation of keys, another name, a split and a merger. A name alone proves
nothing, since an operator may give it to another team.
"""

from collections import Counter
from collections.abc import Container, Iterator, Mapping

TeamKeys = Mapping[str, frozenset[bytes]]
"""The keys of each team by its name, as digests."""


def match_teams(before: TeamKeys, after: TeamKeys, absent: TeamKeys) -> dict[str, str]:
    """Return the new name of each earlier team that goes on, by its earlier name.

    `before` and `after` are two manifests in turn; `absent` are the teams that had left by then,
    with their last keys. In this order, each team at most once:

    1. A team goes on under its name if it keeps one of its keys.
    2. A team goes on under the new name under which most of its keys are.
    3. A team whose keys were all replaced goes on under its name, if no team had the new ones.
    4. An absent team returns under its name if it has one of its last keys.

    Example: `{"a": {1, 2}}`, then `{"a": {1}, "b": {2}}`: "a" goes on as "a", and "b" is new.
    """
    successors = {name: name for name in before if before[name] & after.get(name, frozenset())}
    successors.update(_renamed(_without(before, successors), _without(after, successors)))
    taken = set(successors.values())
    earlier_keys = frozenset().union(*before.values())
    for name, keys in _without(after, taken).items():
        is_rotated = name in before and name not in successors and not keys & earlier_keys
        returns = name in absent and bool(keys & absent[name])
        if is_rotated or returns:
            successors[name] = name
    return successors


def _renamed(before: TeamKeys, after: TeamKeys) -> Iterator[tuple[str, str]]:
    """Yield the earlier and the new name of teams that share keys, those that share most first."""
    team_of = {key: name for name, keys in before.items() for key in keys}
    shared = Counter(
        (team_of[key], new) for new, keys in after.items() for key in keys if key in team_of
    )
    matched_before: set[str] = set()
    matched_after: set[str] = set()
    for old, new in sorted(shared, key=lambda pair: (-shared[pair], pair)):
        if old not in matched_before and new not in matched_after:
            matched_before.add(old)
            matched_after.add(new)
            yield old, new


def _without(teams: TeamKeys, names: Container[str]) -> TeamKeys:
    return {name: keys for name, keys in teams.items() if name not in names}
