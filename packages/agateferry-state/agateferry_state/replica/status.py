"""What operators see of one member of a replicated group."""

from dataclasses import dataclass

from agateferry_state.replication import Core, Role


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member of the group as this one knows it; `match_index` is known to the leader only."""

    host: str
    incarnation: str
    is_voter: bool
    has_disk: bool
    match_index: int | None


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """One replica: what it does, how far it is, and whether its disk works.

    `disk` is "synced", "none" on a host without one, or why the disk failed.
    """

    group: str
    host: str
    incarnation: str
    role: Role
    term: int
    leader: str | None
    holds_lease: bool
    last_term: int
    last_index: int
    commit_index: int
    applied_index: int
    disk: str
    is_forming: bool
    members: tuple[MemberStatus, ...]


def describe(group: str, core: Core, now_ms: int, applied_index: int, disk: str) -> NodeStatus:
    """Return the status of the member that a core stands for."""
    matched = core.match_indexes
    return NodeStatus(
        group=group,
        host=core.me.id.host,
        incarnation=core.me.id.incarnation,
        role=core.role,
        term=core.term,
        leader=core.leader.host if core.leader is not None else None,
        holds_lease=core.holds_lease(now_ms),
        last_term=core.last_term,
        last_index=core.last_index,
        commit_index=core.commit_index,
        applied_index=applied_index,
        disk=disk,
        is_forming=core.members.is_forming,
        members=tuple(
            MemberStatus(
                host=member.id.host,
                incarnation=member.id.incarnation,
                is_voter=core.members.is_voter(member.id),
                has_disk=member.has_disk,
                match_index=matched.get(member.id),
            )
            for member in core.members.all
        ),
    )
