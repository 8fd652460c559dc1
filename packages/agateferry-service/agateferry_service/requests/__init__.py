"""The ledger of requests: their state, progress and answers."""

from agateferry_service.requests.ledger import Ledger
from agateferry_service.requests.messages import CommandResult, CommandResultKind
from agateferry_service.requests.state import (
    Placement,
    Request,
    RequestSpec,
    RequestState,
    RunCertainty,
    Stage,
    lease_name,
)

__all__ = [
    "CommandResult",
    "CommandResultKind",
    "Ledger",
    "Placement",
    "Request",
    "RequestSpec",
    "RequestState",
    "RunCertainty",
    "Stage",
    "lease_name",
]
