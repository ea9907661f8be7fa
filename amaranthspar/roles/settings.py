"""Reads and checks the settings files of processes."""

import configparser
import os
import pathlib
import urllib.parse
from collections.abc import Iterator
from typing import Any

import attrs

from amaranthspar import addresses, configuration, errors
from amaranthspar.ini import _sections, inifiles
from amaranthspar.schema import options

SECTION_CLASSES: dict[str, type] = {
    "process": options.ProcessOptions,
    "links": options.LinkOptions,
    "gateway": options.GatewayOptions,
    "sidecar": options.SidecarOptions,
    "controller": options.ControllerOptions,
}
ROLES = ("gateway", "sidecar", "controller")
REPLICA_EXPECTED = f"id=address, the address being {addresses.EXPECTED}"


@attrs.frozen(slots=True)
class Settings:
    """Checked settings of one process.

    Attributes:
        role: ``gateway``, ``sidecar`` or ``controller``.
        process: Section ``process``.
        links: Section ``links``; the defaults if it is absent.
        gateway: Section ``gateway``; `None` for another role.
        sidecar: Section ``sidecar``; `None` for another role.
        controller: Section ``controller``; `None` for another role.
    """

    role: str
    process: options.ProcessOptions
    links: options.LinkOptions
    gateway: options.GatewayOptions | None = None
    sidecar: options.SidecarOptions | None = None
    controller: options.ControllerOptions | None = None


def load_settings(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Args:
        path: INI file.

    Raises:
        errors.SettingsError: The file has faults; all are listed.
    """
    return build_settings(inifiles.load_file(path), str(path))


def parse_settings(text: str, source: str) -> Settings:
    """Check the text of a settings file.

    Args:
        text: INI text.
        source: File name, which begins each fault.

    Raises:
        errors.SettingsError: The text has faults; all are listed.
    """
    return build_settings(inifiles.parse_text(text, source), source)


def build_settings(parser: configparser.ConfigParser, source: str) -> Settings:
    """Check the sections of a settings file.

    Args:
        parser: Parsed settings file.
        source: File name, which begins each fault.

    Raises:
        errors.SettingsError: The sections have faults; all are listed.
    """
    faults: list[str] = []
    found: dict[str, Any] = {"links": options.LinkOptions()}
    for name in parser.sections():
        if name not in SECTION_CLASSES:
            expected = ", ".join(f"[{known}]" for known in SECTION_CLASSES)
            faults.append(f"[{name}]: unknown section, expected {expected}")
            continue
        reading: _sections.ParsedSection[Any] = _sections.read_section(
            name, parser[name], SECTION_CLASSES[name]
        )
        faults += reading.faults
        if reading.entry is not None:
            faults += _find_faults(name, reading.entry)
        found[name] = reading.entry
    if "process" not in found:
        faults.append("[process]: missing section")
    roles = [role for role in ROLES if role in found]
    if len(roles) != 1:
        given = ", ".join(f"[{role}]" for role in roles) or "none"
        expected = "exactly one of [gateway], [sidecar], [controller]"
        faults.append(
            f"[{roles[-1] if roles else ROLES[0]}]: expected {expected}, found {given}"
        )
    if faults:
        raise errors.SettingsError([f"{source}: {fault}" for fault in faults])
    return Settings(role=roles[0], **found)


def _find_faults(section: str, entry: Any) -> Iterator[str]:
    """Yield the faults that the schema cannot express."""
    match entry:
        case options.ProcessOptions():
            yield from _check_address(section, "listen", entry.listen)
            for text in entry.controllers:
                yield from _check_address(section, "controllers", text)
            if not entry.controllers:
                expected = "at least one address"
                yield f"[{section}] controllers = : expected {expected}"
            if entry.statsd:
                yield from _check_address(section, "statsd", entry.statsd)
            if entry.trace_endpoint:
                yield from _check_url(section, "trace_endpoint", entry.trace_endpoint)
        case options.LinkOptions():
            yield from _check_file(section, "certificate", entry.certificate)
            yield from _check_file(section, "authority", entry.authority)
            if bool(entry.certificate) != bool(entry.authority):
                yield f"[{section}] authority: expected together with certificate"
        case options.GatewayOptions():
            yield from _check_address(section, "http", entry.http)
        case options.SidecarOptions():
            yield from _check_address(section, "upstream", entry.upstream)
            if entry.platform:
                yield from _check_address(section, "platform", entry.platform)
            if not entry.services:
                yield f"[{section}] services = : expected at least one service"
        case options.ControllerOptions():
            yield from _check_replicas(section, entry)
            faults = list(_check_file(section, "bootstrap", entry.bootstrap))
            yield from faults or _check_bootstrap(section, entry.bootstrap)


def _check_address(section: str, key: str, text: str) -> Iterator[str]:
    try:
        addresses.parse_address(text)
    except errors.SchemaError:
        yield f"[{section}] {key} = {text}: expected {addresses.EXPECTED}"


def _check_url(section: str, key: str, text: str) -> Iterator[str]:
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.netloc:
        yield f"[{section}] {key} = {text}: expected a URL, as in http://127.0.0.1:4318"


def _check_file(section: str, key: str, text: str) -> Iterator[str]:
    if text and not (os.path.isfile(text) and os.access(text, os.R_OK)):
        yield f"[{section}] {key} = {text}: expected a file that can be read"


def _check_replicas(section: str, entry: options.ControllerOptions) -> Iterator[str]:
    names = []
    for text in entry.replicas:
        name, _, address = text.partition("=")
        names.append(name)
        try:
            addresses.parse_address(address)
        except errors.SchemaError:
            name = ""
        if not name:
            yield f"[{section}] replicas = {text}: expected {REPLICA_EXPECTED}"
    if len(set(names)) < len(names):
        yield f"[{section}] replicas: expected different ids"


def _check_bootstrap(section: str, path: str) -> Iterator[str]:
    if not path:
        return
    try:
        configuration.parse_text(pathlib.Path(path).read_text(encoding="utf-8"))
    except UnicodeDecodeError:
        yield f"[{section}] bootstrap = {path}: expected text in UTF-8"
    except configuration.ConfigurationError as error:
        for fault in error.faults:
            yield f"[{section}] bootstrap = {path}: {fault}"
