"""HTTP server on Sanic that runs in the current event loop, without child processes."""

import itertools
import os
from collections.abc import Awaitable, Callable
from typing import Any

import sanic
from sanic import exceptions, response

from amaranthspar import errors

Handler = Callable[..., Awaitable[response.HTTPResponse]]

RESPONSE_TIMEOUT_SECONDS = 3700
KEEP_ALIVE_SECONDS = 120
MAX_DISCARDED_BYTES = 64 * 1024 * 1024
"""Largest excess of a body that is still read and discarded."""
_server_numbers = itertools.count(1)


class _Request(sanic.Request):
    """Request with a limited body size.

    A body that is too large is read to its end and discarded, so that a client that
    is still sending receives the error response instead of a connection reset.
    """

    async def receive_body(self) -> None:
        """Read the body.

        Raises:
            exceptions.PayloadTooLarge: The body exceeds the limit.
        """
        limit_bytes = self.app.ctx.max_body_bytes
        parts: list[bytes] = []
        size_bytes = 0
        stream: Any = self.stream
        async for part in stream:
            size_bytes += len(part)
            if size_bytes <= limit_bytes:
                parts.append(part)
            else:
                parts.clear()
        if size_bytes > limit_bytes:
            raise exceptions.PayloadTooLarge(f"the body exceeds {limit_bytes} bytes")
        self.body = b"".join(parts)


class HttpServer:
    """HTTP server of a process.

    Args:
        max_body_bytes: Largest accepted body in bytes.

    Attributes:
        app: Sanic application.
    """

    def __init__(self, max_body_bytes: int) -> None:
        name = f"amaranthspar-{next(_server_numbers)}"
        self.app: Any = sanic.Sanic(
            name, configure_logging=False, request_class=_Request
        )
        self.app.ctx.max_body_bytes = max_body_bytes
        self.app.config.MOTD = False
        self.app.config.TOUCHUP = False
        self.app.config.NOISY_EXCEPTIONS = False
        self.app.config.REQUEST_MAX_SIZE = max_body_bytes + MAX_DISCARDED_BYTES
        self.app.config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_SECONDS
        self.app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_SECONDS
        self._server: Any = None

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Add a route, named after its handler.

        Args:
            method: HTTP method.
            path: Path with Sanic's placeholders.
            handler: Coroutine function that returns the response.
        """
        name = handler.__name__.strip("_")
        self.app.add_route(handler, path, methods=[method], name=name, unquote=True)

    async def open(self, address: str) -> None:
        """Start to listen.

        Args:
            address: Address to listen on, as in ``127.0.0.1:8000``.

        Raises:
            errors.ListenError: The address cannot be listened on.
        """
        host, _, port = address.rpartition(":")
        try:
            self._server = await self.app.create_server(
                host.strip("[]"),
                int(port),
                return_asyncio_server=True,
                access_log=False,
            )
            await self._server.startup()
            await self._server.start_serving()
        except OSError as error:
            reason = os.strerror(error.errno or 0)
            raise errors.ListenError(f"cannot listen: {reason}") from error

    def stop_listening(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening and close the connections."""
        if self._server is None:
            return
        self._server.close()
        for connection in list(self._server.connections):
            connection.close()
        await self._server.wait_closed()
        self._server = None
