"""Raft replication of one log among the members of a cell, as a core without I/O."""

from agateferry_state.replication.core import Core
from agateferry_state.replication.leader_contact import LeaderContact
from agateferry_state.replication.messages import StoredState
from agateferry_state.replication.settings import Settings
from agateferry_state.replication.state import Role

__all__ = ["Core", "LeaderContact", "Role", "Settings", "StoredState"]
