"""Moving what is kept by team to other names of the teams."""

from collections.abc import Mapping
from typing import TypeVar

Kept = TypeVar("Kept")


def renamed(by_team: Mapping[str, Kept], new_names: Mapping[str, str]) -> dict[str, Kept]:
    """Return what is kept by team, by the new name of each team that has one."""
    return {new_names.get(team, team): kept for team, kept in by_team.items()}
