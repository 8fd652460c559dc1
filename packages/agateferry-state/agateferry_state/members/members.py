"""Who takes part in a replicated log: identities, voters and learners.

A host that lost its disk has forgotten how it voted, so it comes back as another member: each data
folder (or, on a host with no disk, each process) draws a random incarnation. `Members` is the
content of a log entry of kind MEMBERS and takes effect as soon as it is in the log, as in section
4.1 of Ongaro's thesis (2014).
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import NamedTuple


class MemberId(NamedTuple):
    """One life of a host: its name and the incarnation of its data folder or process.

    An empty incarnation stands for whichever one runs now; only greetings are sent that way.
    """

    host: str
    incarnation: str = ""

    def __str__(self) -> str:
        """Return a short form for logs, such as `norsk-a1/3f9c`."""
        return f"{self.host}/{self.incarnation[:4]}"


@dataclass(frozen=True, slots=True)
class Member:
    """A member with what others need to know of it; `address` is for the transport alone."""

    id: MemberId
    has_disk: bool = True
    address: str = ""


@dataclass(frozen=True, slots=True)
class Members:
    """The voters and learners in force; learners receive the log and count in no quorum.

    `removed` names the hosts that an operator took out; they are not let in again by themselves.
    `given_up` are the incarnations that a forced recovery left behind: they may hold another
    history, so they are never let in again. `is_forming` is true from the bootstrap until a
    majority of the first hosts votes.
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()
    removed: tuple[str, ...] = ()
    given_up: tuple[MemberId, ...] = ()
    is_forming: bool = False

    @property
    def voter_ids(self) -> frozenset[MemberId]:
        """Return the identities that count in quorums."""
        return frozenset(m.id for m in self.voters)

    @property
    def all(self) -> tuple[Member, ...]:
        """Return the voters, then the learners."""
        return self.voters + self.learners

    def find(self, member_id: MemberId) -> Member | None:
        """Return the voter or learner with this identity."""
        return next((m for m in self.all if m.id == member_id), None)

    def is_voter(self, member_id: MemberId) -> bool:
        """Tell whether this identity counts in quorums."""
        return any(m.id == member_id for m in self.voters)

    def with_learner(self, member: Member) -> "Members":
        """Return a copy with one learner more; earlier learners of that host are dropped."""
        kept = tuple(m for m in self.learners if m.id.host != member.id.host)
        return replace(self, learners=(*kept, member))

    def with_voter(self, member: Member) -> "Members":
        """Return a copy in which the member votes and is no longer a learner."""
        learners = tuple(m for m in self.learners if m.id != member.id)
        voters = tuple(m for m in self.voters if m.id != member.id)
        return replace(self, voters=(*voters, member), learners=learners)

    def without(self, member_id: MemberId) -> "Members":
        """Return a copy in which the member takes no part."""
        return replace(
            self,
            voters=tuple(m for m in self.voters if m.id != member_id),
            learners=tuple(m for m in self.learners if m.id != member_id),
        )

    def encode(self) -> bytes:
        """Return the bytes of a MEMBERS entry."""
        return json.dumps(
            {
                "voters": _plain(self.voters),
                "learners": _plain(self.learners),
                "removed": self.removed,
                "given_up": self.given_up,
                "is_forming": self.is_forming,
            },
            separators=(",", ":"),
        ).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Members":
        """Read the bytes of a MEMBERS entry; raises ValueError where they are none."""
        fields = json.loads(data)
        return cls(
            voters=_parse(fields["voters"]),
            learners=_parse(fields["learners"]),
            removed=tuple(fields["removed"]),
            given_up=tuple(MemberId(*pair) for pair in fields["given_up"]),
            is_forming=fields["is_forming"],
        )


def _plain(members: Iterable[Member]) -> list[list[str | bool]]:
    return [[m.id.host, m.id.incarnation, m.has_disk, m.address] for m in members]


def _parse(rows: list[list[str]]) -> tuple[Member, ...]:
    return tuple(
        Member(MemberId(host, incarnation), bool(has_disk), address)
        for host, incarnation, has_disk, address in rows
    )
