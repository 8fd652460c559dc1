"""Pydantic models of a settings file, generated from the table of settings.

The models are strict: a number in quotes is not a number, and a key that is not in the table is an
error.
"""

import ipaddress
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, StringConstraints, create_model

from agateferry_service.address import Address
from agateferry_service.settings.table import NAME_PATTERN, SECTIONS, SETTINGS, Setting, ValueType

MAX_PORT = 65_535
STRICT = ConfigDict(strict=True, extra="forbid", frozen=True)


def parse_address(text: str) -> Address:
    """Return the address in a text `ip:port`; raise ValueError if it is not one."""
    ip, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError("no valid port")
    return Address(str(ipaddress.ip_address(ip.removeprefix("[").removesuffix("]"))), int(port))


def _to_path(text: str) -> Path:
    return Path(text)


def _value_annotation(setting: Setting) -> Any:
    match setting.value_type:
        case ValueType.NAME:
            return Annotated[str, StringConstraints(pattern=NAME_PATTERN)]
        case ValueType.ADDRESS:
            return Annotated[str, AfterValidator(parse_address)]
        case ValueType.PATH:
            return Annotated[str, StringConstraints(min_length=1), AfterValidator(_to_path)]
        case ValueType.NUMBER:
            return Annotated[int, Field(ge=setting.min_value, le=setting.max_value)]
        case ValueType.FLAG:
            return bool
        case ValueType.LEVEL:
            return Literal["debug", "info", "warning", "error"]


def _field_definition(setting: Setting) -> Any:
    if setting.required:
        return (_value_annotation(setting), ...)
    if setting.default is None:
        return (_value_annotation(setting) | None, None)
    return (_value_annotation(setting), setting.default)


def _section_model(section: str) -> type[BaseModel]:
    fields = {s.key: _field_definition(s) for s in SETTINGS if s.section == section}
    return create_model(f"{section.title()}Model", __config__=STRICT, **fields)


def _section_definition(section: str, model: type[BaseModel]) -> Any:
    if section == "peers":
        return (Annotated[list[model], Field(min_length=1)], ...)  # type: ignore[valid-type]
    if any(setting.required for setting in SETTINGS if setting.section == section):
        return (model, ...)
    return (model, Field(default_factory=model))


SECTION_MODELS = {section: _section_model(section) for section in SECTIONS}

FileModel: type[BaseModel] = create_model(
    "FileModel",
    __config__=STRICT,
    **{name: _section_definition(name, model) for name, model in SECTION_MODELS.items()},
)
