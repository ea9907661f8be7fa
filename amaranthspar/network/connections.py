"""TCP connections of links: length-prefixed frames over asyncio transports.

A connection carries frames in one direction only, from the process that opened it.
"""

import asyncio
import collections
import contextlib
import ipaddress
import socket
import ssl
import struct
import typing
from collections.abc import Callable

from amaranthspar import addresses, errors

FRAME_BYTES = 4 * 1024 * 1024
"""Largest batch of small messages in one frame; limits what one read delivers."""
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
"""Largest single message: a registry snapshot of the size expected after two years."""
MAX_FRAME_BYTES = FRAME_BYTES + MAX_MESSAGE_BYTES
"""Largest frame that the receiving side accepts."""
MAX_BUFFERED_FRAMES = 128
"""Largest number of frames buffered while a connection is being established."""
WRITE_BUFFER_BYTES = 1024 * 1024
"""Bytes that a transport may buffer before a sender has to wait."""
RECONNECT_MIN_MS = 50
"""First delay before another attempt to connect; doubled after each failure."""
RECONNECT_MAX_MS = 500
"""Longest delay before another attempt to connect."""
CONNECT_TIMEOUT_MS = 1_000
"""Timeout of the TCP/TLS handshake, above one retransmission of the first packet."""
TCP_USER_TIMEOUT_MS = 2_000
"""Time after which the kernel closes a connection with unacknowledged data."""
BACKLOG_CONNECTIONS = 512
"""Connections that may wait to be accepted when all peers connect at once."""

_LENGTH = struct.Struct(">I")

RawFrameHandler = Callable[[bytes, str | None], None]
"""Called with each encoded frame and the common name in the sender's certificate.

The name is empty if the certificate has none, and ``None`` without TLS.
"""


