"""Builders of a gateway on a slow link that fetches documents from controllers."""

import collections

import attrs

from amaranthspar.membership import announcer, directory, documents
from amaranthspar.schema import viewmessages
from tests import builders_contact

STEP_MS = 5
TICK_MS = 20
HEADER_BYTES = 300
"""Size of an answer without a document."""
LINK_TIMEOUT_MS = 480
"""Time without a complete frame after which a controller replaces a connection; the
frames on it are lost."""


@attrs.define
class Connection:
    """Frames of one controller on their way, in order."""

    frames: collections.deque[list] = attrs.field(factory=collections.deque)
    waiting_since_ms: int = 0

    def push(self, view: viewmessages.View, now_ms: int) -> None:
        if not self.frames:
            self.waiting_since_ms = now_ms
        self.frames.append([view, HEADER_BYTES + len(view.document)])


class SlowGateway:
    """A gateway whose link is shared by the answers of all controllers.

    Attributes:
        received: Documents that it has received, with the time in ms.
        sent_bytes: Bytes that controllers have sent to it.
        lost: Number of frames that were lost with a replaced connection.
        silent: Controllers that do not answer.
    """

    def __init__(self, bytes_per_ms: float, controllers: int = 5) -> None:
        self.now_ms = 10_000
        self.bytes_per_ms = bytes_per_ms
        self.state = documents.Documents()
        names = [f"c{number}" for number in range(controllers)]
        self.directories = {name: directory.Directory() for name in names}
        self.connections = {name: Connection() for name in names}
        self.announcer = announcer.Announcer(
            builders_contact.build_announcement(), names
        )
        self.received: list[tuple[int, bytes]] = []
        self.sent_bytes = 0
        self.lost = 0
        self.silent: set[str] = set()

    def put(self, version: int, content: bytes) -> None:
        self.state.put(viewmessages.PutDocument("r", version, content))

    def pass_time(self, time_ms: int) -> None:
        for _ in range(time_ms // STEP_MS):
            self.now_ms += STEP_MS
            if self.now_ms % TICK_MS == 0:
                self.answer(self.announcer.tick(self.now_ms))
            self.move_bytes()

    def find_delay_ms(self, version: int, content: bytes, limit_ms: int) -> int:
        """Return the time until a new document is held, in ms; at most the limit."""
        began_ms = self.now_ms
        self.put(version, content)
        while self.announcer.version < version and self.now_ms - began_ms < limit_ms:
            self.pass_time(TICK_MS)
        return self.now_ms - began_ms

    def answer(self, sends) -> None:
        state = directory.ControllerState(list(self.directories), 1, 0)
        for send in sends:
            if send.peer in self.silent:
                continue
            view = self.directories[send.peer].handle_announcement(
                send.message, self.state, state, self.now_ms
            )
            self.sent_bytes += HEADER_BYTES + len(view.document)
            self.connections[send.peer].push(view, self.now_ms)

    def move_bytes(self) -> None:
        """Share the link between the connections, and replace those that stand still."""
        active = [item for item in self.connections.items() if item[1].frames]
        for name, connection in active:
            frame = connection.frames[0]
            frame[1] -= self.bytes_per_ms * STEP_MS / len(active)
            if frame[1] <= 0:
                connection.frames.popleft()
                connection.waiting_since_ms = self.now_ms
                self.receive(name, frame[0])
            elif self.now_ms - connection.waiting_since_ms >= LINK_TIMEOUT_MS:
                self.lost += len(connection.frames)
                connection.frames.clear()

    def receive(self, name: str, view: viewmessages.View) -> None:
        update = self.announcer.apply_view(name, view, self.now_ms)
        if update is not None and update.document is not None:
            self.received.append((self.now_ms, update.document))
        self.answer(self.announcer.list_fetches(self.now_ms))
