"""Structured logs: JSON lines, or aligned text on a terminal.

A role writes through a bounded buffer: if the reader of its output stops reading, log
lines are dropped, but the role is never blocked.
"""

import asyncio
import collections
import logging
import os
import select
import sys
from typing import Any

import msgspec
import structlog

BUFFER_LINES = 20_000
"""Capacity of the buffer: the lines of about ten seconds of the busiest day."""
FLUSH_INTERVAL_MS = 250
"""Interval between two flushes of the buffer."""
CHUNK_BYTES = 4_096
"""Bytes that a writable pipe accepts without blocking (PIPE_BUF)."""
MAX_FLUSH_CHUNKS = 64
"""Most chunks written in one flush, which bounds the time it blocks the event loop."""


class LineBuffer:
    """Bounded buffer of log lines, which serves as the logger of structlog.

    Args:
        descriptor: File descriptor of the output.

    Attributes:
        dropped: Lines dropped since the last log line that reported them.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""

    def msg(self, line: bytes) -> None:
        """Append a line, or count it as dropped if the buffer is full.

        Args:
            line: Encoded line without the line break.
        """
        if len(self._lines) >= BUFFER_LINES:
            self.dropped += 1
            return
        self._lines.append(line)

    log = debug = info = warn = warning = error = critical = exception = msg

    def flush(self) -> None:
        """Write as many lines as the output accepts without blocking."""
        if self.dropped and len(self._lines) < BUFFER_LINES // 2:
            line = {"event": "log lines dropped", "count": self.dropped}
            self._lines.append(msgspec.json.encode(line))
            self.dropped = 0
        for _ in range(MAX_FLUSH_CHUNKS):
            if not self._unwritten:
                self._unwritten = self._take_chunk()
            if not self._unwritten or not self._is_writable():
                return
            written = os.write(self._descriptor, self._unwritten[:CHUNK_BYTES])
            self._unwritten = self._unwritten[written:]

    def _take_chunk(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._lines and size < CHUNK_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1]) + 1
        return b"".join(part + b"\n" for part in parts)

    def _is_writable(self) -> bool:
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        return any(event & select.POLLOUT for _, event in poll.poll(0))


def set_up_logs(level: int = logging.INFO) -> None:
    """Configure the logs of this process, which go to stderr.

    Args:
        level: Lowest level that is logged.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if sys.stderr.isatty():
        renderer = structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso"),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def set_up_buffered_logs(process: str, descriptor: int) -> LineBuffer:
    """Configure the logs of a role as JSON lines through a bounded buffer.

    Args:
        process: Process name, which is added to each line.
        descriptor: File descriptor of the output.

    Returns:
        The buffer, which the caller must flush.
    """
    buffer = LineBuffer(descriptor)

    def add_process(_logger: Any, _method: str, line: Any) -> Any:
        line["process"] = process
        return line

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso"),
            add_process,
            structlog.processors.JSONRenderer(serializer=_encode_json),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: buffer,
        cache_logger_on_first_use=False,
    )
    return buffer


async def flush_forever(buffer: LineBuffer) -> None:
    """Flush a buffer at regular intervals.

    Args:
        buffer: Buffer to flush.
    """
    while True:
        buffer.flush()
        await asyncio.sleep(FLUSH_INTERVAL_MS / 1000)


def get_logger(process: str) -> Any:
    """Return a logger that adds the process name to each line.

    Args:
        process: Process name.
    """
    return structlog.get_logger().bind(process=process)


def _encode_json(line: Any, **_options: Any) -> bytes:
    return msgspec.json.encode(line, enc_hook=str)
