"""Links between processes over TCP.

Each process listens and opens one connection of its own to each peer that it sends
to. If a peer leaves frames unacknowledged for three heartbeat intervals, the connection
to it is replaced by a new one. If the connection is not even established, the link
becomes idle until it is used again, because a connection that is attempted in vain
costs more than one in use.
"""

import asyncio
import collections
from collections.abc import Callable

import attrs
import msgspec

from amaranthspar import clock, errors, rejections
from amaranthspar.network import connections, encryption, heartbeats
from amaranthspar.schema import codec, linkmessages, options

QUEUE_BYTES = 16 * 1024 * 1024
FRAME_BYTES = connections.FRAME_BYTES
MAX_MESSAGE_BYTES = connections.MAX_MESSAGE_BYTES
MAX_FRAME_BYTES = connections.MAX_FRAME_BYTES
FLUSH_RETRY_MS = 5

FrameHandler = Callable[[codec.Frame], None]
"""Called with each received frame that contains messages."""


@attrs.define(slots=True)
class _Peer:
    """Link to one peer with its send queue; an idle link has no connection."""

    address: str
    connection: connections.OutgoingConnection | None
    health: heartbeats.Heartbeats
    queue: collections.deque[msgspec.Raw] = attrs.field(factory=collections.deque)
    queue_bytes: int = 0
    flushing: bool = False


