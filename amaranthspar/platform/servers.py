"""HTTP servers of the platform adapter."""

import logging
from collections.abc import Awaitable, Callable

import structlog
from aiohttp import http, web

from amaranthspar import errors, rejections

MAX_LINE_BYTES = 16_384
"""Largest size of the request line and of each header field."""
KEEP_ALIVE_S = 75
"""Time for which an idle connection is kept open."""
SHUTDOWN_MS = 200
"""Default time for running handlers to finish when a server closes."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_log = structlog.get_logger()


class Server:
    """One HTTP server.

    Args:
        handler: Called for each request; returns the response.
        shutdown_ms: Time for running handlers to finish when the server closes, in ms.
    """

    def __init__(self, handler: Handler, shutdown_ms: int = SHUTDOWN_MS) -> None:
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
        server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            logger=_build_logger(self._rejections),
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            keepalive_timeout=KEEP_ALIVE_S,
        )
        self._runner = web.ServerRunner(
            server, shutdown_timeout=self._shutdown_ms / 1000
        )
        await self._runner.setup()
        try:
            await web.TCPSite(self._runner, host, int(port)).start()
        except OSError as error:
            raise errors.ListenError(f"cannot listen on {address}: {error}") from error

    async def close(self) -> None:
        """Stop listening and close idle connections, others after their responses."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
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
