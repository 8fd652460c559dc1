"""Membership of a replicated log: identities, quorums, and which change of members comes next."""

from agateferry_state.members.members import Member, MemberId, Members

__all__ = ["Member", "MemberId", "Members"]
