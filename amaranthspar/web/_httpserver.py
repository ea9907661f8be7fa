"""HTTP server on Sanic that runs in the current event loop, without child processes."""

import asyncio
import itertools
import os
from collections.abc import Awaitable, Callable
from typing import Any

import sanic
from sanic import exceptions, http, response
from sanic.server.protocols import http_protocol

from amaranthspar import errors
from amaranthspar.intake import limits
from amaranthspar.network import clientguards

Handler = Callable[..., Awaitable[response.HTTPResponse]]

RESPONSE_TIMEOUT_SECONDS = 3700
KEEP_ALIVE_SECONDS = 120
MAX_DISCARDED_BYTES = 64 * 1024 * 1024
"""Largest excess of a body that is still read and discarded."""
REQUEST_BUFFER_BYTES = 16 * 1024
"""Received bytes that are not parsed yet, after which a connection is not read on."""
BUDGET_BYTES = 128 * limits.MB
MAX_CONNECTIONS = 4096
PARTS_PER_TURN = 16
"""Parts of a body that are read before other connections have their turn."""
PART_OVERHEAD_BYTES = 5
"""Least framing of a chunk."""
MAX_OVERHEAD_BYTES = 1024 * 1024
"""Framing of chunks in excess of the rate; a chunk takes some 30 us, so that all of it
takes about 6 s."""
SHARED_OVERHEAD_BYTES = 64 * 1024
"""The same for several requests with small chunks: about 0.4 s."""
OVERHEAD_RATE = 16
"""Framing of chunks that is parsed continuously, in bytes per ms: about a tenth of a
core."""
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
        client = _find_client(self.stream)
        limit_bytes = self.app.ctx.max_body_bytes
        parts: list[bytes] = []
        size_bytes = 0
        stream: Any = self.stream
        async for part in stream:
            size_bytes += len(part)
            if size_bytes <= limit_bytes:
                parts.append(part)
            elif parts or not client.is_discarding:
                parts.clear()
                client.discard()
        if size_bytes > limit_bytes:
            raise exceptions.PayloadTooLarge(f"the body exceeds {limit_bytes} bytes")
        self.body = b"".join(parts)
        client.complete()


class _Http(http.Http):
    """Reader of the requests of one connection, which accounts for them."""

    __slots__ = ("_parts",)

    def init_for_request(self) -> None:
        """Release what the last request held."""
        super().init_for_request()  # type: ignore[no-untyped-call]
        self._parts = 0
        _find_client(self).finish()

    async def http1_request_header(self) -> None:
        """Receive a head; a request without a body is complete with it."""
        await super().http1_request_header()  # type: ignore[no-untyped-call]
        client = _find_client(self)
        if not client.is_open:
            # It was refused as not run after its head had arrived.
            raise exceptions.BadRequest("the connection was closed")
        if not self.request_body:
            client.complete()

    async def read(self) -> bytes | None:
        """Read a part of a body, and let others read from time to time."""
        client = _find_client(self)
        if not client.is_open:
            raise exceptions.BadRequest("the connection was closed")
        framing: Any = self.request_body
        is_chunk = framing == "chunked" and not self.request_bytes_left
        client.begin_body()
        data: bytes | None = await super().read()
        if is_chunk and not client.add_overhead(PART_OVERHEAD_BYTES):
            raise exceptions.BadRequest("the chunks are too small")
        self._parts += 1
        if self._parts % PARTS_PER_TURN == 0:
            await asyncio.sleep(0)
        return data

    async def error_response(self, exception: Exception) -> None:
        """Send the response to an error, unless the connection was dropped."""
        if _find_client(self).is_open:
            await super().error_response(exception)


class _Protocol(http_protocol.HttpProtocol):
    """Connection that accounts for what it receives before it is parsed."""

    __slots__ = ("client",)
    HTTP_CLASS = _Http

    def connection_made(self, transport: Any) -> None:
        """Account for the connection."""
        guard: clientguards.ClientGuard = self.app.ctx.guard
        super().connection_made(transport)  # type: ignore[no-untyped-call]
        self.client = guard.open(self._refuse)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection held."""
        self.client.close()
        super().connection_lost(exc)  # type: ignore[no-untyped-call]

    def pause_writing(self) -> None:
        """Note that responses wait for the client."""
        super().pause_writing()  # type: ignore[no-untyped-call]
        if self.transport is not None:
            self.client.block(self.transport.get_write_buffer_size)

    def resume_writing(self) -> None:
        """Note that the client has read what waited."""
        super().resume_writing()  # type: ignore[no-untyped-call]
        self.client.unblock()

    def data_received(self, data: bytes) -> None:
        """Account for received bytes and parse them if the connection stays open."""
        if self.client.receive(len(data)):
            super().data_received(data)

    def _refuse(self, answer: bytes) -> None:
        """Close the connection, after a response to a request that was not read."""
        if self.transport is not None:
            clientguards.refuse(self.transport, answer)


def _find_client(stream: Any) -> clientguards.Connection:
    client: clientguards.Connection = stream.protocol.client
    return client


class HttpServer:
    """HTTP server of a process.

    Args:
        max_body_bytes: Largest accepted body in bytes.
        budget_bytes: Bytes of all requests that are being read or handled; at least two
            of the largest bodies.
        max_connections: Largest number of open connections.

    Attributes:
        app: Sanic application.
        guard: Guard of the clients.
    """

    def __init__(
        self,
        max_body_bytes: int,
        budget_bytes: int = BUDGET_BYTES,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.guard = clientguards.ClientGuard(
            limits.Limits(
                max(budget_bytes, 2 * max_body_bytes),
                max_connections,
                max_overhead_bytes=MAX_OVERHEAD_BYTES,
                shared_overhead_bytes=SHARED_OVERHEAD_BYTES,
                overhead_rate=OVERHEAD_RATE,
            )
        )
        name = f"amaranthspar-{next(_server_numbers)}"
        self.app: Any = sanic.Sanic(
            name, configure_logging=False, request_class=_Request
        )
        self.app.ctx.max_body_bytes = max_body_bytes
        self.app.ctx.guard = self.guard
        self.app.config.REQUEST_BUFFER_SIZE = REQUEST_BUFFER_BYTES
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
                sock=clientguards.listen(host.strip("[]"), int(port)),
                protocol=_Protocol,
                return_asyncio_server=True,
                access_log=False,
            )
            await self._server.startup()
            await self._server.start_serving()
        except OSError as error:
            reason = os.strerror(error.errno or 0)
            raise errors.ListenError(f"cannot listen: {reason}") from error
        self.guard.start()

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
        self.guard.stop()
        self._server = None
