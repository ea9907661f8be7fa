"""Processes that announce themselves to a controller, kept in its memory only.

Each process announces itself to the controllers in turn, so that one that restarts knows
all of them within two seconds. Whoever asks for the list gets
only what has changed since the list that it names by its digest.
"""

import collections
import itertools

import attrs
import xxhash

from amaranthspar.membership import documents
from amaranthspar.schema import codec, viewmessages

EXPIRY_MS = 6_000
"""Silence after which a process is no longer listed; with five controllers four
announcements are missing."""
MAX_CHANGES = 4_096
"""Changes of the list that are remembered: every process of the largest site twice."""


@attrs.frozen(slots=True)
class _Known:
    """A process and when it was heard."""

    peer: viewmessages.Peer
    digest: int
    heard_ms: int


@attrs.frozen(slots=True)
class _Change:
    """A change of the list: what it was before, and the process concerned."""

    base: int
    process: str


class Directory:
    """Processes heard lately."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._digest = 0
        self._changes: collections.deque[_Change] = collections.deque()
        self._first = 0
        self._positions: dict[int, int] = {}

    def handle_announcement(
        self,
        message: viewmessages.Announce,
        state: documents.Documents,
        controllers: list[str],
        now_ms: int,
    ) -> viewmessages.View:
        """Take an announcement.

        Args:
            message: What a process says of itself.
            state: Committed document and domains.
            controllers: Addresses of all controllers.
            now_ms: Monotonic time in ms.

        Returns:
            The answer, with the document and the peers only where they are news.
        """
        self._note(message, now_ms)
        sends_document = (
            message.wants_document and state.version > message.document_version
        )
        base, names = message.peers_digest, set[str]()
        if message.wants_peers and message.peers_digest != self._digest:
            base, names = self._find_changes(message.peers_digest)
        return viewmessages.View(
            state.version,
            state.domains_revision,
            sorted(state.domains_out),
            controllers,
            [self._known[name].peer for name in sorted(names) if name in self._known],
            sorted(name for name in names if name not in self._known),
            base,
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
            self._change(name, self._known.pop(name).digest)
        return gone

    def _note(self, message: viewmessages.Announce, now_ms: int) -> None:
        peer = viewmessages.Peer(
            message.process,
            message.role,
            message.incarnation,
            message.address,
            message.service,
            message.failure_domain,
            message.is_leaving,
        )
        before = self._known.get(message.process)
        if before is not None and before.peer == peer:
            self._known[message.process] = attrs.evolve(before, heard_ms=now_ms)
            return
        digest = xxhash.xxh3_64_intdigest(codec.encode_message(peer)) >> 1
        self._known[message.process] = _Known(peer, digest, now_ms)
        self._change(message.process, digest ^ (before.digest if before else 0))

    def _change(self, process: str, difference: int) -> None:
        """Note a change; the digest of the list combines those of its entries."""
        self._positions[self._digest] = self._first + len(self._changes)
        self._changes.append(_Change(self._digest, process))
        self._digest ^= difference
        if len(self._changes) > MAX_CHANGES:
            oldest = self._changes.popleft()
            if self._positions.get(oldest.base) == self._first:
                del self._positions[oldest.base]
            self._first += 1

    def _find_changes(self, digest: int) -> tuple[int, set[str]]:
        """Return from which list changes are known, 0 for none, and whom they concern.

        Args:
            digest: Digest of the list that the process holds.
        """
        position = self._positions.get(digest) if digest else None
        if position is None:
            return 0, set(self._known)
        since = itertools.islice(self._changes, position - self._first, None)
        return digest, {change.process for change in since}
