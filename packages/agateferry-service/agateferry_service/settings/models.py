"""The validated form of a settings file, made from the table of settings.

Models are strict: a number in quotes is not a number, and a key that the table does not have is an
error.
"""

import ipaddress
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, StringConstraints, create_model

from agateferry_service.settings.settings import Address
from agateferry_service.settings.table import NAME_PATTERN, SECTIONS, SETTINGS, Setting, ValueType

MAX_PORT = 65_535
STRICT = ConfigDict(strict=True, extra="forbid", frozen=True)


def parse_address(text: str) -> Address:
    """Return the address in `ip:port`; raise ValueError when it is none."""
    ip, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError("no port")
    return Address(str(ipaddress.ip_address(ip.removeprefix("[").removesuffix("]"))), int(port))


def _path(text: str) -> Path:
    return Path(text)


def _kind(setting: Setting) -> Any:
    match setting.value_type:
        case ValueType.NAME:
            return Annotated[str, StringConstraints(pattern=NAME_PATTERN)]
        case ValueType.ADDRESS:
            return Annotated[str, AfterValidator(parse_address)]
        case ValueType.PATH:
            return Annotated[str, StringConstraints(min_length=1), AfterValidator(_path)]
        case ValueType.NUMBER:
            return Annotated[int, Field(ge=setting.min_value, le=setting.max_value)]
        case ValueType.FLAG:
            return bool
        case ValueType.LEVEL:
            return Literal["debug", "info", "warning", "error"]


def _field(setting: Setting) -> Any:
    if setting.required:
        return (_kind(setting), ...)
    if setting.default is None:
        return (_kind(setting) | None, None)
    return (_kind(setting), setting.default)


def _section_model(section: str) -> type[BaseModel]:
    fields = {s.key: _field(s) for s in SETTINGS if s.section == section}
    return create_model(f"{section.title()}Model", __config__=STRICT, **fields)


def _section_field(section: str, model: type[BaseModel]) -> Any:
    if section == "peers":
        return (Annotated[list[model], Field(min_length=1)], ...)  # type: ignore[valid-type]
    if any(setting.required for setting in SETTINGS if setting.section == section):
        return (model, ...)
    return (model, Field(default_factory=model))


SECTION_MODELS = {section: _section_model(section) for section in SECTIONS}

FileModel: type[BaseModel] = create_model(
    "FileModel",
    __config__=STRICT,
    **{name: _section_field(name, model) for name, model in SECTION_MODELS.items()},
)
