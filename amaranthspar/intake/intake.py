"""Accounts for what clients occupy, and decides which connections are dropped."""

from __future__ import annotations

import enum

import attrs

from amaranthspar.intake import limits

MIN_OVERHEAD_BYTES = 8 * 1024
"""Framing below which a request is not dropped for it, whatever others send."""
OTHERS_SHARE = 4
"""A request may exceed the budget while others hold less than a quarter of it."""

MAX_CHECK_GAP_MS = 600
"""Largest part of the time between two checks that counts for clients. A process that
was paused for longer has not yet read what they sent meanwhile."""


class Reason(enum.Enum):
    """Why a connection was dropped."""

    CONNECTIONS = "connections"
    HEAD_SIZE = "head_size"
    HEAD_TIME = "head_time"
    BODY_TIME = "body_time"
    BUDGET = "budget"
    CHUNKS = "chunks"
    PIPELINED = "pipelined"
    DISCARDED = "discarded"
    UNREAD = "unread"


class Stage(enum.Enum):
    """What a connection does."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    HANDLED = "handled"
    DISCARDED = "discarded"


READING = (Stage.HEAD, Stage.BODY)
_STATUSES = {
    Reason.CONNECTIONS: 503,
    Reason.HEAD_SIZE: 431,
    Reason.HEAD_TIME: 408,
    Reason.BODY_TIME: 408,
    Reason.BUDGET: 503,
    Reason.CHUNKS: 400,
}


@attrs.frozen(slots=True)
class Drop:
    """Effect: a connection is closed.

    Attributes:
        key: Connection.
        reason: Why.
        status: HTTP status that the client gets first; 0 for none, as no request is
            being read.
        held_bytes: Bytes that were held for the connection.
        age_ms: Time since its request began, or since its last one ended, in ms.
    """

    key: int
    reason: Reason
    status: int
    held_bytes: int
    age_ms: int


@attrs.define(slots=True)
class _Connection:
    """State of one connection; bytes are those of the current request."""

    key: int
    started_ms: int
    progress_ms: int
    stage: Stage = Stage.IDLE
    held_bytes: int = 0
    pipelined_bytes: int = 0
    overhead_bytes: int = 0
    blocked_ms: int | None = None


class Intake:
    """Connections of all clients of one process.

    A connection that was dropped is forgotten; later events on it have no effect.

    Args:
        process_limits: Limits of the process.

    Attributes:
        held_bytes: Bytes of all requests that are being read or handled.
    """

    def __init__(self, process_limits: limits.Limits) -> None:
        self.held_bytes = 0
        self._limits = process_limits
        self._connections: dict[int, _Connection] = {}
        self._overhead_bytes = 0
        self._overhead_ms = 0
        self._checked_ms: int | None = None

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def is_short(self) -> bool:
        """Whether memory or connections are short."""
        return (
            2 * self.held_bytes >= self._limits.budget_bytes
            or 4 * len(self._connections) >= 3 * self._limits.max_connections
        )

    def find_stage(self, key: int) -> Stage | None:
        """Return what a connection does; None if it is not known."""
        found = self._connections.get(key)
        return None if found is None else found.stage

    def open(self, key: int, now_ms: int) -> list[Drop]:
        """Add a connection.

        If there are too many, the one that has been idle longest is dropped, then the
        one whose request makes no progress for the longest time. The new one is dropped
        if requests are handled on all others.

        Args:
            key: Connection.
            now_ms: Time in ms.
        """
        self._connections[key] = _Connection(key, now_ms, now_ms)
        if len(self._connections) <= self._limits.max_connections:
            return []
        others = [
            item
            for item in self._connections.values()
            if item.key != key and item.stage is not Stage.HANDLED
        ]
        victim = min(
            others,
            key=lambda item: (item.stage is not Stage.IDLE, item.progress_ms),
            default=self._connections[key],
        )
        return [self._drop(victim, Reason.CONNECTIONS, now_ms)]

    def receive(self, key: int, size_bytes: int, now_ms: int) -> list[Drop]:
        """Account for received bytes, before they are parsed.

        Args:
            key: Connection.
            size_bytes: Number of bytes.
            now_ms: Time in ms.
        """
        found = self._connections.get(key)
        if found is None:
            return []
        found.progress_ms = now_ms
        match found.stage:
            case Stage.DISCARDED:
                return []
            case Stage.HANDLED:
                found.pipelined_bytes += size_bytes
                if found.pipelined_bytes > self._limits.max_pipelined_bytes:
                    return [self._drop(found, Reason.PIPELINED, now_ms)]
            case Stage.IDLE:
                found.stage = Stage.HEAD
                found.started_ms = now_ms
            case Stage.HEAD if found.held_bytes > self._limits.max_head_bytes:
                return [self._drop(found, Reason.HEAD_SIZE, now_ms)]
        self._hold(found, found.held_bytes + size_bytes)
        return self._enforce_budget(now_ms)

    def begin_body(self, key: int, now_ms: int) -> None:
        """Note that the head of a request is complete.

        Args:
            key: Connection.
            now_ms: Time in ms.
        """
        found = self._connections.get(key)
        if found is not None and found.stage in (Stage.IDLE, Stage.HEAD):
            found.stage = Stage.BODY
            found.started_ms = found.progress_ms = now_ms

    def add_overhead(self, key: int, size_bytes: int, now_ms: int) -> list[Drop]:
        """Account for the framing of chunks, which costs time instead of memory.

        Args:
            key: Connection.
            size_bytes: Number of bytes that are not part of the body.
            now_ms: Time in ms.
        """
        found = self._connections.get(key)
        if found is None or size_bytes <= 0:
            return []
        found.overhead_bytes += size_bytes
        drained = (now_ms - self._overhead_ms) * self._limits.overhead_rate
        self._overhead_ms = now_ms
        self._overhead_bytes = max(self._overhead_bytes - drained, 0) + size_bytes
        if self._overhead_bytes <= self._limits.shared_overhead_bytes:
            return []
        costly = [
            item
            for item in self._connections.values()
            if item.overhead_bytes >= MIN_OVERHEAD_BYTES
            and item.stage is not Stage.HANDLED
        ]
        is_alone = len(costly) <= 1
        if is_alone and self._overhead_bytes <= self._limits.max_overhead_bytes:
            return []
        if not costly:
            return []
        victim = max(costly, key=lambda item: item.overhead_bytes)
        return [self._drop(victim, Reason.CHUNKS, now_ms)]

    def complete(self, key: int) -> None:
        """Note that a request was read; its bytes are held until it is finished.

        Args:
            key: Connection.
        """
        found = self._connections.get(key)
        if found is not None:
            found.stage = Stage.HANDLED
            found.overhead_bytes = 0

    def reserve(self, key: int, size_bytes: int) -> bool:
        """Hold more bytes for a request that was read; return whether they may be used.

        A request that becomes larger than the whole budget is allowed while others hold
        little, as it is legal.

        Args:
            key: Connection.
            size_bytes: Bytes that the request becomes once it is decoded.
        """
        found = self._connections.get(key)
        if found is None:
            return False
        others_bytes = self.held_bytes - found.held_bytes
        exceeds = self.held_bytes + size_bytes > self._limits.budget_bytes
        if exceeds and OTHERS_SHARE * others_bytes > self._limits.budget_bytes:
            return False
        self._hold(found, found.held_bytes + size_bytes)
        return True

    def discard(self, key: int, now_ms: int) -> None:
        """Note that the rest of a body is read without being held.

        Args:
            key: Connection.
            now_ms: Time in ms.
        """
        found = self._connections.get(key)
        if found is not None and found.stage is not Stage.DISCARDED:
            self._hold(found, 0)
            found.stage = Stage.DISCARDED
            found.started_ms = now_ms

    def finish(self, key: int, now_ms: int) -> None:
        """Note that a request was answered and its body was read to the end.

        Args:
            key: Connection.
            now_ms: Time in ms.
        """
        found = self._connections.get(key)
        if found is not None:
            # Bytes of a next request that arrived meanwhile stay accounted for.
            self._hold(found, found.pipelined_bytes)
            found.stage = Stage.HEAD if found.pipelined_bytes else Stage.IDLE
            found.pipelined_bytes = 0
            found.overhead_bytes = 0
            found.started_ms = found.progress_ms = now_ms

    def close(self, key: int) -> None:
        """Forget a connection.

        Args:
            key: Connection.
        """
        found = self._connections.pop(key, None)
        if found is not None:
            self.held_bytes -= found.held_bytes

    def block(self, key: int, is_blocked: bool, now_ms: int) -> None:
        """Note whether the client leaves so much of its responses unread that more wait.

        It is noted again whenever the client has read some of it.

        Args:
            key: Connection.
            is_blocked: Whether responses wait for the client.
            now_ms: Time in ms.
        """
        found = self._connections.get(key)
        if found is not None:
            found.blocked_ms = now_ms if is_blocked else None

    def check(self, now_ms: int) -> list[Drop]:
        """Return the connections whose time is over.

        Args:
            now_ms: Time in ms.
        """
        drops = []
        self._excuse_pause(now_ms)
        is_short = self.is_short
        for found in list(self._connections.values()):
            reason = self._find_overdue(found, is_short, now_ms)
            if reason is not None:
                drops.append(self._drop(found, reason, now_ms))
        return drops

    def _excuse_pause(self, now_ms: int) -> None:
        """Move the times of all connections by a pause of the process."""
        checked_ms, self._checked_ms = self._checked_ms, now_ms
        if checked_ms is None or now_ms - checked_ms <= MAX_CHECK_GAP_MS:
            return
        pause_ms = now_ms - checked_ms - MAX_CHECK_GAP_MS
        for found in self._connections.values():
            found.started_ms = min(found.started_ms + pause_ms, now_ms)
            found.progress_ms = min(found.progress_ms + pause_ms, now_ms)
            if found.blocked_ms is not None:
                found.blocked_ms = min(found.blocked_ms + pause_ms, now_ms)

    def _find_overdue(
        self, found: _Connection, is_short: bool, now_ms: int
    ) -> Reason | None:
        bounds = self._limits
        age_ms = now_ms - found.started_ms
        head_ms = bounds.short_ms if is_short else bounds.head_ms
        stall_ms = bounds.short_ms if is_short else bounds.stall_ms
        if found.blocked_ms is not None and now_ms - found.blocked_ms > stall_ms:
            return Reason.UNREAD
        match found.stage:
            case Stage.HEAD if age_ms > head_ms:
                return Reason.HEAD_TIME
            case Stage.BODY if now_ms - found.progress_ms > stall_ms:
                return Reason.BODY_TIME
            case Stage.BODY if age_ms > bounds.body_ms:
                return Reason.BODY_TIME
            case Stage.DISCARDED if age_ms > bounds.discard_ms:
                return Reason.DISCARDED
            case _:
                return None

    def _enforce_budget(self, now_ms: int) -> list[Drop]:
        """Drop the requests that occupied most bytes for the longest time."""
        drops: list[Drop] = []
        while self.held_bytes > self._limits.budget_bytes:
            victim = self._find_largest(now_ms)
            if victim is None:
                break
            is_reading = victim.stage in READING
            reason = Reason.BUDGET if is_reading else Reason.PIPELINED
            drops.append(self._drop(victim, reason, now_ms))
        return drops

    def _find_largest(self, now_ms: int) -> _Connection | None:
        """Return the request that held most bytes for the longest time, if it may go.

        Requests that are read come before those behind one that is handled.
        """
        small_bytes = self._limits.small_bytes
        candidates = [
            item
            for item in self._connections.values()
            if (item.stage in READING and item.held_bytes > small_bytes)
            or item.pipelined_bytes > small_bytes
        ]
        return max(
            candidates,
            key=lambda item: (
                item.stage in READING,
                item.held_bytes * (now_ms - item.started_ms + 1),
            ),
            default=None,
        )

    def _hold(self, found: _Connection, size_bytes: int) -> None:
        self.held_bytes += size_bytes - found.held_bytes
        found.held_bytes = size_bytes

    def _drop(self, found: _Connection, reason: Reason, now_ms: int) -> Drop:
        self.close(found.key)
        status = _STATUSES.get(reason, 0)
        if reason is Reason.CONNECTIONS:
            # An idle connection is closed without an answer to a request never sent.
            is_new = found.started_ms == now_ms and found.stage is Stage.IDLE
            status = status if is_new or found.stage in READING else 0
        age_ms = now_ms - found.started_ms
        return Drop(found.key, reason, status, found.held_bytes, age_ms)