class Links:
    """All links of one process.

    Args:
        name: Process name, sent with each frame.
        incarnation: Incarnation of this process.
        address: Address to listen on, as in ``127.0.0.1:7000``.
        receive: Called with each received frame that contains messages.
        options: Section ``links`` of the settings.

    Attributes:
        name: Process name.
        incarnation: Incarnation of this process.
        address: Address that is sent to peers with each frame.
        controllers: Addresses of controllers, to which sent messages are counted
            separately.
        counts: Counters of the links.
        end_burst: Called after all frames of one socket read have been handled.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        address: str,
        receive: FrameHandler,
        options: options.LinkOptions = options.LinkOptions(),  # noqa: B008
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.controllers: frozenset[str] = frozenset()
        self.counts: collections.Counter[str] = collections.Counter()
        self.end_burst: Callable[[], None] = _do_nothing
        self._receive = receive
        self._heartbeat_ms = options.heartbeat_ms
        self._intervals_ms: dict[str, int] = {}
        self._encryption = encryption.Encryption(options)
        self._peers: dict[str, _Peer] = {}
        self._clock = clock.Clock()
        self._rejections = rejections.RejectionLog()
        self._listener: connections.Listener | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Start listening and start the heartbeats.

        Raises:
            errors.LinkError: The address is in use or invalid, or the certificate
                cannot be used.
        """
        self._encryption.get_client_context()
        listener = connections.Listener(self._accept, self._end_burst)
        await listener.open(self.address, self._encryption.build_server_context())
        self._listener = listener
        loop = asyncio.get_running_loop()
        self._heartbeat_task = loop.create_task(self._check_heartbeats())

    def close(self) -> None:
        """Close every connection; messages that are still queued are lost."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for address in list(self._peers):
            self.disconnect(address)

    def send(self, address: str, message: codec.Message) -> None:
        """Queue a message; those queued in one turn of the event loop share a frame.

        A message that cannot be encoded, is too large or does not fit into the queue
        is dropped and counted; every protocol on links tolerates the loss of any
        message.

        Args:
            address: Address at which the peer listens.
            message: Message to send.
        """
        if self._listener is None:
            return
        peer = self._ensure_peer(address)
        if peer is None:
            return
        try:
            part = codec.encode_part(message)
        except errors.SchemaError as error:
            self.counts["links.messages.unencodable"] += 1
            self._rejections.record("message not sent", reason=str(error))
            return
        size = memoryview(part).nbytes
        if size > MAX_MESSAGE_BYTES:
            self.counts["links.messages.oversized"] += 1
            return
        if peer.queue and peer.queue_bytes + size > QUEUE_BYTES:
            self.counts["links.messages.dropped"] += 1
            return
        peer.health.note_use(self._clock.read_monotonic())
        peer.queue.append(part)
        peer.queue_bytes += size
        self._count_sent(address, type(message).__name__)
        if not peer.flushing:
            peer.flushing = True
            asyncio.get_running_loop().call_soon(self._flush, peer)

    def disconnect(self, address: str) -> None:
        """Close the link to a peer.

        Args:
            address: Address at which the peer listens.
        """
        peer = self._peers.pop(address, None)
        if peer is not None and peer.connection is not None:
            peer.connection.close()

    def set_heartbeat_interval(self, address: str, heartbeat_ms: int) -> None:
        """Set the heartbeat interval of the link to one peer.

        Args:
            address: Address at which the peer listens.
            heartbeat_ms: Heartbeat interval in ms; the interval in the settings applies
                if it is shorter.
        """
        interval_ms = min(heartbeat_ms, self._heartbeat_ms)
        self._intervals_ms[address] = interval_ms
        peer = self._peers.get(address)
        if peer is not None:
            peer.health.interval_ms = interval_ms

    def _count_sent(self, address: str, kind: str) -> None:
        group = "control" if address in self.controllers else "peer"
        self.counts[f"sent.{group}.{kind}"] += 1

    def _ensure_peer(self, address: str) -> _Peer | None:
        peer = self._peers.get(address)
        if peer is not None and peer.connection is not None:
            return peer
        try:
            connection = self._dial(address)
        except errors.LinkError as error:
            self.counts["links.addresses.invalid"] += 1
            self._rejections.record("address not dialled", reason=str(error))
            return None
        now_ms = self._clock.read_monotonic()
        if peer is not None:
            peer.connection = connection
            peer.health.restart_timeout(now_ms)
            return peer
        interval_ms = self._intervals_ms.get(address, self._heartbeat_ms)
        health = heartbeats.Heartbeats(interval_ms, now_ms)
        peer = self._peers[address] = _Peer(address, connection, health)
        return peer

    def _dial(self, address: str) -> connections.OutgoingConnection:
        return connections.OutgoingConnection(
            address, self._encryption.get_client_context()
        )

    def _flush(self, peer: _Peer) -> None:
        """Send the queued messages in as many frames as needed.

        While the connection is full, the rest stays queued and is tried again later.
        """
        peer.flushing = False
        while peer.queue and self._peers.get(peer.address) is peer:
            parts = _dequeue_parts(peer)
            if not self._send_frame(peer, list(parts)):
                peer.queue.extendleft(reversed(parts))
                peer.flushing = True
                loop = asyncio.get_running_loop()
                loop.call_later(FLUSH_RETRY_MS / 1000, self._flush, peer)
                return
            peer.queue_bytes -= sum(memoryview(part).nbytes for part in parts)

    def _send_frame(
        self, peer: _Peer, parts: list[codec.Message], numbered: bool = True
    ) -> bool:
        """Send one frame and return whether the connection accepted it.

        An idle link discards the frame and returns true.
        """
        if peer.connection is None:
            return True
        health = peer.health
        number = health.last_sent + 1 if numbered else 0
        frame = codec.Frame(
            self.name,
            self.incarnation,
            self.address,
            parts,
            number,
            health.last_received,
        )
        data = codec.encode_frame(frame)
        if not peer.connection.send(data):
            return False
        self.counts["links.bytes.sent"] += len(data)
        self.counts["links.frames.sent"] += 1
        if numbered:
            health.note_sent(self._clock.read_monotonic())
        else:
            health.note_acknowledgement()
        return True

    def _end_burst(self) -> None:
        self.end_burst()

    def _accept(self, data: bytes, peer_name: str | None) -> None:
        self.counts["links.bytes.received"] += len(data)
        self.counts["links.frames.received"] += 1
        try:
            frame = codec.decode_frame(data)
        except errors.SchemaError as error:
            self.counts["links.frames.rejected"] += 1
            self._rejections.record("frame rejected", reason=str(error))
            return
        if peer_name is not None and peer_name != frame.sender:
            reason = f"{frame.sender} has the certificate of {peer_name}"
            self.counts["links.senders.rejected"] += 1
            self._rejections.record("sender rejected", reason=reason)
            return
        peer = self._ensure_peer(frame.address)
        if peer is not None:
            self._update_health(peer, frame)
        if frame.messages:
            self._receive(frame)

    def _update_health(self, peer: _Peer, frame: codec.Frame) -> None:
        now_ms = self._clock.read_monotonic()
        received = (frame.incarnation, frame.number, frame.heard)
        peer.health.note_received(*received, now_ms)
        match frame.messages:
            case [] if frame.number:
                self._perform(peer, heartbeats.Action.ACKNOWLEDGE)
            case []:
                pass
            case [linkmessages.LinkRedialled()]:
                frame.messages.clear()
                self._perform(peer, peer.health.note_peer_redial())
            case _:
                peer.health.note_use(now_ms)

    async def _check_heartbeats(self) -> None:
        """Check all links twice in each shortest heartbeat interval."""
        while True:
            intervals_ms = [self._heartbeat_ms, *self._intervals_ms.values()]
            await asyncio.sleep(min(intervals_ms) / 2000)
            now_ms = self._clock.read_monotonic()
            for peer in list(self._peers.values()):
                self._perform(peer, peer.health.tick(now_ms))

    def _perform(self, peer: _Peer, action: heartbeats.Action) -> None:
        match action:
            case heartbeats.Action.ACKNOWLEDGE:
                self._count_sent(peer.address, "HeartbeatReply")
                self._send_frame(peer, [], numbered=False)
            case heartbeats.Action.PROBE:
                self._count_sent(peer.address, "Heartbeat")
                self._send_frame(peer, [])
            case heartbeats.Action.REDIAL if peer.connection is not None:
                self._redial(peer, peer.connection)
            case heartbeats.Action.CLOSE:
                self.counts["links.closed"] += 1
                self.disconnect(peer.address)
            case _:
                pass

    def _redial(self, peer: _Peer, connection: connections.OutgoingConnection) -> None:
        """Replace an unresponsive connection.

        If the connection is not established, the link becomes idle until it is used.
        """
        is_connected = connection.is_connected
        connection.abort()
        if not is_connected:
            self.counts["links.rested"] += 1
            peer.connection = None
            return
        self.counts["links.redialled"] += 1
        peer.connection = self._dial(peer.address)
        notice = linkmessages.LinkRedialled(peer.health.last_sent)
        self._count_sent(peer.address, "LinkRedialled")
        self._send_frame(peer, [notice])


def _do_nothing() -> None:
    pass


def _dequeue_parts(peer: _Peer) -> list[msgspec.Raw]:
    """Remove the messages from the queue that fit into one frame and return them."""
    parts = [peer.queue.popleft()]
    size = memoryview(parts[0]).nbytes
    while peer.queue:
        size += memoryview(peer.queue[0]).nbytes
        if size > FRAME_BYTES:
            break
        parts.append(peer.queue.popleft())
    return parts
