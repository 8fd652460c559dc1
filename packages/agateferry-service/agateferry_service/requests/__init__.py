"""The ledger of requests: what was accepted, how far each got and what was answered."""

from agateferry_service.requests.ledger import Ledger
from agateferry_service.requests.messages import Outcome, OutcomeKind
from agateferry_service.requests.state import (
    Placement,
    Request,
    RequestSpec,
    RequestState,
    Run,
    Stage,
    lease_name,
)

__all__ = [
    "Ledger",
    "Outcome",
    "OutcomeKind",
    "Placement",
    "Request",
    "RequestSpec",
    "RequestState",
    "Run",
    "Stage",
    "lease_name",
]
