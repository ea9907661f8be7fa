"""List of the processes that announce themselves to a controller, kept in memory only.

Each process announces itself to one controller after another, so that a restarted
controller lists all of them within two seconds. A process that requests the list
receives only the changes since the list that it holds, which it identifies by a digest.
"""

import collections
import itertools

import attrs
import xxhash

from amaranthspar.membership import documents, parts
from amaranthspar.schema import codec, viewmessages

EXPIRY_MS = 6_000
"""Time without an announcement after which a process is no longer listed; with five
controllers, four announcements are then missing."""
MAX_CHANGES = 4_096
"""Maximum number of changes of the list that are retained: two for each process of
the largest site."""


@attrs.frozen(slots=True)
class ControllerState:
    """What a controller states of itself and the others in its answers.

    Attributes:
        addresses: Addresses of all controllers.
        revision: Revision of this set; 0 for an unknown one.
        view_age_ms: Age in ms of its view that a majority has confirmed; -1 for none.
    """

    addresses: list[str]
    revision: int
    view_age_ms: int


@attrs.frozen(slots=True)
class _ListedProcess:
    """A listed process and the time of its last announcement."""

    peer: viewmessages.Peer
    digest: int
    announced_ms: int


@attrs.frozen(slots=True)
class _Change:
    """A change of the list: digest of the list before it, and the changed process."""

    base: int
    process: str


class Directory:
    """List of the processes that announced themselves recently."""

    def __init__(self) -> None:
        self._processes: dict[str, _ListedProcess] = {}
        self._digest = 0
        self._changes: collections.deque[_Change] = collections.deque()
        self._first_position = 0
        self._positions: dict[int, int] = {}

    def handle_announcement(
        self,
        message: viewmessages.Announce,
        state: documents.Documents,
        controllers: ControllerState,
        now_ms: int,
    ) -> viewmessages.View:
        """Record an announcement and return the answer.

        Args:
            message: Announcement of a process.
            state: Committed document and domains.
            controllers: State of the controllers.
            now_ms: Monotonic time in ms.

        Returns:
            The answer; it holds a part of the document and the peers only where the
            process requests them and does not hold them yet.
        """
        self._record(message, now_ms)
        part = None
        if message.wants_document:
            part = parts.cut_part(state.list_held(), message)
        base, names = message.peers_digest, set[str]()
        if message.wants_peers and message.peers_digest != self._digest:
            base, names = self._find_changes(message.peers_digest)
        view = viewmessages.View(
            state.version,
            state.domains_revision,
            sorted(state.domains_out),
            controllers.addresses,
            [
                self._processes[name].peer
                for name in sorted(names)
                if name in self._processes
            ],
            sorted(name for name in names if name not in self._processes),
            base,
            self._digest,
            b"",
            controllers.revision,
            controllers.view_age_ms,
        )
        return parts.add_part(view, part)

    def expire(self, now_ms: int) -> list[str]:
        """Remove processes without a recent announcement and return their names.

        Args:
            now_ms: Monotonic time in ms.
        """
        oldest_ms = now_ms - EXPIRY_MS
        expired = [
            name
            for name, item in self._processes.items()
            if item.announced_ms < oldest_ms
        ]
        for name in expired:
            self._record_change(name, self._processes.pop(name).digest)
        return expired

    def _record(self, message: viewmessages.Announce, now_ms: int) -> None:
        peer = viewmessages.Peer(
            message.process,
            message.role,
            message.incarnation,
            message.address,
            message.service,
            message.failure_domain,
            message.is_leaving,
        )
        previous = self._processes.get(message.process)
        if previous is not None and previous.peer == peer:
            self._processes[message.process] = attrs.evolve(
                previous, announced_ms=now_ms
            )
            return
        digest = xxhash.xxh3_64_intdigest(codec.encode_message(peer)) >> 1
        self._processes[message.process] = _ListedProcess(peer, digest, now_ms)
        self._record_change(
            message.process, digest ^ (previous.digest if previous else 0)
        )

    def _record_change(self, process: str, difference: int) -> None:
        """Record a change.

        The digest of the list is the XOR of the digests of its entries.
        """
        self._positions[self._digest] = self._first_position + len(self._changes)
        self._changes.append(_Change(self._digest, process))
        self._digest ^= difference
        if len(self._changes) > MAX_CHANGES:
            oldest = self._changes.popleft()
            if self._positions.get(oldest.base) == self._first_position:
                del self._positions[oldest.base]
            self._first_position += 1

    def _find_changes(self, digest: int) -> tuple[int, set[str]]:
        """Return the digest of the base list and the names of the changed processes.

        If the changes since the given list are no longer retained, the base is 0 and
        all processes are named.

        Args:
            digest: Digest of the list that the process holds.
        """
        position = self._positions.get(digest) if digest else None
        if position is None:
            return 0, set(self._processes)
        since = itertools.islice(self._changes, position - self._first_position, None)
        return digest, {change.process for change in since}
