"""Links between processes over TCP.

Each process listens, and dials a connection of its own to each peer that it sends
to. A link whose peer has not been heard for three heartbeat intervals is
closed and dialled anew, but only when there is something to send if the peer could
not even be connected: a socket that dials in vain costs more than one in use.
"""

import asyncio
import collections
from collections.abc import Callable

import attrs
import msgspec

from amaranthspar import clock, errors
from amaranthspar.network import connections, encryption, heartbeats
from amaranthspar.schema import codec, linkmessages, options

QUEUE_BYTES = 16 * 1024 * 1024
FRAME_BYTES = connections.FRAME_BYTES
MAX_MESSAGE_BYTES = connections.MAX_MESSAGE_BYTES
MAX_FRAME_BYTES = connections.MAX_FRAME_BYTES
FULL_RETRY_MS = 5

FrameHandler = Callable[[codec.Frame], None]
"""Called with each frame that holds messages."""


@attrs.define(slots=True)
class _Peer:
    """Link to one peer and what waits to be sent on it; without socket it rests."""

    address: str
    socket: connections.Dialled | None
    health: heartbeats.Heartbeats
    queue: collections.deque[msgspec.Raw] = attrs.field(factory=collections.deque)
    queue_bytes: int = 0
    flushing: bool = False


class Links:
    """All links of one process.

    Attributes:
        end_burst: Called once all frames that have come together are handed over.

    Args:
        name: Process name, sent with each frame.
        incarnation: Incarnation of this process.
        address: Address to listen on, as in ``127.0.0.1:7000``.
        receive: Called with each frame received.
        options: Section ``links`` of the settings.
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
        self.end_burst: Callable[[], None] = _ignore_end
        self._receive = receive
        self._heartbeat_ms = options.heartbeat_ms
        self._intervals_ms: dict[str, int] = {}
        self._encryption = encryption.Encryption(options)
        self._peers: dict[str, _Peer] = {}
        self._clock = clock.Clock()
        self._listener: connections.Listener | None = None
        self._beating: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Listen and start the heartbeats.

        Raises:
            errors.LinkError: The address is in use or not valid.
        """
        self._encryption.find_client()
        listener = connections.Listener(self._accept, self._end_burst)
        await listener.open(self.address, self._encryption.build_server())
        self._listener = listener
        loop = asyncio.get_running_loop()
        self._beating = loop.create_task(self._beat())

    def close(self) -> None:
        """Close every socket; messages not yet sent are lost."""
        if self._beating is not None:
            self._beating.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for address in list(self._peers):
            self.disconnect(address)

    def send(self, address: str, message: codec.Message) -> None:
        """Queue a message; all that is queued in one turn goes in one frame.

        A message that is too large, or finds the queue full, is dropped and
        counted: every protocol here bears the loss of any message.

        Args:
            address: Address at which the peer listens.
            message: Message to send.
        """
        if self._listener is None:
            return
        peer = self._find_peer(address)
        if peer is None:
            return
        part = codec.encode_part(message)
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
        if peer is not None and peer.socket is not None:
            peer.socket.close()

    def set_heartbeat_interval(self, address: str, heartbeat_ms: int) -> None:
        """Look after the link to one peer at an interval of its own.

        Args:
            address: Address at which the peer listens.
            heartbeat_ms: Heartbeat interval in ms, if it is the shorter one.
        """
        interval_ms = min(heartbeat_ms, self._heartbeat_ms)
        self._intervals_ms[address] = interval_ms
        peer = self._peers.get(address)
        if peer is not None:
            peer.health.interval_ms = interval_ms

    def _count_sent(self, address: str, kind: str) -> None:
        group = "control" if address in self.controllers else "peer"
        self.counts[f"sent.{group}.{kind}"] += 1

    def _find_peer(self, address: str) -> _Peer | None:
        peer = self._peers.get(address)
        if peer is not None and peer.socket is not None:
            return peer
        try:
            socket = self._dial(address)
        except errors.LinkError:
            self.counts["links.addresses.invalid"] += 1
            return None
        now_ms = self._clock.read_monotonic()
        if peer is not None:
            peer.socket = socket
            peer.health.note_dial(now_ms)
            return peer
        interval_ms = self._intervals_ms.get(address, self._heartbeat_ms)
        health = heartbeats.Heartbeats(interval_ms, now_ms)
        peer = self._peers[address] = _Peer(address, socket, health)
        return peer

    def _dial(self, address: str) -> connections.Dialled:
        return connections.Dialled(address, self._encryption.find_client())

    def _flush(self, peer: _Peer) -> None:
        """Send what is queued, as many frames as it takes."""
        peer.flushing = False
        while peer.queue and self._peers.get(peer.address) is peer:
            parts = _take_parts(peer)
            if not self._send_frame(peer, list(parts)):
                peer.queue.extendleft(reversed(parts))
                peer.flushing = True
                loop = asyncio.get_running_loop()
                loop.call_later(FULL_RETRY_MS / 1000, self._flush, peer)
                return
            peer.queue_bytes -= sum(memoryview(part).nbytes for part in parts)

    def _send_frame(
        self, peer: _Peer, parts: list[codec.Message], numbered: bool = True
    ) -> bool:
        """Send one frame, and return whether the socket took or refused it."""
        if peer.socket is None:
            return True
        health = peer.health
        number = health.number + 1 if numbered else 0
        frame = codec.Frame(
            self.name, self.incarnation, self.address, parts, number, health.heard
        )
        data = codec.encode_frame(frame)
        if not peer.socket.send(data):
            return False
        self.counts["links.bytes.sent"] += len(data)
        self.counts["links.frames.sent"] += 1
        if numbered:
            health.take_number(self._clock.read_monotonic())
        else:
            health.note_answer()
        return True

    def _end_burst(self) -> None:
        self.end_burst()

    def _accept(self, data: bytes, peer_name: str | None) -> None:
        self.counts["links.bytes.received"] += len(data)
        self.counts["links.frames.received"] += 1
        try:
            frame = codec.decode_frame(data)
        except errors.SchemaError:
            self.counts["links.frames.rejected"] += 1
            return
        if peer_name is not None and peer_name != frame.sender:
            self.counts["links.senders.rejected"] += 1
            return
        peer = self._find_peer(frame.address)
        if peer is not None:
            self._note_frame(peer, frame)
        if frame.messages:
            self._receive(frame)

    def _note_frame(self, peer: _Peer, frame: codec.Frame) -> None:
        now_ms = self._clock.read_monotonic()
        heard = (frame.incarnation, frame.number, frame.heard)
        peer.health.note_frame(*heard, now_ms)
        match frame.messages:
            case [] if frame.number:
                self._carry_out(peer, heartbeats.Action.ANSWER)
            case []:
                pass
            case [linkmessages.LinkRedialled()]:
                frame.messages.clear()
                self._carry_out(peer, peer.health.note_redial())
            case _:
                peer.health.note_use(now_ms)

    async def _beat(self) -> None:
        """Look after the links twice in the shortest heartbeat interval."""
        while True:
            intervals_ms = [self._heartbeat_ms, *self._intervals_ms.values()]
            await asyncio.sleep(min(intervals_ms) / 2000)
            now_ms = self._clock.read_monotonic()
            for peer in list(self._peers.values()):
                self._carry_out(peer, peer.health.tick(now_ms))

    def _carry_out(self, peer: _Peer, action: heartbeats.Action) -> None:
        match action:
            case heartbeats.Action.ANSWER:
                self._count_sent(peer.address, "HeartbeatReply")
                self._send_frame(peer, [], numbered=False)
            case heartbeats.Action.PROBE:
                self._count_sent(peer.address, "Heartbeat")
                self._send_frame(peer, [])
            case heartbeats.Action.REDIAL if peer.socket is not None:
                self._redial(peer, peer.socket)
            case heartbeats.Action.CLOSE:
                self.counts["links.closed"] += 1
                self.disconnect(peer.address)
            case _:
                pass

    def _redial(self, peer: _Peer, socket: connections.Dialled) -> None:
        """Replace a silent connection; a link without one rests until it is used."""
        is_connected = socket.is_connected
        socket.abort()
        if not is_connected:
            self.counts["links.rested"] += 1
            peer.socket = None
            return
        self.counts["links.redialled"] += 1
        peer.socket = self._dial(peer.address)
        told = linkmessages.LinkRedialled(peer.health.number)
        self._count_sent(peer.address, "LinkRedialled")
        self._send_frame(peer, [told])


def _ignore_end() -> None:
    pass


def _take_parts(peer: _Peer) -> list[msgspec.Raw]:
    """Take messages off the queue that fit into one frame."""
    parts = [peer.queue.popleft()]
    size = memoryview(parts[0]).nbytes
    while peer.queue:
        size += memoryview(peer.queue[0]).nbytes
        if size > FRAME_BYTES:
            break
        parts.append(peer.queue.popleft())
    return parts
