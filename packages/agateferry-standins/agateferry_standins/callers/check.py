"""Checks that an answer is complete and belongs to its request."""

import hashlib
import json
from typing import Any

from agateferry_standins.callers.messages import RequestRecord


def find_mismatches(record: RequestRecord, answer: dict[str, Any]) -> list[str]:
    """Return the errors of a final answer; empty if it is correct."""
    mismatches = []
    if record.request_id and answer.get("id") != record.request_id:
        mismatches.append(f"id {answer.get('id')} is not {record.request_id}")
    if answer.get("job") != record.kind.job or answer.get("team") != record.kind.team:
        mismatches.append("job or team is that of another request")
    if answer.get("state") == "finished":
        mismatches.extend(_result_mismatches(record, answer))
    return mismatches


def _result_mismatches(record: RequestRecord, answer: dict[str, Any]) -> list[str]:
    text = answer.get("answer")
    if not isinstance(text, str):
        return [f"the answer is not a string: {text!r}"]
    mismatches = []
    if hashlib.sha256(text.encode()).hexdigest() != answer.get("digest"):
        mismatches.append("the digest is that of another answer")
    if record.kind.members == 1 and text != record.echo:
        mismatches.append(f"the answer {text[:80]!r} is not {record.echo!r}")
    if record.kind.members > 1 and _parse_json(text) != [record.echo] * record.kind.members:
        mismatches.append(f"the gang's answer {text[:80]!r} is not that of every member")
    return mismatches


def _parse_json(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return None
