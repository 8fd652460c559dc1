"""One host's share in a replicated state machine."""

from agateferry_state.replica.protocols import (
    Applied,
    ProposeError,
    ProposeErrorKind,
    Replica,
    StateMachine,
)
from agateferry_state.replica.solo import SoloReplica

__all__ = [
    "Applied",
    "ProposeError",
    "ProposeErrorKind",
    "Replica",
    "SoloReplica",
    "StateMachine",
]
