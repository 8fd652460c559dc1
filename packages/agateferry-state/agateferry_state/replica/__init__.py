"""One host's share in a replicated state machine."""

from agateferry_state.replica.protocols import (
    Applied,
    ProposeError,
    ProposeErrorKind,
    Replica,
    StateMachine,
)

__all__ = ["Applied", "ProposeError", "ProposeErrorKind", "Replica", "StateMachine"]
