"""HTTP servers of the platform adapter."""

from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web

from amaranthspar import errors

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
            return web.Response(status=error.status, text=error.reason)
        except Exception:
            # An error in one request ends neither the process nor other requests on the
            # same connection.
            _log.exception("request failed", method=request.method, path=request.path)
            return answer_json(500)


def answer_json(status: int, body: bytes = b"{}") -> web.Response:
    """Return a response with a JSON body.

    Args:
        status: HTTP status.
        body: Encoded body.
    """
    return web.Response(status=status, body=body, content_type="application/json")
