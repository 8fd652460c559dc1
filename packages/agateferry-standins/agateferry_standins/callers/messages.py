"""The requests of a stand-in caller and their outcomes."""

import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any


@dataclass(frozen=True, slots=True)
class JobKind:
    """A kind of request in a mix: its job, team and simulated work.

    `weight` is its weight in the mix. The caller cancels `cancel_share` of its requests and submits
    `resend_share` of them again after the answer, both 0 to 1. `run_ms` is the run time of a task.
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


class RequestOutcome(StrEnum):
    """How a request ended for its caller; `LOST` means without a final answer."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    FAILED = "failed"
    REFUSED = "refused"
    LOST = "lost"


FINAL_STATES = frozenset({"finished", "cancelled", "failed", "refused"})


@dataclass(slots=True)
class RequestRecord:
    """One request as its caller knows it.

    `accepted` is set once a reply shows that the request is stored; `echo` is the expected answer.
    """

    key: str
    kind: JobKind
    echo: str
    accepted: bool = False
    request_id: str = ""
    answer: dict[str, Any] = field(default_factory=dict)
    outcome: RequestOutcome | None = None
    detail: str = ""

    def body(self) -> dict[str, Any]:
        """Return the JSON body to submit."""
        payload = {"run_ms": self.kind.run_ms, "echo": self.echo, "key": self.key}
        return {
            "schema": "v1",
            "team": self.kind.team,
            "job": self.kind.job,
            "payload": json.dumps(payload),
        }