def parse_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an address.

    Args:
        address: Address as in ``127.0.0.1:7000``.

    Raises:
        errors.LinkError: The address does not have this form.
    """
    host, _, port = address.rpartition(":")
    try:
        return str(ipaddress.ip_address(host)), addresses.parse_port(port)
    except (ValueError, errors.SchemaError) as error:
        raise errors.LinkError(
            f"{address!r} is not an IP address with a port"
        ) from error


class OutgoingConnection:
    """Connection to one peer that is re-established whenever it is lost.

    Args:
        address: Address at which the peer listens.
        context: TLS context; ``None`` for a connection without TLS.

    Raises:
        errors.LinkError: The address is malformed.
    """

    def __init__(self, address: str, context: ssl.SSLContext | None) -> None:
        self._host, self._port = parse_address(address)
        self._context = context
        self._buffer: collections.deque[bytes] = collections.deque()
        self._transport: asyncio.Transport | None = None
        self._is_paused = False
        self._disconnected = asyncio.Event()
        loop = asyncio.get_running_loop()
        self._connect_task = loop.create_task(self._keep_connected())

    @property
    def is_connected(self) -> bool:
        """Whether the connection is established."""
        return self._transport is not None

    def send(self, frame: bytes) -> bool:
        """Send a frame, or buffer it until the connection is established.

        Args:
            frame: Encoded frame.

        Returns:
            Whether the frame was accepted; false if the buffer is full.
        """
        transport = self._transport
        if transport is None:
            if len(self._buffer) >= MAX_BUFFERED_FRAMES:
                return False
            self._buffer.append(frame)
            return True
        if self._is_paused:
            return False
        self._write(transport, frame)
        return True

    def close(self) -> None:
        """Close the connection after the data written to it has been sent."""
        self._connect_task.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def abort(self) -> None:
        """Close the connection immediately; unsent frames are lost."""
        transport = self._transport
        self.close()
        if transport is not None:
            transport.abort()

    async def _keep_connected(self) -> None:
        loop = asyncio.get_running_loop()
        pause_ms = RECONNECT_MIN_MS
        while True:
            self._disconnected.clear()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                    await loop.create_connection(
                        lambda: _Sender(self),
                        self._host,
                        self._port,
                        ssl=self._context,
                        server_hostname=self._host if self._context else None,
                    )
            except (OSError, TimeoutError, UnicodeError):
                # An absent peer is a normal condition, which heartbeats detect.
                await asyncio.sleep(pause_ms / 1000)
                pause_ms = min(2 * pause_ms, RECONNECT_MAX_MS)
                continue
            pause_ms = RECONNECT_MIN_MS
            await self._disconnected.wait()
            await asyncio.sleep(pause_ms / 1000)

    def note_connected(self, transport: asyncio.Transport) -> None:
        """Use the transport of a new connection and send the buffered frames.

        Args:
            transport: Transport after the handshake.
        """
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        configure_socket(transport)
        self._transport = transport
        self._is_paused = False
        while self._buffer:
            self._write(transport, self._buffer.popleft())

    def note_disconnected(self, transport: asyncio.Transport | None) -> None:
        """Start to reconnect after a connection has been lost.

        Args:
            transport: Transport of the lost connection.
        """
        if self._transport is transport:
            self._transport = None
            self._disconnected.set()

    def set_paused(self, is_paused: bool) -> None:
        """Record whether the write buffer of the transport is full.

        Args:
            is_paused: Whether no more frames may be written at present.
        """
        self._is_paused = is_paused

    @staticmethod
    def _write(transport: asyncio.Transport, frame: bytes) -> None:
        transport.write(_LENGTH.pack(len(frame)) + frame)


class _Sender(asyncio.Protocol):
    """Protocol of the connecting side, which receives nothing."""

    def __init__(self, connection: OutgoingConnection) -> None:
        self._connection = connection
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The TLS transport of uvloop is no subclass of asyncio.Transport.
        self._transport = typing.cast("asyncio.Transport", transport)
        self._connection.note_connected(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection.note_disconnected(self._transport)

    def pause_writing(self) -> None:
        self._connection.set_paused(True)

    def resume_writing(self) -> None:
        self._connection.set_paused(False)


class Listener:
    """Accepts the connections of peers.

    Args:
        deliver: Called with each frame.
        end_burst: Called after all frames of one socket read have been delivered.
    """

    def __init__(self, deliver: RawFrameHandler, end_burst: Callable[[], None]) -> None:
        self.deliver = deliver
        self.end_burst = end_burst
        self.receivers: set[Receiver] = set()
        self._server: asyncio.AbstractServer | None = None

    async def open(self, address: str, context: ssl.SSLContext | None) -> None:
        """Start listening.

        Args:
            address: Address to listen on.
            context: TLS context; ``None`` for connections without TLS.

        Raises:
            errors.LinkError: The address is in use or invalid.
        """
        host, port = parse_address(address)
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: Receiver(self),
                host,
                port,
                ssl=context,
                backlog=BACKLOG_CONNECTIONS,
            )
        except OSError as error:
            raise errors.LinkError(f"cannot listen on {address}: {error}") from error

    def close(self) -> None:
        """Stop listening and abort every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for receiver in list(self.receivers):
            receiver.abort()
        self.receivers.clear()


class Receiver(asyncio.Protocol):
    """Protocol of the accepting side, which splits the received data into frames.

    Args:
        listener: Listener that accepted the connection.
    """

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._data = bytearray()
        self._transport: asyncio.Transport | None = None
        self._peer_name: str | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and read the name in the peer's certificate."""
        self._transport = typing.cast("asyncio.Transport", transport)
        configure_socket(transport)
        if transport.get_extra_info("ssl_object") is not None:
            certificate = transport.get_extra_info("peercert") or {}
            self._peer_name = _read_common_name(certificate)
        self._listener.receivers.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the listener."""
        self._transport = None
        self._listener.receivers.discard(self)

    def data_received(self, data: bytes) -> None:
        """Deliver every complete frame; abort the connection on an oversized one."""
        self._data += data
        start = 0
        while len(self._data) - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._data, start)
            if size > MAX_FRAME_BYTES:
                self.abort()
                return
            end = start + _LENGTH.size + size
            if end > len(self._data):
                break
            frame = bytes(memoryview(self._data)[start + _LENGTH.size : end])
            start = end
            self._listener.deliver(frame, self._peer_name)
            if self._transport is None:
                return
        del self._data[:start]
        if start:
            self._listener.end_burst()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None


def configure_socket(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm and limit the time for unacknowledged data.

    Args:
        transport: Transport of a connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )


def _read_common_name(certificate: dict[str, object]) -> str:
    """Return the common name of a certificate, or an empty string."""
    subject = certificate.get("subject", ())
    assert isinstance(subject, tuple)
    for parts in subject:
        for key, value in parts:
            if key == "commonName":
                return str(value)
    return ""
