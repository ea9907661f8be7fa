"""Settings files of the processes."""

import configparser
import pathlib
from typing import Any

import attrs

from amaranthspar import _sections, errors, inifiles, options

KINDS: dict[str, type] = {
    "process": options.ProcessOptions,
    "links": options.LinkOptions,
    "gateway": options.GatewayOptions,
    "sidecar": options.SidecarOptions,
    "controller": options.ControllerOptions,
}
ROLES = ("gateway", "sidecar", "controller")


@attrs.frozen(slots=True)
class Settings:
    """Checked settings of one process.

    Attributes:
        role: ``gateway``, ``sidecar`` or ``controller``.
        process: Section ``process``.
        links: Section ``links``, defaults if it is absent.
        gateway: Section of a gateway, else none.
        sidecar: Section of a sidecar, else none.
        controller: Section of a controller, else none.
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
    return _build_settings(inifiles.load_file(path), str(path))


def _build_settings(parser: configparser.ConfigParser, source: str) -> Settings:
    faults: list[str] = []
    found: dict[str, Any] = {"links": options.LinkOptions()}
    for name in parser.sections():
        if name not in KINDS:
            expected = ", ".join(f"[{known}]" for known in KINDS)
            faults.append(f"[{name}]: unknown section, expected {expected}")
            continue
        reading: _sections.Reading[Any] = _sections.read_section(
            name, parser[name], KINDS[name]
        )
        faults += reading.faults
        found[name] = reading.entry
    if "process" not in found:
        faults.append("[process]: missing")
    roles = [role for role in ROLES if role in found]
    if len(roles) != 1:
        faults.append("expected exactly one of [gateway], [sidecar], [controller]")
    if faults:
        raise errors.SettingsError([f"{source}: {fault}" for fault in faults])
    return Settings(role=roles[0], **found)
