"""Read a settings file and report all its problems at once.

For example `load_settings(Path("host.toml"))` gives `Ok(Settings(...))`, or an `Error` whose text
has a line such as `host.toml: limits.max_body_bytes = 5: needs a whole number from 1024 to
67108864 (bytes)`.
"""

import difflib
import tomllib
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError

from agateferry_service.settings.checks import check
from agateferry_service.settings.models import FileModel
from agateferry_service.settings.problems import Problem, SettingsError, shown_value
from agateferry_service.settings.settings import (
    HostSettings,
    LimitSettings,
    ListenSettings,
    LogSettings,
    PeerSettings,
    RecordingSettings,
    ReplicationSettings,
    Settings,
    TimeoutSettings,
)
from agateferry_service.settings.table import RENAMED_KEYS, SECTIONS, find_setting, keys_of


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read and check the settings in a TOML file; replace old names of keys and warn of them."""
    document = _read(path)
    if isinstance(document, Problem):
        return Error(SettingsError((document,)))
    document, warnings, conflicts = _rename_old_keys(document, path)
    if conflicts:
        return Error(SettingsError(tuple(conflicts)))
    return _validate(document, path, warnings)


def _read(path: Path) -> dict[str, Any] | Problem:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        return Problem(path, "file", "", f"cannot be read ({exc.strerror}); name a readable file")
    except UnicodeDecodeError:
        return Problem(path, "file", "", "is not UTF-8 text; save it as UTF-8")
    except tomllib.TOMLDecodeError as exc:
        return Problem(path, "file", "", f"is not valid TOML: {exc}")


def _rename_old_keys(
    document: dict[str, Any], path: Path
) -> tuple[dict[str, Any], tuple[str, ...], list[Problem]]:
    renamed = dict(document)
    warnings: list[str] = []
    conflicts: list[Problem] = []
    for (section, old), new in RENAMED_KEYS.items():
        table = renamed.get(section)
        if not isinstance(table, dict) or old not in table:
            continue
        if new in table:
            allowed = f"is the old name of {section}.{new}, which is set too; remove this one"
            conflicts.append(Problem(path, f"{section}.{old}", shown_value(table[old]), allowed))
            continue
        renamed[section] = {(new if key == old else key): value for key, value in table.items()}
        warnings.append(f"{path}: {section}.{old} is an old name; use {section}.{new}")
    return renamed, tuple(warnings), conflicts


def _validate(
    document: dict[str, Any], path: Path, warnings: tuple[str, ...]
) -> Result[Settings, SettingsError]:
    try:
        model = FileModel.model_validate(document)
    except ValidationError as exc:
        invalid = [_to_problem(path, dict(error)) for error in exc.errors(include_url=False)]
        return Error(SettingsError(tuple(invalid)))
    settings = _to_settings(model, warnings)
    problems = check(settings, path)
    return Error(SettingsError(tuple(problems))) if problems else Ok(settings)


def _to_problem(path: Path, error: dict[str, Any]) -> Problem:
    location = tuple(part for part in error["loc"] if isinstance(part, str))
    section, key = location[0], location[1] if len(location) > 1 else None
    name = ".".join(_show_part(part) for part in error["loc"]).replace(".[", "[")
    if error["type"] == "extra_forbidden":
        return Problem(path, name, shown_value(error["input"]), _unknown_key_hint(section, key))
    if error["type"] == "missing":
        return Problem(path, name, "", f"is required; {_allowed_values(section, key)}")
    return Problem(path, name, shown_value(error["input"]), _allowed_values(section, key))


def _show_part(part: str | int) -> str:
    return f"[{part}]" if isinstance(part, int) else part


def _unknown_key_hint(section: str, key: str | None) -> str:
    known = keys_of(section) if key is not None else SECTIONS
    matches = difflib.get_close_matches(key if key is not None else section, known, n=1)
    hint = f"did you mean {matches[0]}?" if matches else f"allowed are {', '.join(known)}"
    return f"is not known; {hint}"


def _allowed_values(section: str, key: str | None) -> str:
    setting = find_setting(section, key) if key is not None else None
    if setting is not None:
        return setting.allowed()
    if section == "peers":
        return "needs one [[peers]] table for each entry host of the system"
    return f"needs a table [{section}] with {', '.join(keys_of(section))}"


def _section_fields(model: Any) -> dict[str, Any]:
    """Return the fields of a validated section, which has the field names of its data class."""
    section: BaseModel = model
    return {name: getattr(section, name) for name in type(section).model_fields}


def _to_settings(model: Any, warnings: tuple[str, ...]) -> Settings:
    return Settings(
        host=HostSettings(**_section_fields(model.host)),
        listen=ListenSettings(**_section_fields(model.listen)),
        peers=tuple(PeerSettings(**_section_fields(peer)) for peer in model.peers),
        limits=LimitSettings(**_section_fields(model.limits)),
        timeouts=TimeoutSettings(**_section_fields(model.timeouts)),
        replication=ReplicationSettings(**_section_fields(model.replication)),
        log=LogSettings(**_section_fields(model.log)),
        recording=RecordingSettings(**_section_fields(model.recording)),
        warnings=warnings,
    )
