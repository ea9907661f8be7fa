"""Free loopback ports below the range that is used for outgoing connections."""

import os
import socket

HOST = "127.0.0.1"
FIRST_PORT = 10_000
PORT_COUNT = 20_000
STRIDE = 211
"""Distance between the first ports of processes with successive ids."""
_next_offset = os.getpid() * STRIDE % PORT_COUNT


def find_ports(count: int) -> list[int]:
    """Return free ports on loopback, each of them only once.

    Args:
        count: Number of ports.
    """
    global _next_offset
    found: list[int] = []
    while len(found) < count:
        port = FIRST_PORT + _next_offset
        _next_offset = (_next_offset + 1) % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
    return found


def find_addresses(count: int = 1) -> list[str]:
    """Return addresses on loopback with free ports.

    Args:
        count: Number of addresses.
    """
    return [f"{HOST}:{port}" for port in find_ports(count)]
