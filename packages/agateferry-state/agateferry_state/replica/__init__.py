"""One member of a replicated state machine: its storage, transport and event loop driver."""

from agateferry_state.replica.link import server_options
from agateferry_state.replica.node import NodeConfig, NodeReplica, Peer
from agateferry_state.replica.protocols import (
    Applied,
    NotApplied,
    ProposeError,
    ProposeErrorKind,
    Replica,
    StateMachine,
)
from agateferry_state.replica.status import MemberStatus, NodeStatus
from agateferry_state.replica.transport import GrpcTransport, Transport, start_server

__all__ = [
    "Applied",
    "GrpcTransport",
    "MemberStatus",
    "NodeConfig",
    "NodeReplica",
    "NodeStatus",
    "NotApplied",
    "Peer",
    "ProposeError",
    "ProposeErrorKind",
    "Replica",
    "StateMachine",
    "Transport",
    "server_options",
    "start_server",
]
