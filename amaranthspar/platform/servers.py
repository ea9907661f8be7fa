"""HTTP servers of the platform adapter."""

import asyncio
import logging
import resource
from collections.abc import Awaitable, Callable
from typing import Any

import structlog
from aiohttp import http, streams, web

from amaranthspar import errors, rejections
from amaranthspar.intake import intake, limits
from amaranthspar.network import clientguards

MAX_LINE_BYTES = 16_384
"""Largest size of the request line and of each header field."""
KEEP_ALIVE_S = 75
"""Time for which an idle connection is kept open."""
MAX_FIELDS = 128
"""Largest number of header fields of a request."""
READ_BUFFER_BYTES = 2 * 1024
"""Part of a body that is parsed before its handler takes it. The parser also pauses after
a sixteenth of it in chunks, so that small chunks don't hold up the event loop."""
CHUNK_FRAMING_BYTES = 5
"""Least framing of a chunk, which has two line ends."""
LINGERING_S = 2
"""Time for which the rest of a body is discarded after its request was answered, so that
a client that is still sending receives the response."""
DEFAULT_MEMORY_MB = 512
"""Memory of the host if the settings don't state it."""
MAX_FDS = 1_000_000
"""Descriptors assumed on a system without a limit; memory then bounds connections."""
SHUTDOWN_MS = 200
"""Default time for running handlers to finish when a server closes."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_log = structlog.get_logger()


class Server:
    """One HTTP server.

    Args:
        handler: Called for each request; returns the response.
        shutdown_ms: Time for running handlers to finish when the server closes, in ms.
        guard: Guard that all servers of the process share; by default one of its own.
    """

    def __init__(
        self,
        handler: Handler,
        shutdown_ms: int = SHUTDOWN_MS,
        guard: clientguards.ClientGuard | None = None,
    ) -> None:
        self._guard = guard or build_guard()
        self._handler = handler
        self._shutdown_ms = shutdown_ms
        self._runner: web.ServerRunner | None = None
        self._rejections = rejections.RejectionLog()

    async def open(self, address: str) -> None:
        """Start listening.

        Args:
            address: Address as in ``10.0.0.1:8080``.

        Raises:
            errors.ListenError: The server cannot listen on the address.
        """
        host, _, port = address.rpartition(":")
        server = _Server(
            self._handle,
            self._guard,
            handler_cancellation=True,
            access_log=None,
            logger=_build_logger(self._rejections),
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_FIELDS,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=LINGERING_S,
            keepalive_timeout=KEEP_ALIVE_S,
        )
        runner = web.ServerRunner(server, shutdown_timeout=self._shutdown_ms / 1000)
        await runner.setup()
        try:
            listener = clientguards.listen(host.strip("[]"), int(port))
            await web.SockSite(runner, listener).start()
        except OSError as error:
            raise errors.ListenError(f"cannot listen on {address}: {error}") from error
        self._runner = runner
        self._guard.start()

    async def close(self) -> None:
        """Stop listening and close idle connections, others after their responses."""
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()
            self._guard.stop()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if isinstance(request.protocol, _Protocol):
            request.protocol.begin(request)
        try:
            return await self._handler(request)
        except web.HTTPException as error:
            return self._reject(request, error.status, error.reason)
        except web.RequestPayloadError as error:
            return self._reject(request, 400, str(error))
        except Exception:
            # An error in one request ends neither the process nor other requests on the
            # same connection.
            _log.exception("request failed", method=request.method, path=request.path)
            return answer_json(500)

    def _reject(
        self, request: web.BaseRequest, status: int, reason: str
    ) -> web.Response:
        self._rejections.record("body not read", path=request.path, reason=reason)
        return web.Response(status=status, text=reason)


class _Server(web.Server):
    """Server whose connections are accounted for.

    Args:
        handler: Called for each request.
        guard: Guard of the process.
        options: Options of aiohttp.
    """

    def __init__(
        self, handler: Handler, guard: clientguards.ClientGuard, **options: Any
    ) -> None:
        super().__init__(handler, **options)
        self.guard = guard
        self._options = {
            key: value
            for key, value in options.items()
            if key != "handler_cancellation"
        }

    def __call__(self) -> web.RequestHandler:
        loop = asyncio.get_running_loop()
        return _Protocol(self, self.guard, loop=loop, **self._options)


class _Protocol(web.RequestHandler):
    """Connection that accounts for what it receives before it is parsed.

    aiohttp has no hook for the end of a head and of a request, so its count of requests
    and its writing of responses are observed.

    Args:
        server: Server of the connection.
        guard: Guard of the process.
        options: Options of aiohttp.
    """

    def __init__(
        self, server: web.Server, guard: clientguards.ClientGuard, **options: Any
    ) -> None:
        super().__init__(server, **options)
        self._guard = guard
        self._client: clientguards.Connection | None = None
        self._content: streams.StreamReader | None = None
        self._is_chunked = False
        self._accounted_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Account for the connection."""
        super().connection_made(transport)
        self._client = self._guard.open(self._refuse)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection held."""
        if self._client is not None:
            self._client.close()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Note that responses wait for the client."""
        super().pause_writing()
        if self._client is not None and self.transport is not None:
            self._client.block(self.transport.get_write_buffer_size)

    def resume_writing(self) -> None:
        """Note that the client has read what waited."""
        super().resume_writing()
        if self._client is not None:
            self._client.unblock()

    def data_received(self, data: bytes) -> None:
        """Account for received bytes and parse them if the connection stays open."""
        client = self._client
        if client is None:
            super().data_received(data)
            return
        if not data:
            # The parser goes on with bytes that were accounted for.
            if client.is_open:
                super().data_received(data)
                self._count_decoded(client)
                self._note_end(client)
            return
        if not self._count_overhead(client, data) or not client.receive(len(data)):
            return
        known = self._request_count
        super().data_received(data)
        self._accounted_bytes += len(data)
        if self._request_count != known:
            client.begin_body()
        self._count_decoded(client)
        self._note_end(client)

    def begin(self, request: web.BaseRequest) -> None:
        """Note that a handler has begun with a request.

        Args:
            request: Request, whose body may not have arrived.
        """
        if self._client is None:
            return
        if self._client.is_discarding:
            self._client.finish()
        self._client.begin_body()
        self._content = request.content
        self._count_decoded(self._client)
        encoding = request.headers.get("Transfer-Encoding", "")
        self._is_chunked = "chunked" in encoding.lower()
        self._note_end(self._client)

    def reserve(self, size_bytes: int) -> bool:
        """Hold more bytes for the request that is handled.

        Args:
            size_bytes: Bytes that it becomes once it is decoded.
        """
        return self._client is None or self._client.reserve(size_bytes)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response and release what its request held."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._accounted_bytes = 0
            if self._client is not None:
                if self._content is None or self._content.is_eof():
                    self._content = None
                    self._client.finish()
                else:
                    self._client.discard()

    def _count_decoded(self, client: clientguards.Connection) -> None:
        """Account for a compressed body by its size, which may be a thousand times more."""
        if self._content is None or client.stage is not intake.Stage.BODY:
            return
        grown_bytes = self._content.total_bytes - self._accounted_bytes
        if grown_bytes > 0:
            self._accounted_bytes += grown_bytes
            client.receive(grown_bytes)

    def _note_end(self, client: clientguards.Connection) -> None:
        content = self._content
        if content is None or not content.is_eof():
            return
        match client.stage:
            case intake.Stage.BODY:
                client.complete()
            case intake.Stage.DISCARDED:
                self._content = None
                client.finish()

    def _count_overhead(self, client: clientguards.Connection, data: bytes) -> bool:
        """Account for the framing of chunks before it is parsed.

        Line ends are counted, as parsing even one read of small chunks takes tens of ms.
        Those within a body count as well; only several requests with thousands of them
        reach the limit.
        """
        if client.stage in (intake.Stage.IDLE, intake.Stage.HEAD):
            self._is_chunked = b"chunked" in data.lower()
        if not self._is_chunked:
            return True
        line_ends = data.count(b"\r\n")
        return client.add_overhead(line_ends * CHUNK_FRAMING_BYTES // 2)

    def _refuse(self, response: bytes) -> None:
        """Close the connection, after a response to a request that was not read."""
        if self.transport is not None:
            clientguards.refuse(self.transport, response)


class _RejectionHandler(logging.Handler):
    """Passes what aiohttp logs about a connection to a bounded log.

    Args:
        log: Log of the server.
    """

    def __init__(self, log: rejections.RejectionLog) -> None:
        super().__init__()
        self._rejections = log

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record; a malformed request without the trace of aiohttp's functions.

        Args:
            record: Record of aiohttp.
        """
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, (http.HttpProcessingError, web.RequestPayloadError)):
            reason = f"{type(error).__name__}: {error}"
            self._rejections.record("request not read", reason=reason)
            return
        _log.error("connection failed", exc_info=error, reason=record.getMessage())


def reserve(request: web.BaseRequest, size_bytes: int) -> bool:
    """Return whether a request may become as large as it is once decoded.

    Args:
        request: Request that was read.
        size_bytes: Bytes that it becomes.
    """
    protocol = request.protocol
    return not isinstance(protocol, _Protocol) or protocol.reserve(size_bytes)


def build_guard(memory_mb: int = 0, max_fds: int = 0) -> clientguards.ClientGuard:
    """Return a guard of the clients of a process.

    Args:
        memory_mb: Memory of the host in MB; 0 if it is not known.
        max_fds: Descriptors of the process; 0 for those that the system allows.
    """
    allowed_fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed_fds == resource.RLIM_INFINITY:
        allowed_fds = MAX_FDS
    return clientguards.ClientGuard(
        limits.derive_limits(memory_mb or DEFAULT_MEMORY_MB, max_fds or allowed_fds)
    )


def _build_logger(log: rejections.RejectionLog) -> logging.Logger:
    """Return a logger that is none of the root logger's, which writes to stderr."""
    logger = logging.Logger(__name__)
    logger.addHandler(_RejectionHandler(log))
    return logger


def answer_json(status: int, body: bytes = b"{}") -> web.Response:
    """Return a response with a JSON body.

    Args:
        status: HTTP status.
        body: Encoded body.
    """
    return web.Response(status=status, body=body, content_type="application/json")
