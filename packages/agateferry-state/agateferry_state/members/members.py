"""The members of a replicated log: identities, voters and learners.

A host that lost its data no longer knows how it voted, so it rejoins as a different member: each
data folder (or, on a host without a disk, each process) draws a random incarnation. `Members` is
the content of a log entry of kind MEMBERS. It takes effect as soon as the entry is in the log,
committed or not, as in section 4.1 of Ongaro's thesis (2014).
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import NamedTuple


class MemberId(NamedTuple):
    """A host's name and the incarnation of its data folder or process.

    An empty incarnation addresses whichever incarnation runs on the host; only greetings use it.
    """

    host: str
    incarnation: str = ""

    def __str__(self) -> str:
        """Return a short form for logs, such as `norsk-a1/3f9c`."""
        return f"{self.host}/{self.incarnation[:4]}"


@dataclass(frozen=True, slots=True)
class Member:
    """A member with what other members need to know of it; only the transport uses `address`."""

    id: MemberId
    has_disk: bool = True
    address: str = ""


@dataclass(frozen=True, slots=True)
class Members:
    """The current voters and learners; learners receive the log but count in no quorum.

    `removed` are the names of hosts that an operator removed; they are not admitted again until an
    operator asks for it. `given_up` are the incarnations that a forced recovery excluded: their
    logs may have diverged, so they are never admitted again. `is_forming` is true in a cell of an
    earlier version from its bootstrap until more than half of the first hosts are voters.
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
        """Return whether this identity counts in quorums."""
        return any(m.id == member_id for m in self.voters)

    def with_learner(self, member: Member) -> "Members":
        """Return a copy with one more learner, which replaces any learner on the same host."""
        kept = tuple(m for m in self.learners if m.id.host != member.id.host)
        return replace(self, learners=(*kept, member))

    def with_voter(self, member: Member) -> "Members":
        """Return a copy in which the member is the newest voter and no longer a learner."""
        learners = tuple(m for m in self.learners if m.id != member.id)
        voters = tuple(m for m in self.voters if m.id != member.id)
        return replace(self, voters=(*voters, member), learners=learners)

    def without(self, member_id: MemberId) -> "Members":
        """Return a copy without this voter or learner."""
        return replace(
            self,
            voters=tuple(m for m in self.voters if m.id != member_id),
            learners=tuple(m for m in self.learners if m.id != member_id),
        )

    def encode(self) -> bytes:
        """Return the bytes of a MEMBERS entry."""
        return json.dumps(
            {
                "voters": _to_rows(self.voters),
                "learners": _to_rows(self.learners),
                "removed": self.removed,
                "given_up": self.given_up,
                "is_forming": self.is_forming,
            },
            separators=(",", ":"),
        ).encode()

    @classmethod
    def decode(cls, data: bytes) -> "Members":
        """Read the bytes of a MEMBERS entry; raise ValueError if they are not JSON."""
        fields = json.loads(data)
        return cls(
            voters=_from_rows(fields["voters"]),
            learners=_from_rows(fields["learners"]),
            removed=tuple(fields["removed"]),
            given_up=tuple(MemberId(*pair) for pair in fields["given_up"]),
            is_forming=fields["is_forming"],
        )


def _to_rows(members: Iterable[Member]) -> list[list[str | bool]]:
    return [[m.id.host, m.id.incarnation, m.has_disk, m.address] for m in members]


def _from_rows(rows: list[list[str]]) -> tuple[Member, ...]:
    return tuple(
        Member(MemberId(host, incarnation), bool(has_disk), address)
        for host, incarnation, has_disk, address in rows
    )
