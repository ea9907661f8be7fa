"""Reading of one INI section into a class of the schema."""

import configparser
import functools
import math
import typing
from collections.abc import Mapping
from typing import Any, Generic, TypeVar, cast

import attrs
import msgspec

Entry = TypeVar("Entry")

MAX_NUMBER = 2**53
YES_OR_NO = "yes or no"


@attrs.frozen(slots=True)
class ParsedSection(Generic[Entry]):
    """Outcome of reading a section.

    Attributes:
        entry: What the section holds, none if it has faults.
        faults: Every fault, one line each, naming section and key.
    """

    entry: Entry | None
    faults: list[str]


@attrs.frozen(slots=True)
class _Kind:
    """Type of one key.

    Attributes:
        base: ``int``, ``float``, ``str``, ``bool``, ``list`` or a ``Literal``.
        limits: Limits of the schema, none for no limits.
    """

    base: Any
    limits: msgspec.Meta | None

    @property
    def choices(self) -> tuple[str, ...]:
        """Values allowed, empty if the schema lists none."""
        if typing.get_origin(self.base) is typing.Literal:
            return typing.get_args(self.base)
        return ()


def read_section(
    section: str, values: Mapping[str, str], kind: type[Entry], name: str = ""
) -> ParsedSection[Entry]:
    """Read the values of a section.

    Args:
        section: Section name as it stands in the file.
        values: Text of each key.
        kind: Class of the schema to read into.
        name: Value of the field ``name`` where the section's name carries it.
    """
    kinds = dict(_list_kinds(cast("Any", kind)))
    converted: dict[str, Any] = {}
    faults: list[str] = []
    if name:
        converted["name"] = name
        if not _is_within(name, kinds["name"]):
            faults.append(f"[{section}]: expected as name {_describe(kinds['name'])}")
        del kinds["name"]
    for key, text in values.items():
        if key not in kinds:
            known = ", ".join(kinds) or "no keys"
            faults.append(f"[{section}] {key}: unknown key, expected {known}")
            continue
        value = _convert_text(text, kinds[key])
        if value is None:
            expected = _describe(kinds[key])
            faults.append(f"[{section}] {key} = {text}: expected {expected}")
        converted[key] = value
    for field in attrs.fields(kind):  # type: ignore[arg-type]
        if field.default is attrs.NOTHING and field.name not in converted:
            expected = _describe(kinds[field.name])
            faults.append(f"[{section}] {field.name}: missing, expected {expected}")
    if faults:
        return ParsedSection(None, faults)
    return ParsedSection(kind(**converted), [])


def list_faults(section: str, entry: Any) -> list[str]:
    """Return the faults of an entry that a program built.

    Args:
        section: Section name that it will have.
        entry: Instance of a class of the schema.
    """
    faults = []
    for key, kind in _list_kinds(cast("Any", type(entry))).items():
        value = getattr(entry, key)
        if not _is_within(value, kind):
            faults.append(f"[{section}] {key} = {value}: expected {_describe(kind)}")
    return faults


@functools.cache
def _list_kinds(kind: type) -> Mapping[str, _Kind]:
    hints = typing.get_type_hints(kind, include_extras=True)
    result = {}
    for field in attrs.fields(kind):
        hint = hints[field.name]
        if typing.get_origin(hint) is typing.Annotated:
            base, limits = typing.get_args(hint)
            result[field.name] = _Kind(base, limits)
        else:
            result[field.name] = _Kind(typing.get_origin(hint) or hint, None)
            if result[field.name].base is typing.Literal:
                result[field.name] = _Kind(hint, None)
    return result


def _convert_text(text: str, kind: _Kind) -> Any:
    """Return a text as a value, none if it is not of that kind."""
    if kind.base is list:
        return [item.strip() for item in text.split(",") if item.strip()]
    if kind.base is bool:
        return configparser.ConfigParser.BOOLEAN_STATES.get(text.lower())
    if kind.base in (int, float):
        try:
            value = msgspec.convert(text, kind.base, strict=False)
        except msgspec.ValidationError:
            return None
    else:
        value = text
    return value if _is_within(value, kind) else None


def _is_within(value: Any, kind: _Kind) -> bool:
    if kind.choices:
        return value in kind.choices
    hint = typing.Annotated[kind.base, kind.limits] if kind.limits else kind.base
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError:
        return False
    if isinstance(value, str):
        return value.isprintable()
    if isinstance(value, float):
        return math.isfinite(value)
    return not isinstance(value, int) or abs(value) <= MAX_NUMBER


def _describe(kind: _Kind) -> str:
    """Return what is expected of a value in a few words."""
    if kind.choices:
        return " or ".join(kind.choices)
    if kind.base is bool:
        return YES_OR_NO
    if kind.base is list:
        return "values with commas between"
    limits = kind.limits
    if kind.base is str:
        if limits is None or limits.description is None:
            return "text"
        return limits.description
    number = "a whole number" if kind.base is int else "a number"
    if limits is None:
        return number
    if limits.le is not None and limits.ge is not None:
        return f"{number} from {limits.ge} to {limits.le}"
    return f"{number} of at least {limits.ge}"
