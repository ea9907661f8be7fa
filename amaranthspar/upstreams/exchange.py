"""HTTP exchanges with an upstream on connections of aiohttp's pool.

The connection pool, the writer of request heads and the parser are aiohttp's. The
request methods of its client session are not used: cookies, redirects, proxies,
middlewares and the response object cost as much processor time as the rest of a
call, and none of them is needed.
"""

import asyncio
import socket
import weakref
from typing import TYPE_CHECKING

import aiohttp
import attrs
import multidict
import yarl
from aiohttp import client_proto, http

from amaranthspar import addresses

if TYPE_CHECKING:
    from aiohttp import tracing

MAX_BODY_BYTES = 8 * 1024 * 1024
KEEP_ALIVE_S = 1
CONNECT_TIMEOUT_MS = 250

_SWITCHING_PROTOCOLS = 101


class BodyTooLargeError(aiohttp.ClientError):
    """The body of an upstream's response exceeds the largest size of a result."""


@attrs.frozen(slots=True)
class Response:
    """Complete response of an upstream.

    Attributes:
        status: HTTP status.
        content_type: Content type; empty if the response has none.
        body: Complete body.
    """

    status: int
    content_type: str
    body: bytes


class _Connector(aiohttp.BaseConnector):
    """Connector to an IP address that may be cancelled at any moment.

    A call of `create_connection` with a connected socket must not be cancelled on
    uvloop: both the transport and the socket object then close the descriptor, which
    may belong to another connection by the second time.

    Args:
        address: Address of the server.
        limit: Largest number of open connections.
        keepalive_timeout: Time for which an idle connection is kept open in s.
    """

    def __init__(self, address: str, limit: int, keepalive_timeout: int) -> None:
        super().__init__(limit=limit, keepalive_timeout=keepalive_timeout)
        self._address = addresses.parse_address(address)
        is_v6 = ":" in self._address.host
        self._family = socket.AF_INET6 if is_v6 else socket.AF_INET

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: "list[tracing.Trace]",
        timeout: aiohttp.ClientTimeout,
    ) -> client_proto.ResponseHandler:
        connected = socket.socket(self._family, socket.SOCK_STREAM)
        try:
            connected.setblocking(False)
            target = (self._address.host, self._address.port)
            async with asyncio.timeout(timeout.sock_connect):
                await self._loop.sock_connect(connected, target)
        except BaseException as error:
            connected.close()
            if isinstance(error, OSError) and not isinstance(error, TimeoutError):
                raise aiohttp.ClientConnectorError(req.connection_key, error) from error
            raise
        opening = self._loop.create_task(
            self._loop.create_connection(self._factory, sock=connected)
        )
        try:
            _, protocol = await asyncio.shield(opening)
        except asyncio.CancelledError:
            opening.add_done_callback(_abort_transport)
            raise
        return protocol


class Pool:
    """Pool of connections to one HTTP server.

    Args:
        address: Address of the server.
        connections: Largest number of open connections.
        keep_alive_s: Time for which an idle connection is kept open in s.
    """

    def __init__(
        self, address: str, connections: int, keep_alive_s: int = KEEP_ALIVE_S
    ) -> None:
        self._address = address
        self._connector = _Connector(address, connections, keep_alive_s)
        self._session = aiohttp.ClientSession(
            connector=self._connector, cookie_jar=aiohttp.DummyCookieJar()
        )
        # The pool reads only the destination of this request.
        self._request = aiohttp.ClientRequest(
            "POST",
            yarl.URL(f"http://{address}"),
            loop=asyncio.get_running_loop(),
            session=self._session,
        )
        self._timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_MS / 1000)
        self._owners: weakref.WeakKeyDictionary[client_proto.ResponseHandler, str] = (
            weakref.WeakKeyDictionary()
        )

    def find_owner(self, connection: aiohttp.connector.Connection) -> str | None:
        """Return the name of the process at the other end; None if it is not known.

        A connection ends with the process that accepted it.

        Args:
            connection: Connection of this pool.
        """
        protocol = connection.protocol
        return None if protocol is None else self._owners.get(protocol)

    def record_owner(
        self, connection: aiohttp.connector.Connection, owner: str
    ) -> None:
        """Record the process at the other end of a connection.

        Args:
            connection: Connection of this pool.
            owner: Name of the process, as its answer states.
        """
        if connection.protocol is not None:
            self._owners[connection.protocol] = owner

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def connect(self) -> aiohttp.connector.Connection:
        """Return a connection for exclusive use until it is released.

        Raises:
            aiohttp.ClientConnectorError: The server refuses connections.
            aiohttp.ConnectionTimeoutError: The server does not accept the connection
                in time.
        """
        try:
            return await self._connector.connect(self._request, [], self._timeout)
        except TimeoutError as error:
            raise aiohttp.ConnectionTimeoutError(self._address) from error

    def build_headers(self, body: bytes) -> multidict.CIMultiDict[str]:
        """Return the headers that every request has.

        Args:
            body: Body of the request.
        """
        return multidict.CIMultiDict(
            {
                "Host": self._address,
                "Accept": "*/*",
                "Accept-Encoding": "identity",
                "Content-Length": str(len(body)),
            }
        )


