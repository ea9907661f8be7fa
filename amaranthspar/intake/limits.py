"""Limits on what all clients of a process may occupy together."""

from __future__ import annotations

import attrs

RESERVED_FDS = 200
"""Descriptors that are kept for files."""
MB = 1024 * 1024
BUDGET_SHARE = 12
"""Part of the host's memory for requests: a twelfth, as the body that is collected, its
copy for the handler and its decoded form may exist at the same time."""
CONNECTIONS_SHARE = 4
"""Part of the host's memory for connections: a quarter."""
CONNECTION_BYTES = 80 * 1024
"""Memory of a connection: 32 KB of kernel buffer, some 36 KB of objects in the process,
and a margin."""
RECEIVE_BUFFER_BYTES = 16 * 1024
"""Receive buffer that is set on a listener; the kernel doubles it."""
MIN_CONNECTIONS = 16
"""Connections that are allowed on the smallest host."""


@attrs.frozen(slots=True)
class Limits:
    """Limits of one process.

    Attributes:
        budget_bytes: Bytes of all requests that are being read or handled.
        max_connections: Open connections of clients.
        small_bytes: Requests up to this size are not dropped for the budget.
        max_head_bytes: Bytes before the end of a head, with empty lines before it.
        max_pipelined_bytes: Bytes received while an earlier request is handled.
        max_overhead_bytes: Framing of chunks in excess of the rate, of a single request
            with much of it.
        shared_overhead_bytes: The same for several requests with much of it.
        overhead_rate: Framing of chunks that is parsed continuously, in bytes per ms.
        head_ms: Longest time for a head.
        stall_ms: Longest pause within a body, and longest time for which a client
            reads nothing of a response that waits for it.
        body_ms: Longest time for a body.
        short_ms: Replaces `head_ms` and `stall_ms` while memory or connections are
            short.
        discard_ms: Longest time for the rest of a body whose request was answered.
    """

    budget_bytes: int
    max_connections: int
    small_bytes: int = 4 * 1024
    max_head_bytes: int = 64 * 1024
    max_pipelined_bytes: int = 128 * 1024
    max_overhead_bytes: int = 2 * MB
    shared_overhead_bytes: int = 256 * 1024
    overhead_rate: int = 128
    head_ms: int = 30_000
    stall_ms: int = 60_000
    body_ms: int = 600_000
    short_ms: int = 3_000
    discard_ms: int = 10_000


def derive_limits(memory_mb: int, max_fds: int) -> Limits:
    """Return the limits for a host of the platform.

    Half of the descriptors that are not reserved for files remain for links and for
    connections to the upstream.

    Args:
        memory_mb: Memory of the host in MB.
        max_fds: Descriptors of the process.
    """
    by_memory = memory_mb * MB // CONNECTIONS_SHARE // CONNECTION_BYTES
    by_fds = (max_fds - RESERVED_FDS) // 2
    return Limits(
        budget_bytes=memory_mb * MB // BUDGET_SHARE,
        max_connections=max(MIN_CONNECTIONS, min(by_memory, by_fds)),
    )
