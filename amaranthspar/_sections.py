"""Reading of one INI section into a class of the schema."""

import configparser
from collections.abc import Mapping
from typing import Any, Generic, TypeVar

import attrs
import msgspec

Entry = TypeVar("Entry")


@attrs.frozen(slots=True)
class Reading(Generic[Entry]):
    """Outcome of reading a section.

    Attributes:
        entry: What the section holds, none if it has faults.
        faults: Every fault, one line each, naming section and key.
    """

    entry: Entry | None
    faults: list[str]


def read_section(
    section: str, values: Mapping[str, str], kind: type[Entry], name: str = ""
) -> Reading[Entry]:
    """Read the values of a section.

    Args:
        section: Section name as it stands in the file.
        values: Text of each key.
        kind: Class of the schema to read into.
        name: Value of the field ``name`` where the section's name carries it.
    """
    fields = {field.name: field for field in attrs.fields(kind)}  # type: ignore[arg-type]
    if name:
        del fields["name"]
    converted: dict[str, Any] = {"name": name} if name else {}
    faults: list[str] = []
    for key, text in values.items():
        if key not in fields:
            faults.append(f"[{section}] {key}: unknown key")
            continue
        try:
            converted[key] = _convert_value(text, str(fields[key].type))
        except msgspec.ValidationError as error:
            reason = str(error).partition(" - at ")[0]
            faults.append(f"[{section}] {key} = {text}: {reason}")
    faults += [
        f"[{section}] {field.name}: missing"
        for field in fields.values()
        if field.default is attrs.NOTHING and field.name not in values
    ]
    if faults:
        return Reading(None, faults)
    return Reading(kind(**converted), [])


_TYPES: dict[str, Any] = {"int": int, "float": float, "str": str, "bool": bool}


def _convert_value(text: str, type_name: str) -> Any:
    """Return a text as a value of the named type."""
    if type_name.startswith("list"):
        return [item.strip() for item in text.split(",") if item.strip()]
    if type_name == "bool":
        state = configparser.ConfigParser.BOOLEAN_STATES.get(text.lower())
        if state is None:
            raise msgspec.ValidationError("Expected `yes` or `no`")
        return state
    if type_name.startswith("Literal"):
        allowed = [item.strip("\"' ") for item in type_name[8:-1].split(",")]
        if text not in allowed:
            raise msgspec.ValidationError(f"Expected one of {', '.join(allowed)}")
        return text
    return msgspec.convert(text, _TYPES[type_name], strict=False)
