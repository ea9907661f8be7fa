"""Gateways and token that an operator's commands use."""

import argparse
import pathlib
from collections.abc import Mapping

import attrs

from amaranthspar import errors
from amaranthspar.ini import _sections, inifiles
from amaranthspar.schema import options

GATEWAY_VARIABLE = "AMARANTHSPAR_GATEWAY"
TOKEN_VARIABLE = "AMARANTHSPAR_TOKEN"
ACCESS_VARIABLE = "AMARANTHSPAR_ACCESS"
SECTION = "access"
HELP = f"""\
access to the system, in order of precedence:
  --gateway URL and --token TOKEN (repeat --gateway to try several in turn);
  {GATEWAY_VARIABLE} (URLs separated by commas) and {TOKEN_VARIABLE};
  an INI file, by --access FILE or {ACCESS_VARIABLE}:
    [access]
    gateways = http://127.0.0.1:8080, http://127.0.0.1:8081
    token = TOKEN

exit codes: 0 done, 1 refused, 2 bad input, 3 outcome unknown
"""


@attrs.frozen(slots=True)
class Access:
    """Gateways and token for access to the system.

    Attributes:
        gateways: URLs of gateways, which are tried in turn.
        token: Bearer token.
    """

    gateways: list[str]
    token: str = attrs.field(repr=False)


def find_access(
    arguments: argparse.Namespace, environment: Mapping[str, str]
) -> Access:
    """Return the access from the command line, the environment or a file.

    Gateways and token are each taken from the first of these that states them.

    Args:
        arguments: Parsed command line.
        environment: Environment variables of the process.

    Raises:
        errors.SettingsError: The gateways or the token are missing, a URL is
            malformed, or the file is invalid.
    """
    path = getattr(arguments, "access", None) or environment.get(ACCESS_VARIABLE)
    stored = _load_access(pathlib.Path(path)) if path else options.AccessOptions()
    gateways = (
        getattr(arguments, "gateway", None)
        or _split(environment.get(GATEWAY_VARIABLE, ""))
        or stored.gateways
    )
    token = (
        getattr(arguments, "token", None)
        or environment.get(TOKEN_VARIABLE, "")
        or stored.token
    )
    faults = []
    if not gateways:
        faults.append(f"no gateway: give --gateway URL or set {GATEWAY_VARIABLE}")
    if not token:
        faults.append(f"no token: give --token TOKEN or set {TOKEN_VARIABLE}")
    faults += [
        f"gateway {url!r}: expected http://HOST:PORT"
        for url in gateways
        if not url.startswith(("http://", "https://"))
    ]
    if faults:
        raise errors.SettingsError(faults)
    return Access(list(gateways), token)


def _load_access(path: pathlib.Path) -> options.AccessOptions:
    parser = inifiles.load_file(path)
    faults = [
        f"{path}: [{name}]: unknown section, expected [{SECTION}]"
        for name in parser.sections()
        if name != SECTION
    ]
    values = parser[SECTION] if parser.has_section(SECTION) else {}
    reading = _sections.read_section(SECTION, values, options.AccessOptions)
    faults += [f"{path}: {fault}" for fault in reading.faults]
    if faults or reading.entry is None:
        raise errors.SettingsError(faults)
    return reading.entry


def _split(text: str) -> list[str]:
    return [item.strip() for item in text.split(",") if item.strip()]
