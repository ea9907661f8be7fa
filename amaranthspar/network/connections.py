"""TCP connections of links: frames with a length prefix over asyncio transports.

A connection carries frames one way only, from the process that dialled it.
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

from amaranthspar import errors

FRAME_BYTES = 4 * 1024 * 1024
"""Largest batch of small messages in one frame; bounds what one read hands over."""
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
"""Largest single message: a snapshot of the registry at the size of two years."""
MAX_FRAME_BYTES = FRAME_BYTES + MAX_MESSAGE_BYTES
"""Largest frame that a receiver accepts."""
BUFFER_FRAMES = 128
"""Frames kept while a connection is being made."""
BUFFER_BYTES = 1024 * 1024
"""Bytes that a transport may hold before a sender has to wait."""
RECONNECT_MIN_MS = 50
"""First pause before a connection is tried again."""
RECONNECT_MAX_MS = 500
"""Longest pause before a connection is tried again."""
CONNECT_TIMEOUT_MS = 1_000
"""Time for a TCP and TLS handshake, above one retransmission of the first packet."""
UNSENT_TIMEOUT_MS = 2_000
"""Time after which unacknowledged bytes end a connection (TCP_USER_TIMEOUT)."""
BACKLOG_CONNECTIONS = 512
"""Connections that may wait to be accepted when every peer dials at once."""

_LENGTH = struct.Struct(">I")

Deliver = Callable[[bytes, str | None], None]
"""Called with each frame received and the name in the sender's certificate."""


