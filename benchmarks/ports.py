"""Free ports below the range that outgoing connections take."""

import os
import socket

HOST = "127.0.0.1"
FIRST_PORT = 10_000
PORTS = 20_000
STRIDE = 211
_next = os.getpid() * STRIDE % PORTS


def reserve(count: int = 1) -> list[str]:
    """Return addresses on loopback that nothing listens on.

    Args:
        count: How many.
    """
    global _next
    found: list[str] = []
    while len(found) < count:
        port = FIRST_PORT + _next
        _next = (_next + 1) % PORTS
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(f"{HOST}:{port}")
    return found
