"""The status of a replica and of the group's members, for operators."""

from dataclasses import dataclass

from agateferry_state.replication import Core, Role


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member of the group, as this replica knows it.

    `match_index` is the last log index known to be replicated to it; None except at the leader.
    """

    host: str
    incarnation: str
    is_voter: bool
    has_disk: bool
    match_index: int | None


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """The role, term, log positions and disk state of one replica.

    `disk` is "synced", "none" on a host without a disk, or the detail of the failure that took
    the replica out of service.
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


def build_status(group: str, core: Core, now_ms: int, applied_index: int, disk: str) -> NodeStatus:
    """Build the status of a replica from its replication core."""
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
