"""The JSON document of a request on the callers' port."""

import hashlib
import json
from typing import Any

from agateferry_service.rpc import commands_pb2 as pb

TERMINAL_STATES = frozenset({"finished", "cancelled", "failed"})


def has_ended(view: pb.RequestView) -> bool:
    """Return whether a request is in a terminal state."""
    return view.state in TERMINAL_STATES


def request_json(view: pb.RequestView) -> dict[str, Any]:
    """Return the JSON document of a request; a gang's answer is an array, one item per member."""
    answer = None
    if view.state == "finished":
        answer = view.answers[0] if view.members == 1 else json.dumps(list(view.answers))
    return {
        "id": view.id,
        "team": view.team,
        "job": view.job,
        "state": view.state,
        "attempt": view.attempt,
        "progress": view.progress,
        "checkpoint_step": view.checkpoint_step if view.checkpoint_step >= 0 else None,
        "answer": answer,
        "digest": hashlib.sha256(answer.encode()).hexdigest() if answer is not None else None,
        "stage": view.stage or None,
        "run": view.run,
        "reason": view.reason,
        "detail": view.detail,
        "submitted_ms": view.submitted_wall_ms,
        "ended_ms": view.ended_wall_ms or None,
    }
