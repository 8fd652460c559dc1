"""Write docs/events.md, the catalogue of log events, from the events.py modules of all packages."""

import importlib
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ROOT / "packages"
PAGE = ROOT / "docs" / "events.md"
sys.path[:0] = [str(package) for package in sorted(PACKAGES.iterdir())]

from agateferry_core.logs import Event  # noqa: E402

HEAD = """# Log events

Each log line has a `number` that stands for one kind of event and never changes; warnings and
errors carry the `advice` too. Lines about a request carry its id, and its attempt, lease and team
where there are any. This page is made by `make generate` from the code.

| number | text | what to do |
| ---: | --- | --- |
"""


def event_module_names() -> list[str]:
    """Return the dotted names of all events.py modules."""
    names = []
    for package in sorted(PACKAGES.iterdir()):
        for path in sorted(package.rglob("events.py")):
            names.append(".".join(path.relative_to(package).with_suffix("").parts))
    return names


def declared_events() -> list[Event]:
    """Return all declared events in order of their numbers."""
    by_number = {}
    for name in event_module_names():
        for value in vars(importlib.import_module(name)).values():
            if isinstance(value, Event):
                by_number[value.number] = value
    return [by_number[number] for number in sorted(by_number)]


def page() -> str:
    """Return the text of docs/events.md."""
    rows = [f"| {event.number} | {event.text} | {event.advice} |" for event in declared_events()]
    return HEAD + "\n".join(rows) + "\n"


if __name__ == "__main__":
    PAGE.write_text(page(), encoding="utf-8")
