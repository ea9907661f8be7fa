"""Free ports below the range that outgoing connections take."""

import os
import socket

HOST = "127.0.0.1"
FIRST_PORT = 10_000
PORTS = 20_000
STRIDE = 211
_next = os.getpid() * STRIDE % PORTS


def find_ports(count: int) -> list[int]:
    """Return ports on loopback that nothing listens on; none is returned twice.

    Args:
        count: How many.
    """
    global _next
    found: list[int] = []
    while len(found) < count:
        port = FIRST_PORT + _next
        _next = (_next + 1) % PORTS
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
    return found


def find_addresses(count: int = 1) -> list[str]:
    """Return addresses on loopback that nothing listens on.

    Args:
        count: How many.
    """
    return [f"{HOST}:{port}" for port in find_ports(count)]
