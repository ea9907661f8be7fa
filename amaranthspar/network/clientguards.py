"""Carries out the decisions on connections of HTTP clients, for all servers of a process."""

from __future__ import annotations

import asyncio
import collections
import http
import itertools
import socket
from collections.abc import Callable

import attrs
import msgspec

from amaranthspar import clock, loop as loops, rejections
from amaranthspar.intake import intake, limits

CHECK_MS = 500
"""Interval at which times are checked."""
RETRY_AFTER_S = 2
"""Time after which a refused client is asked to retry: by then those that stopped short
of their end have lost their connections."""
REFUSAL_S = 2
"""Time for a client to make room for a refusal. Its connection is not accounted for any
more, but occupies a descriptor until it is closed."""
RETRY_STATUSES = (429, 503)
BACKLOG = 128
_DETAILS = {
    intake.Reason.CONNECTIONS: "too many connections; the request was not accepted",
    intake.Reason.HEAD_SIZE: "the head is too large",
    intake.Reason.HEAD_TIME: "the head took too long",
    intake.Reason.BODY_TIME: "the body took too long",
    intake.Reason.BUDGET: "memory for requests is short; this one was not accepted "
    "and never runs",
    intake.Reason.CHUNKS: "the chunks of the body are too small",
}

_PROBLEMS = {
    400: "malformed-request",
    408: "request-timeout",
    431: "headers-too-large",
    503: "unavailable",
}

Closer = Callable[[bytes], None]


@attrs.define(slots=True)
class _Unread:
    """Responses that wait for their client.

    Attributes:
        measure: Returns the number of bytes that wait.
        size_bytes: Number of bytes that waited at the last check.
    """

    measure: Callable[[], int]
    size_bytes: int


class ClientGuard:
    """Connections of the clients of one process.

    Args:
        process_limits: Limits of the process.

    Attributes:
        drops: Number of dropped connections by reason; ``decoded`` counts requests that
            were refused for what they become once decoded.
    """

    def __init__(self, process_limits: limits.Limits) -> None:
        self.drops: collections.Counter[str] = collections.Counter()
        self._intake = intake.Intake(process_limits)
        self._clock = clock.Clock()
        self._closers: dict[int, Closer] = {}
        self._unread: dict[int, _Unread] = {}
        self._keys = itertools.count()
        self._log = rejections.RejectionLog()
        self._users = 0
        self._checking: asyncio.Task[None] | None = None

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return self._intake.open_connections

    @property
    def held_bytes(self) -> int:
        """Bytes of all requests that are being read or handled."""
        return self._intake.held_bytes

    def start(self) -> None:
        """Check times until each server that called this has called `stop`."""
        self._users += 1
        if self._checking is None:
            checks = loops.repeat(CHECK_MS, self._check)
            self._checking = asyncio.get_running_loop().create_task(checks)

    def stop(self) -> None:
        """End the checks if no server is left."""
        self._users -= 1
        if self._users <= 0 and self._checking is not None:
            self._checking.cancel()
            self._checking = None

    def open(self, closer: Closer) -> Connection:
        """Return a new connection.

        Args:
            closer: Sends the given bytes, if any, and closes the connection.
        """
        key = next(self._keys)
        self._closers[key] = closer
        self._carry_out(self._intake.open(key, self._clock.read_monotonic()))
        return Connection(self, key)

    def _check(self) -> None:
        now_ms = self._clock.read_monotonic()
        for key, unread in self._unread.items():
            size_bytes = unread.measure()
            if size_bytes < unread.size_bytes:
                self._intake.block(key, True, now_ms)
            unread.size_bytes = size_bytes
        self._carry_out(self._intake.check(now_ms))

    def _carry_out(self, drops: list[intake.Drop]) -> None:
        for drop in drops:
            self.drops[drop.reason.value] += 1
            self._log.record(
                f"client dropped: {drop.reason.value}",
                connection=str(drop.key),
                status=str(drop.status),
                held_bytes=str(drop.held_bytes),
                age_ms=str(drop.age_ms),
                all_held_bytes=str(self._intake.held_bytes),
                open_connections=str(self._intake.open_connections),
            )
            self._unread.pop(drop.key, None)
            closer = self._closers.pop(drop.key, None)
            if closer is not None:
                closer(build_refusal(drop.reason, drop.status))


