"""Parsing of one INI section into a class of the schema."""

import configparser
import functools
import math
import typing
from collections.abc import Mapping
from typing import Any, Generic, TypeVar, cast

import attrs
import msgspec

Entry = TypeVar("Entry")

MAX_INTEGER = 2**53
YES_OR_NO = "yes or no"


@attrs.frozen(slots=True)
class ParsedSection(Generic[Entry]):
    """Result of parsing a section.

    Attributes:
        entry: Parsed entry; None if the section has faults.
        faults: All faults, one line each, with section and key.
    """

    entry: Entry | None
    faults: list[str]


@attrs.frozen(slots=True)
class _FieldType:
    """Type of one field and the limits of its value.

    Attributes:
        base: ``int``, ``float``, ``str``, ``bool``, ``list`` or a ``Literal``.
        limits: Limits from the schema; None for no limits.
    """

    base: Any
    limits: msgspec.Meta | None

    @property
    def choices(self) -> tuple[str, ...]:
        """Allowed values; empty if the schema does not list them."""
        if typing.get_origin(self.base) is typing.Literal:
            return typing.get_args(self.base)
        return ()


def read_section(
    section: str, values: Mapping[str, str], schema_class: type[Entry], name: str = ""
) -> ParsedSection[Entry]:
    """Convert the values of a section to an instance of a class of the schema.

    Args:
        section: Section name as written in the file.
        values: Text of each key.
        schema_class: Class of the schema.
        name: Value of the field ``name`` if the section name contains it.
    """
    field_types = dict(_list_field_types(cast("Any", schema_class)))
    converted: dict[str, Any] = {}
    faults: list[str] = []
    if name:
        converted["name"] = name
        if not _is_valid(name, field_types["name"]):
            faults.append(
                f"[{section}]: expected as name {_describe_expected(field_types['name'])}"
            )
        del field_types["name"]
    for key, text in values.items():
        if key not in field_types:
            expected = ", ".join(field_types) or "no keys"
            faults.append(f"[{section}] {key}: unknown key, expected {expected}")
            continue
        value = _convert_text(text, field_types[key])
        if value is None:
            expected = _describe_expected(field_types[key])
            faults.append(f"[{section}] {key} = {text}: expected {expected}")
        converted[key] = value
    for field in attrs.fields(schema_class):  # type: ignore[arg-type]
        if field.default is attrs.NOTHING and field.name not in converted:
            expected = _describe_expected(field_types[field.name])
            faults.append(f"[{section}] {field.name}: missing, expected {expected}")
    if faults:
        return ParsedSection(None, faults)
    return ParsedSection(schema_class(**converted), [])


def list_faults(section: str, entry: Any) -> list[str]:
    """Return the faults of an entry that was built by a program.

    Args:
        section: Section name that the entry gets in the INI text.
        entry: Instance of a class of the schema.
    """
    faults = []
    for key, field_type in _list_field_types(cast("Any", type(entry))).items():
        value = getattr(entry, key)
        if not _is_valid(value, field_type):
            faults.append(
                f"[{section}] {key} = {value}: expected {_describe_expected(field_type)}"
            )
    return faults


@functools.cache
def _list_field_types(schema_class: type) -> Mapping[str, _FieldType]:
    hints = typing.get_type_hints(schema_class, include_extras=True)
    result = {}
    for field in attrs.fields(schema_class):
        hint = hints[field.name]
        if typing.get_origin(hint) is typing.Annotated:
            base, limits = typing.get_args(hint)
            result[field.name] = _FieldType(base, limits)
        else:
            result[field.name] = _FieldType(typing.get_origin(hint) or hint, None)
            if result[field.name].base is typing.Literal:
                result[field.name] = _FieldType(hint, None)
    return result


def _convert_text(text: str, field_type: _FieldType) -> Any:
    """Return the value that a text represents, or None if it is not valid."""
    if field_type.base is list:
        return [item.strip() for item in text.split(",") if item.strip()]
    if field_type.base is bool:
        return configparser.ConfigParser.BOOLEAN_STATES.get(text.lower())
    if field_type.base in (int, float):
        try:
            value = msgspec.convert(text, field_type.base, strict=False)
        except msgspec.ValidationError:
            return None
    else:
        value = text
    return value if _is_valid(value, field_type) else None


def _is_valid(value: Any, field_type: _FieldType) -> bool:
    if field_type.choices:
        return value in field_type.choices
    hint = (
        typing.Annotated[field_type.base, field_type.limits]
        if field_type.limits
        else field_type.base
    )
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError:
        return False
    if isinstance(value, str):
        return value.isprintable()
    if isinstance(value, float):
        return math.isfinite(value)
    return not isinstance(value, int) or abs(value) <= MAX_INTEGER


def _describe_expected(field_type: _FieldType) -> str:
    """Return a short description of the values that a field accepts."""
    if field_type.choices:
        return " or ".join(field_type.choices)
    if field_type.base is bool:
        return YES_OR_NO
    if field_type.base is list:
        return "values with commas between"
    limits = field_type.limits
    if field_type.base is str:
        if limits is None or limits.description is None:
            return "text"
        return limits.description
    number = "a whole number" if field_type.base is int else "a number"
    if limits is None:
        return number
    if limits.le is not None and limits.ge is not None:
        return f"{number} from {limits.ge} to {limits.le}"
    return f"{number} of at least {limits.ge}"
