"""Typed configuration, its INI text and its validation.

Operators build a `Configuration` in their own programs and print it as INI text::

    from amaranthspar import configuration

    print(
        configuration.Configuration()
        .add_service("lookup", idempotent=True)
        .add_domain("gyor")
    )
"""

import configparser
import io
from collections.abc import Iterable
from typing import Any

import attrs

from amaranthspar import errors
from amaranthspar.ini import _sections, inifiles
from amaranthspar.schema import entries, messages

Entry = entries.Service | entries.Domain | entries.Desk | entries.Team | entries.Account
KINDS: dict[str, type[Entry]] = {
    "service": entries.Service,
    "domain": entries.Domain,
    "desk": entries.Desk,
    "team": entries.Team,
    "account": entries.Account,
}


class ConfigurationError(errors.DecisionError):
    """A configuration has faults.

    Args:
        faults: All faults, one line each, with section and key.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


@attrs.define(slots=True)
class Configuration:
    """Services, failure domains, desks, teams and accounts by name.

    The methods that add an entry raise `ConfigurationError` if a setting is out of
    range, and `TypeError` if there is no such setting.
    """

    services: dict[str, entries.Service] = attrs.field(factory=dict)
    domains: dict[str, entries.Domain] = attrs.field(factory=dict)
    desks: dict[str, entries.Desk] = attrs.field(factory=dict)
    teams: dict[str, entries.Team] = attrs.field(factory=dict)
    accounts: dict[str, entries.Account] = attrs.field(factory=dict)

    def add_service(self, name: str, **settings: Any) -> "Configuration":
        """Add or replace a service; the settings are those of `entries.Service`."""
        return self._add("service", entries.Service(name, **settings))

    def add_domain(self, name: str, **settings: Any) -> "Configuration":
        """Add or replace a failure domain."""
        return self._add("domain", entries.Domain(name, **settings))

    def add_desk(self, name: str, **settings: Any) -> "Configuration":
        """Add or replace a desk."""
        return self._add("desk", entries.Desk(name, **settings))

    def add_team(self, name: str, **settings: Any) -> "Configuration":
        """Add or replace a team."""
        return self._add("team", entries.Team(name, **settings))

    def add_account(self, name: str, **settings: Any) -> "Configuration":
        """Add or replace an account."""
        return self._add("account", entries.Account(name, **settings))

    def _add(self, kind: str, entry: Entry) -> "Configuration":
        faults = _sections.list_faults(f"{kind} {entry.name}", entry)
        if faults:
            raise ConfigurationError(faults)
        self.select_kind(kind)[entry.name] = entry
        return self

    def select_kind(self, kind: str) -> dict[str, Any]:
        """Return the entries of one kind by name.

        Args:
            kind: Kind of entry in a section name, such as ``service``.
        """
        selected: dict[str, Any] = getattr(self, f"{kind}s")
        return selected

    def list_sections(self) -> list[messages.Section]:
        """Return all entries as sections, ordered by kind and name."""
        return [
            format_section(kind, entry)
            for kind in KINDS
            for _, entry in sorted(self.select_kind(kind).items())
        ]

    def __str__(self) -> str:
        """Return the configuration as INI text."""
        return format_sections(self.list_sections())


def format_sections(sections: Iterable[messages.Section]) -> str:
    """Format sections as INI text.

    Args:
        sections: Sections in the order of the text.
    """
    parser = inifiles.build_parser()
    for section in sections:
        parser[section.name] = {item.key: item.value for item in section.settings}
    text = io.StringIO()
    parser.write(text)
    return text.getvalue().rstrip("\n") + "\n"


def parse_text(text: str) -> Configuration:
    """Parse a configuration from INI text.

    Args:
        text: INI text with sections such as ``[service lookup]``.

    Raises:
        ConfigurationError: The text has faults; the error lists all of them.
    """
    parser = inifiles.build_parser()
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise ConfigurationError([" ".join(str(error).split())]) from error
    if not parser.sections():
        raise ConfigurationError(["the configuration has no sections"])
    sections = [
        messages.Section(
            name, [messages.Setting(key, value) for key, value in parser[name].items()]
        )
        for name in parser.sections()
    ]
    return build_configuration(sections)


def build_configuration(sections: Iterable[messages.Section]) -> Configuration:
    """Build a configuration from sections.

    Args:
        sections: Sections in any order.

    Raises:
        ConfigurationError: Sections have faults; the error lists all of them.
    """
    result = Configuration()
    faults: list[str] = []
    for section in sections:
        kind, _, name = section.name.partition(" ")
        if kind not in KINDS or not name:
            expected = ", ".join(f"[{item} NAME]" for item in KINDS)
            faults.append(f"[{section.name}]: unknown section, expected {expected}")
            continue
        values = {item.key: item.value for item in section.settings}
        parsed = _sections.read_section(section.name, values, KINDS[kind], name)
        faults += parsed.faults
        if parsed.entry is not None:
            result.select_kind(kind)[name] = parsed.entry
    faults += _find_unknown_teams(result)
    if faults:
        raise ConfigurationError(faults)
    return result


def compare_configurations(
    base: list[messages.Section], target: list[messages.Section]
) -> tuple[list[messages.Section], list[str]]:
    """Return the added or changed sections and the names of the removed ones.

    Args:
        base: Sections of the older version.
        target: Sections of the newer version.
    """
    old = {section.name: section for section in base}
    new = {section.name: section for section in target}
    changed = [item for name, item in new.items() if old.get(name) != item]
    return changed, [name for name in old if name not in new]


def format_section(kind: str, entry: Entry) -> messages.Section:
    """Return an entry as a section; settings with default values are left out.

    Args:
        kind: Kind of the entry, such as ``service``.
        entry: Entry to convert.
    """
    settings = [
        messages.Setting(field.name, _format_value(getattr(entry, field.name)))
        for field in attrs.fields(type(entry))
        if field.name != "name" and getattr(entry, field.name) != field.default
    ]
    return messages.Section(f"{kind} {entry.name}", settings)


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def _find_unknown_teams(result: Configuration) -> list[str]:
    return [
        f"[account {account.name}] team = {account.team}: no such team"
        for account in result.accounts.values()
        if account.team and account.team not in result.teams
    ]