def parse_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of an address.

    Args:
        address: Address as in ``127.0.0.1:7000``.

    Raises:
        errors.LinkError: The address has another form.
    """
    host, _, port = address.rpartition(":")
    try:
        return str(ipaddress.ip_address(host)), int(port)
    except ValueError as error:
        raise errors.LinkError(f"{address!r} is no IP number with a port") from error


class Dialled:
    """Connection to one peer that is dialled again whenever it is lost.

    Args:
        address: Address at which the peer listens.
        context: TLS settings; nothing for a plain connection.

    Raises:
        errors.LinkError: The address has a wrong form.
    """

    def __init__(self, address: str, context: ssl.SSLContext | None) -> None:
        self._host, self._port = parse_address(address)
        self._context = context
        self._buffer: collections.deque[bytes] = collections.deque()
        self._transport: asyncio.Transport | None = None
        self._is_paused = False
        self._lost = asyncio.Event()
        loop = asyncio.get_running_loop()
        self._dialling = loop.create_task(self._dial_forever())

    @property
    def is_connected(self) -> bool:
        """Whether the handshake of the connection is done and it is not lost."""
        return self._transport is not None

    def send(self, frame: bytes) -> bool:
        """Send a frame, or keep it until the connection is made.

        Args:
            frame: Encoded frame.

        Returns:
            Whether there was room for it.
        """
        transport = self._transport
        if transport is None:
            if len(self._buffer) >= BUFFER_FRAMES:
                return False
            self._buffer.append(frame)
            return True
        if self._is_paused:
            return False
        self._write(transport, frame)
        return True

    def close(self) -> None:
        """End the connection once what was handed to it is sent."""
        self._dialling.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def abort(self) -> None:
        """End the connection at once; frames that are not sent yet are lost."""
        transport = self._transport
        self.close()
        if transport is not None:
            transport.abort()

    async def _dial_forever(self) -> None:
        loop = asyncio.get_running_loop()
        pause_ms = RECONNECT_MIN_MS
        while True:
            self._lost.clear()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                    await loop.create_connection(
                        lambda: _Sender(self),
                        self._host,
                        self._port,
                        ssl=self._context,
                        server_hostname=self._host if self._context else None,
                    )
            except (OSError, TimeoutError):
                # An absent peer is an ordinary state, which heartbeats report.
                await asyncio.sleep(pause_ms / 1000)
                pause_ms = min(2 * pause_ms, RECONNECT_MAX_MS)
                continue
            pause_ms = RECONNECT_MIN_MS
            await self._lost.wait()
            await asyncio.sleep(pause_ms / 1000)

    def note_made(self, transport: asyncio.Transport) -> None:
        """Take the transport of a new connection.

        Args:
            transport: Transport after the handshake.
        """
        transport.set_write_buffer_limits(BUFFER_BYTES)
        limit_silence(transport)
        self._transport = transport
        self._is_paused = False
        while self._buffer:
            self._write(transport, self._buffer.popleft())

    def note_lost(self, transport: asyncio.Transport | None) -> None:
        """Dial again after a connection has ended.

        Args:
            transport: Transport that has ended.
        """
        if self._transport is transport:
            self._transport = None
            self._lost.set()

    def note_pause(self, is_paused: bool) -> None:
        """Note whether the transport is full.

        Args:
            is_paused: Whether no more may be written for now.
        """
        self._is_paused = is_paused

    @staticmethod
    def _write(transport: asyncio.Transport, frame: bytes) -> None:
        transport.write(_LENGTH.pack(len(frame)) + frame)


class _Sender(asyncio.Protocol):
    """Protocol of the dialling side, which receives nothing."""

    def __init__(self, dialled: Dialled) -> None:
        self._dialled = dialled
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The TLS transport of uvloop is no subclass of asyncio.Transport.
        self._transport = typing.cast("asyncio.Transport", transport)
        self._dialled.note_made(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._dialled.note_lost(self._transport)

    def pause_writing(self) -> None:
        self._dialled.note_pause(True)

    def resume_writing(self) -> None:
        self._dialled.note_pause(False)


class Listener:
    """Accepts the connections of peers.

    Args:
        deliver: Called with each frame.
        end_burst: Called once all frames of one read are delivered.
    """

    def __init__(self, deliver: Deliver, end_burst: Callable[[], None]) -> None:
        self.deliver = deliver
        self.end_burst = end_burst
        self.receivers: set[Receiver] = set()
        self._server: asyncio.AbstractServer | None = None

    async def open(self, address: str, context: ssl.SSLContext | None) -> None:
        """Listen.

        Args:
            address: Address to listen on.
            context: TLS settings; nothing for plain connections.

        Raises:
            errors.LinkError: The address is in use or not valid.
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
        """End every connection and stop listening."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for receiver in list(self.receivers):
            receiver.abort()
        self.receivers.clear()


class Receiver(asyncio.Protocol):
    """Protocol of the accepting side, which cuts the bytes into frames.

    Args:
        listener: Listener that accepted the connection.
    """

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._data = bytearray()
        self._transport: asyncio.Transport | None = None
        self._peer_name: str | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the connection and the name in the peer's certificate."""
        self._transport = typing.cast("asyncio.Transport", transport)
        limit_silence(transport)
        if transport.get_extra_info("ssl_object") is not None:
            certificate = transport.get_extra_info("peercert") or {}
            self._peer_name = _read_common_name(certificate)
        self._listener.receivers.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._transport = None
        self._listener.receivers.discard(self)

    def data_received(self, data: bytes) -> None:
        """Deliver every frame that is whole."""
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
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None


def limit_silence(transport: asyncio.BaseTransport) -> None:
    """Have the kernel end a connection whose bytes stay unacknowledged.

    Args:
        transport: Transport of a connection.
    """
    found = transport.get_extra_info("socket")
    if found is None:
        return
    with contextlib.suppress(OSError):
        found.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        found.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNSENT_TIMEOUT_MS)


def _read_common_name(certificate: dict[str, object]) -> str:
    """Return the common name of a certificate, empty if it has none."""
    subject = certificate.get("subject", ())
    assert isinstance(subject, tuple)
    for parts in subject:
        for key, value in parts:
            if key == "commonName":
                return str(value)
    return ""
