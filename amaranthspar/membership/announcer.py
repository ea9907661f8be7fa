"""Keeps a process in touch with every controller and merges what they know.

A process asks the controllers in turn, so that its messages do not grow with their
number, and acts on the newest that it hears from any. The view that it holds only ever
grows newer, and it stays in force while all controllers are silent: an outage of control
holds up no work.
"""

import attrs

from amaranthspar import effects
from amaranthspar.membership import documents
from amaranthspar.schema import viewmessages

ANNOUNCE_INTERVAL_MS = 300
"""Interval between two announcements, each to the next controller; three fit well into
1 s, and each of five controllers is asked once in 1.5 s."""
STARTUP_INTERVAL_MS = 100
"""Interval of announcements to all controllers just after the start, while the process
does not know what it needs."""
STARTUP_PERIOD_MS = 3_000
"""Time after the start for which the shorter interval holds at most: an election and the
start of the slowest host."""
PEER_LIST_TIMEOUT_MS = 4_000
"""Time for which a controller's list of processes counts after its last answer: two are
missing."""
CONTROLLER_TIMEOUT_MS = 1_500
"""Silence of every controller after which a process counts as out of touch."""
FETCH_RETRY_MS = 400
"""Time after which a missing document is asked from another controller."""


@attrs.define(slots=True)
class _Controller:
    """A controller as this process knows it."""

    answered_ms: int = -PEER_LIST_TIMEOUT_MS
    version: int = documents.NO_VERSION
    digest: int = 0
    peers: dict[str, viewmessages.Peer] = attrs.field(factory=dict)

    def apply_peers(self, view: viewmessages.View) -> bool:
        """Take a changed list, and return whether it could be taken.

        A difference from another list than the one held answers an old announcement.
        """
        if view.peers_digest == self.digest:
            return False
        if view.peers_base not in (0, self.digest):
            return False
        if not view.peers_base:
            self.peers.clear()
        for name in view.peers_gone:
            self.peers.pop(name, None)
        self.peers.update((peer.process, peer) for peer in view.peers)
        self.digest = view.peers_digest
        return True


@attrs.frozen(slots=True)
class ViewUpdate:
    """The view has changed.

    Attributes:
        document: New document; nothing if it is the same.
        document_age_ms: Time since this process first heard of its version, in ms.
        domains_out: Failure domains out of service.
        peers: Processes listed by any controller.
    """

    document: bytes | None
    domains_out: frozenset[str]
    peers: tuple[viewmessages.Peer, ...]
    document_age_ms: int = 0