async def send_request(
    connection: aiohttp.connector.Connection,
    path: str,
    headers: multidict.CIMultiDict[str],
    body: bytes,
) -> None:
    """Send a POST request.

    Args:
        connection: Connection without an exchange in progress.
        path: Path on the server, percent-encoded.
        headers: All headers.
        body: Body.

    Raises:
        ValueError: A header contains a control character; nothing was sent.
        aiohttp.ClientError: The connection is closed.
    """
    protocol = connection.protocol
    if protocol is None:
        raise aiohttp.ClientConnectionResetError("connection released")
    protocol.set_response_params(read_until_eof=True, auto_decompress=False)
    writer = http.StreamWriter(protocol, asyncio.get_running_loop())
    await writer.write_headers(f"POST {path} HTTP/1.1", headers)
    # This does not wait until the body is sent, because the upstream may respond
    # before it has read the whole body.
    await writer.write(body, drain=False)


async def read_response(connection: aiohttp.connector.Connection) -> Response:
    """Return the complete response to the last request.

    Interim responses are skipped.

    Args:
        connection: Connection on which the request was sent.

    Raises:
        BodyTooLargeError: The body exceeds the largest size of a result.
        aiohttp.ClientError: The response is malformed or incomplete.
    """
    protocol = connection.protocol
    if protocol is None:
        raise aiohttp.ClientConnectionResetError("connection released")
    try:
        message, payload = await protocol.read()
        while 100 <= message.code < 200 and message.code != _SWITCHING_PROTOCOLS:
            message, payload = await protocol.read()
    except http.HttpProcessingError as error:
        raise aiohttp.ClientPayloadError(error.message) from error
    body = await _read_body(payload)
    content_type = message.headers.get("Content-Type", "")
    return Response(message.code, content_type, body)


def release_connection(
    connection: aiohttp.connector.Connection, reusable: bool
) -> None:
    """Return a connection to the pool, or close it and discard unsent data.

    Args:
        connection: Connection of the exchange.
        reusable: Whether the response was complete and the connection may be used
            for another exchange, unless data is still unsent.
    """
    transport = connection.transport
    if transport is None or (reusable and not transport.get_write_buffer_size()):
        connection.release()
        return
    transport.abort()
    connection.close()


def _abort_transport(
    opening: "asyncio.Task[tuple[asyncio.Transport, client_proto.ResponseHandler]]",
) -> None:
    """Close a connection whose caller has gone."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[0].abort()


async def _read_body(payload: aiohttp.StreamReader) -> bytes:
    first = await payload.readany()
    if payload.at_eof() and len(first) <= MAX_BODY_BYTES:
        return first
    body = bytearray(first)
    while len(body) <= MAX_BODY_BYTES:
        chunk = await payload.readany()
        if not chunk:
            return bytes(body)
        body += chunk
    raise BodyTooLargeError(f"body of more than {MAX_BODY_BYTES} bytes")
