"""Find fields that stand twice in one JSON object, which readers resolve in different ways.

The decoders that are used here take the last one. Others take the first, so two readers of one
body could go by different values.
"""

import json
from collections.abc import Iterable


class RepeatedFieldError(ValueError):
    """A field stands twice in one object."""

    def __init__(self, name: object) -> None:
        super().__init__(f"{name}: the field stands twice")


def check_unique(names: Iterable[object]) -> None:
    """Raise `RepeatedFieldError` for the first name that stands twice."""
    seen: set[object] = set()
    for name in names:
        if name in seen:
            raise RepeatedFieldError(name)
        seen.add(name)


def find_repeated_field(body: bytes) -> str:
    """Return why a JSON body can be read in two ways, or an empty string.

    It is called for bodies that another decoder has read. No values are kept or converted, and
    fields that nobody reads count too. Example: `{"version": 1, "version": 2}` gives
    `version: the field stands twice`.
    """
    try:
        _decoder.decode(body.decode(errors="replace"))
    except (ValueError, RecursionError) as exc:
        return str(exc)
    return ""


def _check_object(pairs: list[tuple[str, None]]) -> None:
    check_unique(name for name, _ in pairs)


def _skip_number(_: str) -> None:
    return None


_decoder = json.JSONDecoder(
    object_pairs_hook=_check_object,
    parse_int=_skip_number,
    parse_float=_skip_number,
    parse_constant=_skip_number,
    strict=False,
)
