"""Processes that announce themselves to a controller, kept in its memory only.

Each process announces itself to every controller several times a second, so that a
controller that restarts knows all of them within one interval.
"""

import attrs
import xxhash

from amaranthspar.membership import documents
from amaranthspar.schema import codec, messages

EXPIRY_MS = 4_000
"""Silence after which a process is no longer listed; ten announcements are missing."""


@attrs.frozen(slots=True)
class _Known:
    """A process and when it was heard."""

    peer: messages.Peer
    heard_ms: int


class Directory:
    """Processes heard lately."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._peers: list[messages.Peer] = []
        self._digest = 0

    def announce(
        self,
        message: messages.Announce,
        state: documents.Documents,
        controllers: list[str],
        now_ms: int,
    ) -> messages.View:
        """Take an announcement.

        Args:
            message: What a process says of itself.
            state: Committed document and domains.
            controllers: Addresses of all controllers.
            now_ms: Monotonic time in ms.

        Returns:
            The answer, with the document and the peers only where they are news.
        """
        peer = messages.Peer(
            message.process,
            message.role,
            message.incarnation,
            message.address,
            message.service,
            message.is_leaving,
        )
        before = self._known.get(message.process)
        self._known[message.process] = _Known(peer, now_ms)
        if before is None or before.peer != peer:
            self._count()
        sends_document = (
            message.wants_document and state.version > message.document_version
        )
        sends_peers = message.wants_peers and (message.peers_digest != self._digest)
        return messages.View(
            state.version,
            state.domains_revision,
            sorted(state.domains_out),
            controllers,
            self._peers if sends_peers else [],
            self._digest,
            state.content if sends_document else b"",
        )

    def expire(self, now_ms: int) -> list[str]:
        """Forget the processes that were not heard, and return their names.

        Args:
            now_ms: Monotonic time in ms.
        """
        oldest_ms = now_ms - EXPIRY_MS
        gone = [name for name, item in self._known.items() if item.heard_ms < oldest_ms]
        for name in gone:
            del self._known[name]
        if gone:
            self._count()
        return gone

    def _count(self) -> None:
        """Number the list by its content, so that equal lists are not sent again."""
        self._peers = [self._known[name].peer for name in sorted(self._known)]
        self._digest = xxhash.xxh3_64_intdigest(codec.encode_message(self._peers)) >> 1
