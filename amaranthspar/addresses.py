"""Addresses of processes: IP addresses and ports, never host names."""

import ipaddress

import attrs

from amaranthspar import errors

EXPECTED = "an IP address and port, as in 127.0.0.1:7000"
MAX_PORT = 65535


@attrs.frozen(slots=True)
class Address:
    """An IP address and a port.

    Attributes:
        host: IP address without brackets.
        port: Port from 1 to 65535.
    """

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse an address.

    Args:
        text: IP address and port, such as ``127.0.0.1:7000`` or ``[::1]:7000``.

    Raises:
        errors.SchemaError: The text is not an address.
    """
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise errors.SchemaError(f"{text!r} is not {EXPECTED}")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise errors.SchemaError(f"{text!r} is not {EXPECTED}") from error
    return Address(host, parse_port(port))


def parse_port(text: str) -> int:
    """Parse the port of an address.

    Args:
        text: Port in decimal digits.

    Raises:
        errors.SchemaError: The text is not a port from 1 to 65535.
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_PORT))
    if not is_number or not 0 < int(text) <= MAX_PORT:
        raise errors.SchemaError(f"{text!r} is not a port from 1 to {MAX_PORT}")
    return int(text)
