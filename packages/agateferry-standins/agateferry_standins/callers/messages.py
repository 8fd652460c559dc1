"""What a stand-in caller asks for and what it has seen of it."""

import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any


@dataclass(frozen=True, slots=True)
class JobKind:
    """One kind of work in a mix.

    `weight` is its share of the mix, `cancel_share` the share of its requests that the caller
    cancels, `resend_share` the share that it sends a second time after the answer.
    """

    job: str
    team: str
    urgency: str = "normal"
    idempotent: bool = True
    members: int = 1
    run_ms: int = 50
    weight: float = 1.0
    cancel_share: float = 0.0
    resend_share: float = 0.0


class End(StrEnum):
    """Say how a request ended for its caller."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    FAILED = "failed"
    REFUSED = "refused"
    LOST = "lost"


FINAL_STATES = frozenset({"finished", "cancelled", "failed", "refused"})


@dataclass(slots=True)
class RequestRecord:
    """One request as its caller knows it.

    `accepted` is set once any answer showed that the request is stored.
    """

    key: str
    kind: JobKind
    echo: str
    accepted: bool = False
    request_id: str = ""
    answer: dict[str, Any] = field(default_factory=dict)
    end: End | None = None
    detail: str = ""

    def body(self) -> dict[str, Any]:
        """Return the body to submit."""
        payload = {"run_ms": self.kind.run_ms, "echo": self.echo, "key": self.key}
        return {
            "schema": "v1",
            "team": self.kind.team,
            "job": self.kind.job,
            "payload": json.dumps(payload),
        }
