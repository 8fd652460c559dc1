"""Write the tables of docs/settings.md from the declared settings; keep the text around them."""

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

SETTING_ROW_START = "| `"
SETTINGS_RULE = "| --- | --- | --- | --- | --- |"
RENAMED_KEY_ROW_START = "| _"
RENAMED_KEYS_RULE = "| --- | --- |"


def setting_row(setting: Setting) -> str:
    """Return the table row of one setting."""
    default = "absent" if setting.default is None else f"`{str(setting.default).lower()}`"
    default = "required" if setting.required else default
    allowed = setting.allowed().removeprefix("needs ").removesuffix(f" ({setting.unit})")
    cells = (f"`{setting.key}`", default, setting.unit or "-", allowed, setting.description)
    return f"| {' | '.join(cells)} |"


def page() -> str:
    """Return the text of docs/settings.md with its tables filled anew.

    The sections have one table of settings each, in the order of `SECTIONS`; another table lists the
    renamed keys.
    """
    text = PAGE.read_text(encoding="utf-8")
    sections = iter(SECTIONS)
    lines: list[str] = []
    for line in text.splitlines():
        if line.startswith((SETTING_ROW_START, RENAMED_KEY_ROW_START)):
            continue
        lines.append(line)
        if line == SETTINGS_RULE:
            section = next(sections)
            lines += [setting_row(setting) for setting in SETTINGS if setting.section == section]
        elif line == RENAMED_KEYS_RULE:
            lines += [f"| _{s}.{old}_ | _{s}.{new}_ |" for (s, old), new in RENAMED_KEYS.items()]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    PAGE.write_text(page(), encoding="utf-8")