class Connection:
    """One connection of a client.

    Args:
        guard: Guard of the process.
        key: Number of the connection.
    """

    def __init__(self, guard: ClientGuard, key: int) -> None:
        self._guard = guard
        self._intake = guard._intake
        self._key = key

    @property
    def is_open(self) -> bool:
        """Whether the connection was not dropped."""
        return self.stage is not None

    @property
    def is_discarding(self) -> bool:
        """Whether the rest of a body is read without being held."""
        return self.stage is intake.Stage.DISCARDED

    @property
    def stage(self) -> intake.Stage | None:
        """What the connection does; None if it was dropped or closed."""
        return self._intake.find_stage(self._key)

    def receive(self, size_bytes: int) -> bool:
        """Account for received bytes; return whether the connection is still open."""
        drops = self._intake.receive(self._key, size_bytes, self._read_clock())
        self._guard._carry_out(drops)
        return self.is_open

    def add_overhead(self, size_bytes: int) -> bool:
        """Account for framing of chunks; return whether the connection is still open."""
        drops = self._intake.add_overhead(self._key, size_bytes, self._read_clock())
        self._guard._carry_out(drops)
        return self.is_open

    def begin_body(self) -> None:
        """Note that the head of a request is complete."""
        self._intake.begin_body(self._key, self._read_clock())

    def complete(self) -> None:
        """Note that a request was read."""
        self._intake.complete(self._key)

    def reserve(self, size_bytes: int) -> bool:
        """Hold more bytes for a request that was read; return whether they may be used.

        Args:
            size_bytes: Bytes that the request becomes once it is decoded.
        """
        is_reserved = self._intake.reserve(self._key, size_bytes)
        if not is_reserved:
            self._guard.drops["decoded"] += 1
        return is_reserved

    def discard(self) -> None:
        """Note that the rest of a body is read without being held."""
        self._intake.discard(self._key, self._read_clock())

    def block(self, measure: Callable[[], int]) -> None:
        """Note that responses wait for the client to read them.

        Args:
            measure: Returns the number of bytes that wait.
        """
        if self.is_open:
            self._guard._unread[self._key] = _Unread(measure, measure())
        self._intake.block(self._key, True, self._read_clock())

    def unblock(self) -> None:
        """Note that no responses wait for the client any more."""
        self._guard._unread.pop(self._key, None)
        self._intake.block(self._key, False, self._read_clock())

    def finish(self) -> None:
        """Note that a request was answered and read to its end."""
        self._intake.finish(self._key, self._read_clock())

    def close(self) -> None:
        """Forget the connection."""
        self._guard._closers.pop(self._key, None)
        self._guard._unread.pop(self._key, None)
        self._intake.close(self._key)

    def _read_clock(self) -> int:
        return self._guard._clock.read_monotonic()


def build_refusal(reason: intake.Reason, status: int) -> bytes:
    """Return a whole HTTP response to a request that was not read; empty without status.

    Args:
        reason: Why the connection is closed.
        status: HTTP status; 0 for no response.
    """
    if not status:
        return b""
    title = http.HTTPStatus(status).phrase
    body = msgspec.json.encode(
        {
            "type": f"urn:amaranthspar:{_PROBLEMS[status]}",
            "title": title,
            "status": status,
            "detail": _DETAILS[reason],
            "outcome": "not-run",
        }
    )
    lines = [
        f"HTTP/1.1 {status} {title}",
        "Content-Type: application/problem+json",
        f"Content-Length: {len(body)}",
        "Amaranthspar-Outcome: not-run",
        "Connection: close",
    ]
    if status in RETRY_STATUSES:
        lines.append(f"Retry-After: {RETRY_AFTER_S}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def refuse(transport: asyncio.Transport, response: bytes) -> None:
    """Close a connection after a response, or at once if its client reads none.

    Args:
        transport: Transport of the connection.
        response: Response; empty for none.
    """
    if transport.get_write_buffer_size():
        transport.abort()
        return
    if response:
        transport.write(response)
        asyncio.get_running_loop().call_later(REFUSAL_S, transport.abort)
    transport.close()


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket whose connections get small receive buffers.

    The kernel holds what a client sends before it is read; this counts as memory of the
    host.

    Args:
        host: IP address.
        port: Port.

    Raises:
        OSError: The address cannot be listened on.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the size, which must be set before listening.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, limits.RECEIVE_BUFFER_BYTES
        )
        listener.bind((host, port))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