class Announcer:
    """View of one process.

    Args:
        own: What the process says of itself; the view's fields are filled in.
        seeds: Addresses of the first controllers.
    """

    def __init__(self, own: viewmessages.Announce, seeds: list[str]) -> None:
        self.version = documents.NO_VERSION
        self.domains_revision = -1
        self.domains_out: frozenset[str] = frozenset()
        self.peers: tuple[viewmessages.Peer, ...] = ()
        self.answered_ms = -CONTROLLER_TIMEOUT_MS
        self._own = own
        self._controllers = {address: _Controller() for address in seeds}
        self._sent_ms = -ANNOUNCE_INTERVAL_MS
        self._began_ms: int | None = None
        self._fetched_ms = -FETCH_RETRY_MS
        self.newest = documents.NO_VERSION
        self._newest_ms = 0
        self._turn = 0
        self._merged: frozenset[str] = frozenset()

    def has_recent_answer(self, now_ms: int) -> bool:
        """Return whether a controller was heard lately.

        Args:
            now_ms: Monotonic time in ms.
        """
        return now_ms - self.answered_ms <= CONTROLLER_TIMEOUT_MS

    def find_document_age_ms(self, now_ms: int) -> int:
        """Return for how long the newest document has been missing here, in ms.

        Args:
            now_ms: Monotonic time in ms.
        """
        return now_ms - self._newest_ms if self.version < self.newest else 0

    def announce_leaving(self) -> None:
        """Tell controllers from now on that the process is stopping."""
        self._own = attrs.evolve(self._own, is_leaving=True)
        self._sent_ms = -ANNOUNCE_INTERVAL_MS

    def tick(self, now_ms: int) -> list[effects.Send]:
        """Return the announcements that are due.

        Args:
            now_ms: Monotonic time in ms.
        """
        if self._began_ms is None:
            self._began_ms = now_ms
        source = self._choose_source(now_ms)
        due = {source} if source else set()
        is_starting = self._is_starting(now_ms)
        if now_ms - self._sent_ms >= (
            STARTUP_INTERVAL_MS if is_starting else ANNOUNCE_INTERVAL_MS
        ):
            self._sent_ms = now_ms
            due |= set(self._controllers) if is_starting else {self._take_turn()}
        return [
            effects.Send(address, self._build(controller, address == source))
            for address, controller in self._controllers.items()
            if address in due
        ]

    def apply_view(
        self, address: str, view: viewmessages.View, now_ms: int
    ) -> ViewUpdate | None:
        """Take a controller's answer.

        Args:
            address: Address of the controller.
            view: What it knows.
            now_ms: Monotonic time in ms.

        Returns:
            The view, if it has changed.
        """
        controller = self._controllers.setdefault(address, _Controller())
        controller.answered_ms = now_ms
        controller.version = view.document_version
        self.answered_ms = now_ms
        for known in view.controllers:
            self._controllers.setdefault(known, _Controller())
        if view.document_version > self.newest:
            self.newest = view.document_version
            self._newest_ms = now_ms
        document = None
        document_age_ms = 0
        if view.document and view.document_version > self.version:
            document_age_ms = self.find_document_age_ms(now_ms)
            self.version = view.document_version
            document = view.document
        has_changed = document is not None
        if view.domains_revision > self.domains_revision:
            self.domains_revision = view.domains_revision
            self.domains_out = frozenset(view.domains_out)
            has_changed = True
        if self._own.wants_peers:
            has_changed = self._take_peers(controller, view, now_ms) or has_changed
        if not has_changed:
            return None
        return ViewUpdate(document, self.domains_out, self.peers, document_age_ms)

    def _take_peers(
        self, controller: _Controller, view: viewmessages.View, now_ms: int
    ) -> bool:
        """Return whether the merged list is another one than before."""
        heard = frozenset(
            address
            for address, item in self._controllers.items()
            if now_ms - item.answered_ms <= PEER_LIST_TIMEOUT_MS
        )
        if not controller.apply_peers(view) and heard == self._merged:
            return False
        self._merged = heard
        before = self.peers
        self.peers = self._merge_peers(heard)
        return self.peers != before

    def _is_starting(self, now_ms: int) -> bool:
        """Return whether the process has just started and lacks what it needs."""
        began_ms = now_ms if self._began_ms is None else self._began_ms
        if now_ms - began_ms > STARTUP_PERIOD_MS:
            return False
        heard = sum(item.answered_ms >= began_ms for item in self._controllers.values())
        return self._own.wants_peers or 2 * heard <= len(self._controllers)

    def _take_turn(self) -> str:
        """Return the address of the controller to ask next."""
        self._turn += 1
        addresses = list(self._controllers)
        return addresses[self._turn % len(addresses)] if addresses else ""

    def _choose_source(self, now_ms: int) -> str:
        """Return the controller to fetch a missing document from, empty for none.

        Only a process that routes requests, and so wants peers, reads the document.
        """
        if not self._own.wants_peers or self.version >= self.newest:
            return ""
        if now_ms - self._fetched_ms < FETCH_RETRY_MS:
            return ""
        self._fetched_ms = now_ms
        holders = {
            address: controller.answered_ms
            for address, controller in self._controllers.items()
            if controller.version >= self.newest
        }
        return max(holders, key=lambda address: holders[address], default="")

    def _build(self, controller: _Controller, is_source: bool) -> viewmessages.Announce:
        return attrs.evolve(
            self._own,
            document_version=self.version,
            domains_revision=max(self.domains_revision, 0),
            wants_document=is_source,
            peers_digest=controller.digest,
        )

    def _merge_peers(self, heard: frozenset[str]) -> tuple[viewmessages.Peer, ...]:
        """Return the newest statement of each process that any controller lists.

        Args:
            heard: Addresses of the controllers whose lists count.
        """
        merged: dict[str, viewmessages.Peer] = {}
        for address in heard:
            for peer in self._controllers[address].peers.values():
                known = merged.get(peer.process)
                if known is None or known.incarnation < peer.incarnation:
                    merged[peer.process] = peer
        if not merged:
            return self.peers
        return tuple(merged[name] for name in sorted(merged))
