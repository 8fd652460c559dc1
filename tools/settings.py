"""Write the tables of docs/settings.md from the table of settings; the prose stays as it is."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "settings.md"
sys.path[:0] = [str(package) for package in sorted((ROOT / "packages").iterdir())]

from agateferry_service.settings.table import (  # noqa: E402
    RENAMED_KEYS,
    SECTIONS,
    SETTINGS,
    Setting,
)

ROW_START = "| `"
RULE = "| --- | --- | --- | --- | --- |"
OLD_ROW_START = "| _"
OLD_RULE = "| --- | --- |"


def row(setting: Setting) -> str:
    """Return the row of one setting."""
    default = "absent" if setting.default is None else f"`{str(setting.default).lower()}`"
    default = "required" if setting.required else default
    allowed = setting.allowed().removeprefix("needs ").removesuffix(f" ({setting.unit})")
    cells = (f"`{setting.key}`", default, setting.unit or "-", allowed, setting.description)
    return f"| {' | '.join(cells)} |"


def page() -> str:
    """Return the page with the rows that belong under each section."""
    text = PAGE.read_text(encoding="utf-8")
    sections = iter(SECTIONS)
    lines: list[str] = []
    for line in text.splitlines():
        if line.startswith((ROW_START, OLD_ROW_START)):
            continue
        lines.append(line)
        if line == RULE:
            section = next(sections)
            lines += [row(setting) for setting in SETTINGS if setting.section == section]
        elif line == OLD_RULE:
            lines += [f"| _{s}.{old}_ | _{s}.{new}_ |" for (s, old), new in RENAMED_KEYS.items()]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    PAGE.write_text(page(), encoding="utf-8")
