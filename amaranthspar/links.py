"""Links between processes over pynng.

Each process listens with one pull socket and dials one push socket for each
peer. A link whose peer has not answered a heartbeat for three intervals is
closed and dialled anew.
"""

import asyncio
import os
from collections.abc import Callable

import attrs

os.environ.setdefault("NNG_LOG_LEVEL", "none")

import pynng  # noqa: E402

from amaranthspar import clock, codec, errors, messages  # noqa: E402

SILENT_INTERVALS = 3
SEND_QUEUE_MESSAGES = 4096
SEND_BUFFER_FRAMES = 128
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
MAX_FRAME_BYTES = 64 * 1024 * 1024
RECEIVE_BURST_FRAMES = 64


def _limit_threads() -> None:
    """Limit the threads that nng starts; must run before the first socket."""
    library = pynng.lib
    for name in ("NUM_TASK_THREADS", "MAX_TASK_THREADS", "NUM_EXPIRE_THREADS"):
        library.nng_init_set_parameter(getattr(library, f"NNG_INIT_{name}"), 2)
    for name in ("MAX_EXPIRE_THREADS", "NUM_POLLER_THREADS", "MAX_POLLER_THREADS"):
        library.nng_init_set_parameter(getattr(library, f"NNG_INIT_{name}"), 2)


_limit_threads()

Receive = Callable[[codec.Frame], None]
"""Called with each frame that is not only heartbeats."""


@attrs.define(slots=True)
class _Peer:
    """State of the link to one peer."""

    address: str
    socket: pynng.Push0
    queue: list[codec.Message]
    heard_ms: int
    number: int = 0
    dialled_number: int = 0
    flushing: bool = False


class Links:
    """All links of one process.

    Args:
        name: Process name, sent with each frame.
        incarnation: Incarnation of this process.
        address: Address to listen on, as in ``127.0.0.1:7000``.
        receive: Called with each frame received.
        heartbeat_ms: Interval between heartbeats on a link in ms.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        address: str,
        receive: Receive,
        heartbeat_ms: int = 500,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.rejected_frames = 0
        self.dropped_messages = 0
        self.redials = 0
        self.controllers: frozenset[str] = frozenset()
        self.counts: dict[str, int] = {}
        self._receive = receive
        self._heartbeat_ms = heartbeat_ms
        self._peers: dict[str, _Peer] = {}
        self._clock = clock.Clock()
        self._inbox: pynng.Pull0 | None = None
        self._beating: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Listen and start the heartbeats.

        Raises:
            errors.LinkError: The address is in use or not valid.
        """
        self._inbox = pynng.Pull0(recv_buffer_size=SEND_BUFFER_FRAMES)
        self._inbox.recv_max_size = MAX_FRAME_BYTES
        try:
            self._inbox.listen(f"tcp://{self.address}")
        except pynng.NNGException as error:
            raise errors.LinkError(
                f"cannot listen on {self.address}: {error}"
            ) from error
        loop = asyncio.get_running_loop()
        loop.add_reader(self._inbox.recv_fd, self._drain_inbox)
        self._beating = loop.create_task(self._beat())

    def close(self) -> None:
        """Close every socket; messages not yet sent are lost."""
        loop = asyncio.get_running_loop()
        if self._beating is not None:
            self._beating.cancel()
        if self._inbox is not None:
            loop.remove_reader(self._inbox.recv_fd)
            self._inbox.close()
            self._inbox = None
        for address in list(self._peers):
            self.forget(address)

    def send(self, address: str, message: codec.Message) -> None:
        """Queue a message; all that is queued in one turn goes in one frame.

        Args:
            address: Address at which the peer listens.
            message: Message to send.
        """
        if self._inbox is None:
            return
        peer = self._peers.get(address)
        if peer is None:
            peer = self._dial(address)
        if len(peer.queue) >= SEND_QUEUE_MESSAGES:
            self.dropped_messages += 1
            return
        peer.queue.append(message)
        self._count(address, message)
        if not peer.flushing:
            peer.flushing = True
            asyncio.get_running_loop().call_soon(self._flush, peer)

    def _count(self, address: str, message: codec.Message) -> None:
        kind = "control" if address in self.controllers else "peer"
        name = f"sent.{kind}.{type(message).__name__}"
        self.counts[name] = self.counts.get(name, 0) + 1

    def forget(self, address: str) -> None:
        """Close the link to a peer.

        Args:
            address: Address at which the peer listens.
        """
        peer = self._peers.pop(address, None)
        if peer is not None:
            peer.socket.close()

    def _dial(self, address: str) -> _Peer:
        now_ms = self._clock.read_monotonic()
        peer = _Peer(address, self._open_push(address), [], now_ms)
        self._peers[address] = peer
        return peer

    def _open_push(self, address: str) -> pynng.Push0:
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_FRAMES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        socket.dial(f"tcp://{address}", block=False)
        return socket

    def _flush(self, peer: _Peer) -> None:
        if self._peers.get(peer.address) is not peer:
            return
        frame = codec.Frame(self.name, self.incarnation, self.address, peer.queue)
        data = codec.encode_frame(frame)
        try:
            peer.socket.send(data, block=False)
        except pynng.TryAgain:
            asyncio.get_running_loop().call_later(0.005, self._flush, peer)
            return
        except pynng.NNGException:
            self.dropped_messages += len(peer.queue)
        peer.flushing = False
        peer.queue = []

    def _drain_inbox(self) -> None:
        if self._inbox is None:
            return
        for _ in range(RECEIVE_BURST_FRAMES):
            try:
                data = self._inbox.recv(block=False)
            except pynng.TryAgain:
                return
            self._accept(data)
        asyncio.get_running_loop().call_soon(self._drain_inbox)

    def _accept(self, data: bytes) -> None:
        try:
            frame = codec.decode_frame(data)
        except errors.SchemaError:
            self.rejected_frames += 1
            return
        rest: list[codec.Message] = []
        for message in frame.messages:
            match message:
                case messages.Heartbeat():
                    reply = messages.HeartbeatReply(message.number)
                    self.send(frame.address, reply)
                case messages.HeartbeatReply():
                    self._note_reply(frame.address, message)
                case _:
                    rest.append(message)
        if rest:
            self._receive(attrs.evolve(frame, messages=rest))

    def _note_reply(self, address: str, reply: messages.HeartbeatReply) -> None:
        peer = self._peers.get(address)
        if peer is not None and reply.number > peer.dialled_number:
            peer.heard_ms = self._clock.read_monotonic()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(self._heartbeat_ms / 1000)
            now_ms = self._clock.read_monotonic()
            for peer in list(self._peers.values()):
                self._check(peer, now_ms)

    def _check(self, peer: _Peer, now_ms: int) -> None:
        if now_ms - peer.heard_ms > SILENT_INTERVALS * self._heartbeat_ms:
            self.redials += 1
            peer.socket.close()
            peer.socket = self._open_push(peer.address)
            peer.heard_ms = now_ms
            peer.dialled_number = peer.number
        peer.number += 1
        self.send(peer.address, messages.Heartbeat(peer.number))
