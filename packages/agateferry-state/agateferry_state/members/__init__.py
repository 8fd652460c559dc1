"""Membership of a replicated log: identities, quorums, admission and removal."""

from agateferry_state.members.members import Member, MemberId, Members

__all__ = ["Member", "MemberId", "Members"]
