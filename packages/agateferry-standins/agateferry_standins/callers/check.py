"""Checks that an answer is whole and belongs to the request that it was given for."""

import hashlib
import json
from typing import Any

from agateferry_standins.callers.messages import RequestRecord


def wrong_parts(record: RequestRecord, answer: dict[str, Any]) -> list[str]:
    """Return what is wrong with a final answer; an empty list when it is right."""
    wrong = []
    if record.request_id and answer.get("id") != record.request_id:
        wrong.append(f"id {answer.get('id')} is not {record.request_id}")
    if answer.get("job") != record.kind.job or answer.get("team") != record.kind.team:
        wrong.append("job or team is another's")
    if answer.get("state") == "finished":
        wrong.extend(_wrong_result(record, answer))
    return wrong


def _wrong_result(record: RequestRecord, answer: dict[str, Any]) -> list[str]:
    text = answer.get("answer")
    if not isinstance(text, str):
        return [f"the answer is no text: {text!r}"]
    wrong = []
    if hashlib.sha256(text.encode()).hexdigest() != answer.get("digest"):
        wrong.append("the digest is that of another answer")
    if record.kind.members == 1 and text != record.echo:
        wrong.append(f"the answer {text[:80]!r} is not {record.echo!r}")
    if record.kind.members > 1 and _parts(text) != [record.echo] * record.kind.members:
        wrong.append(f"the gang's answer {text[:80]!r} is not whole")
    return wrong


def _parts(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return None
