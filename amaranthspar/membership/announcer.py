"""Keeps a process in touch with every controller and merges what they know.

The view that a process holds only ever grows newer, and it stays in force while all
controllers are silent: an outage of control holds up no work.
"""

import attrs

from amaranthspar import effects
from amaranthspar.membership import documents
from amaranthspar.schema import messages

INTERVAL_MS = 300
"""Interval of announcements to each controller; three fit well into 1 s."""
START_INTERVAL_MS = 100
"""The same just after the start, while the process does not know what it needs."""
START_MS = 3_000
"""Time after the start for which the shorter interval holds at most: an election and the
start of the slowest host."""
HEARD_MS = 3_000
"""Time for which a controller's list of processes counts after its last answer."""
CONTACT_MS = 1_500
"""Silence of every controller after which a process counts as out of touch."""
FETCH_MS = 400
"""Time after which a missing document is asked from another controller."""


@attrs.define(slots=True)
class _Controller:
    """A controller as this process knows it."""

    heard_ms: int = -HEARD_MS
    version: int = documents.NO_VERSION
    digest: int = 0
    peers: list[messages.Peer] = attrs.field(factory=list)


@attrs.frozen(slots=True)
class Changed:
    """The view has changed.

    Attributes:
        document: New document; nothing if it is the same.
        domains_out: Failure domains out of service.
        peers: Processes listed by any controller.
    """

    document: bytes | None
    domains_out: frozenset[str]
    peers: tuple[messages.Peer, ...]


class Announcer:
    """View of one process.

    Args:
        own: What the process says of itself; the view's fields are filled in.
        seeds: Addresses of the first controllers.
    """

    def __init__(self, own: messages.Announce, seeds: list[str]) -> None:
        self.version = documents.NO_VERSION
        self.domains_revision = -1
        self.domains_out: frozenset[str] = frozenset()
        self.peers: tuple[messages.Peer, ...] = ()
        self.heard_ms = -CONTACT_MS
        self._own = own
        self._controllers = {address: _Controller() for address in seeds}
        self._sent_ms = -INTERVAL_MS
        self._began_ms: int | None = None
        self._fetched_ms = -FETCH_MS
        self._newest = documents.NO_VERSION

    def is_in_touch(self, now_ms: int) -> bool:
        """Return whether a controller was heard lately.

        Args:
            now_ms: Monotonic time in ms.
        """
        return now_ms - self.heard_ms <= CONTACT_MS

    def note_leaving(self) -> None:
        """Tell controllers from now on that the process is stopping."""
        self._own = attrs.evolve(self._own, is_leaving=True)
        self._sent_ms = -INTERVAL_MS

    def tick(self, now_ms: int) -> list[effects.Send]:
        """Return the announcements that are due.

        Args:
            now_ms: Monotonic time in ms.
        """
        if self._began_ms is None:
            self._began_ms = now_ms
        if now_ms - self._sent_ms < self._find_interval_ms(now_ms - self._began_ms):
            return []
        self._sent_ms = now_ms
        source = self._choose_source(now_ms)
        return [
            effects.Send(address, self._build(controller, address == source))
            for address, controller in self._controllers.items()
        ]

    def take(self, address: str, view: messages.View, now_ms: int) -> Changed | None:
        """Take a controller's answer.

        Args:
            address: Address of the controller.
            view: What it knows.
            now_ms: Monotonic time in ms.

        Returns:
            The view, if it has changed.
        """
        controller = self._controllers.setdefault(address, _Controller())
        controller.heard_ms = now_ms
        controller.version = view.document_version
        self.heard_ms = now_ms
        for known in view.controllers:
            self._controllers.setdefault(known, _Controller())
        if view.document_version > max(self._newest, self.version):
            self._newest = view.document_version
            self._sent_ms = -INTERVAL_MS
        document = None
        if view.document and view.document_version > self.version:
            self.version = view.document_version
            document = view.document
        has_changed = document is not None
        if view.domains_revision > self.domains_revision:
            self.domains_revision = view.domains_revision
            self.domains_out = frozenset(view.domains_out)
            has_changed = True
        if view.peers_digest != controller.digest and (
            view.peers or not self._own.wants_peers
        ):
            controller.digest = view.peers_digest
            controller.peers = view.peers
        peers = self._merge_peers(now_ms)
        has_changed = has_changed or peers != self.peers
        self.peers = peers
        if not has_changed:
            return None
        return Changed(document, self.domains_out, peers)

    def _find_interval_ms(self, age_ms: int) -> int:
        """Return the interval of announcements for a process of some age."""
        is_settled = self.version != documents.NO_VERSION and not self._own.wants_peers
        if is_settled or age_ms > START_MS:
            return INTERVAL_MS
        return START_INTERVAL_MS

    def _choose_source(self, now_ms: int) -> str:
        """Return the controller to fetch a missing document from, empty for none."""
        if self.version >= self._newest or now_ms - self._fetched_ms < FETCH_MS:
            return ""
        self._fetched_ms = now_ms
        holders = {
            address: controller.heard_ms
            for address, controller in self._controllers.items()
            if controller.version >= self._newest
        }
        return max(holders, key=lambda address: holders[address], default="")

    def _build(self, controller: _Controller, is_source: bool) -> messages.Announce:
        return attrs.evolve(
            self._own,
            document_version=self.version,
            domains_revision=max(self.domains_revision, 0),
            wants_document=is_source,
            peers_digest=controller.digest,
        )

    def _merge_peers(self, now_ms: int) -> tuple[messages.Peer, ...]:
        """Return the newest statement of each process that any controller lists."""
        merged: dict[str, messages.Peer] = {}
        for controller in self._controllers.values():
            if now_ms - controller.heard_ms > HEARD_MS:
                continue
            for peer in controller.peers:
                known = merged.get(peer.process)
                if known is None or known.incarnation < peer.incarnation:
                    merged[peer.process] = peer
        if not merged:
            return self.peers
        return tuple(merged[name] for name in sorted(merged))
