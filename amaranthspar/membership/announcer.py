"""Announces a process to the controllers and merges the views that they answer with.

A process announces itself to one controller after another, so that the number of its
messages does not grow with the number of controllers. It uses the newest version that
any of them reports. A view is never replaced by an older one, and it stays in force
while no controller answers: an outage of the controllers does not stop any work.

While no controller answers, the process also asks others for what they have heard since.
The controllers may have been replaced at other addresses, and what one process knows of
them then reaches all that it talks to.
"""

from collections.abc import Iterable

import attrs

from amaranthspar import effects
from amaranthspar.membership import controllers, documents, parts, peers
from amaranthspar.schema import viewmessages

ANNOUNCE_INTERVAL_MS = 300
"""Interval between two announcements, each to the next controller; three of them fit
well into 1 s, and each of five controllers receives one in 1.5 s."""
STARTUP_INTERVAL_MS = 100
"""Interval of announcements to all controllers just after the start, while the process
lacks the data that it needs."""
STARTUP_PERIOD_MS = 3_000
"""Maximum time after the start for which the shorter interval applies; it covers an
election and the start of the slowest host."""
PEER_LIST_TIMEOUT_MS = 4_000
"""Time after a controller's last answer for which its list of processes is used; two
answers are then missing."""
CONTROLLER_TIMEOUT_MS = 1_500
"""Time without an answer of any controller after which a process has lost contact."""
MAX_VIEW_AGE_MS = 3_000
"""Age of a controller's own view from which its answers are no contact: a controller that
was cut off or removed goes on answering, and an election takes about 1 s."""


@attrs.define(slots=True)
class _Controller:
    """Last answers of one controller.

    Attributes:
        answered_ms: Monotonic time of its last answer in ms.
        current_ms: Monotonic time in ms of its last answer from a recent view.
        version: Version of the document that it holds.
        digest: Digest of its list of processes as held here.
        peers: Its list of processes by name.
    """

    answered_ms: int = -PEER_LIST_TIMEOUT_MS
    current_ms: int = -PEER_LIST_TIMEOUT_MS
    version: int = documents.NO_VERSION
    digest: int = 0
    peers: dict[str, viewmessages.Peer] = attrs.field(factory=dict)

    def apply_peers(self, view: viewmessages.View) -> bool:
        """Apply a changed list of processes and return whether it was applied.

        A difference from a list other than the one held is the answer to an old
        announcement and is ignored.
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
    """Change of the view of a process.

    Attributes:
        document: New document; None if it is unchanged.
        document_age_ms: Time in ms since a controller first reported its version to
            this process.
        domains_out: Failure domains out of service.
        peers: Processes that any controller lists.
    """

    document: bytes | None
    domains_out: frozenset[str]
    peers: tuple[viewmessages.Peer, ...]
    document_age_ms: int = 0


class Announcer:
    """Builds the announcements of one process and holds its view.

    Args:
        announcement: Announcement of the process; the versions and digests of the view
            are filled in before it is sent.
        seeds: Addresses of the controllers in the settings.

    Attributes:
        version: Version of the document held.
        newest: Highest document version that any controller has reported.
        domains_revision: Revision of `domains_out`; -1 for none.
        domains_out: Failure domains out of service.
        peers: Processes that any controller lists.
        answered_ms: Monotonic time in ms of the last answer of any controller from a
            recent view.
        controllers: Addresses of the controllers.
        recent_peers: Processes from which messages were received.
        transfer: Document on its way to this process.
    """

    def __init__(self, announcement: viewmessages.Announce, seeds: list[str]) -> None:
        self.version = documents.NO_VERSION
        self.domains_revision = -1
        self.domains_out: frozenset[str] = frozenset()
        self.peers: tuple[viewmessages.Peer, ...] = ()
        self.answered_ms = -CONTROLLER_TIMEOUT_MS
        self.controllers = controllers.Controllers(seeds)
        self.recent_peers = peers.RecentPeers()
        self._announcement = announcement
        self._by_address: dict[str, _Controller] = {}
        self._update_addresses()
        self._sent_ms = -ANNOUNCE_INTERVAL_MS
        self._started_ms: int | None = None
        self.transfer = parts.Transfer()
        self.newest = documents.NO_VERSION
        self._newest_ms = 0
        self._next_position = 0
        self._next_gateway = 0
        self._asked_peer_ms = -ANNOUNCE_INTERVAL_MS
        self._merged_addresses: frozenset[str] = frozenset()

    def list_asked(self, now_ms: int) -> list[str]:
        """Return the addresses of the controllers to announce the process to, in turn.

        Without contact these are all known ones. In contact, those that the settings
        name beside the stated set take no turn, unless they answer from a recent view.

        Args:
            now_ms: Monotonic time in ms.
        """
        if not self.has_recent_answer(now_ms):
            return list(self._by_address)
        current = set(self.controllers.list_current())
        return [
            address
            for address, item in self._by_address.items()
            if address in current or now_ms - item.current_ms <= PEER_LIST_TIMEOUT_MS
        ]

    def apply_settings(self, seeds: Iterable[str]) -> bool:
        """Replace the addresses from the settings and return whether they have changed.

        Args:
            seeds: Addresses of the controllers in the settings.
        """
        if not self.controllers.apply_settings(seeds):
            return False
        self._update_addresses()
        return True

    def _update_addresses(self) -> None:
        """Drop what is known of former controllers, and add the new ones."""
        self._by_address = {
            address: self._by_address.get(address, _Controller())
            for address in self.controllers.list_known()
        }

    def has_recent_answer(self, now_ms: int) -> bool:
        """Return whether any controller answered within the time-out.

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
        """State in the announcements from now on that the process is stopping."""
        self._announcement = attrs.evolve(self._announcement, is_leaving=True)
        self._sent_ms = -ANNOUNCE_INTERVAL_MS

    def tick(self, now_ms: int) -> list[effects.Send]:
        """Return the announcements that are due.

        Args:
            now_ms: Monotonic time in ms.
        """
        if self._started_ms is None:
            self._started_ms = now_ms
        fetches = self.list_fetches(now_ms)
        due: set[str] = set()
        is_starting = self._is_starting(now_ms)
        if now_ms - self._sent_ms >= (
            STARTUP_INTERVAL_MS if is_starting else ANNOUNCE_INTERVAL_MS
        ):
            self._sent_ms = now_ms
            due |= set(self._by_address) if is_starting else {self._choose_next(now_ms)}
        requests = [
            effects.Send(address, self._build_announcement(controller))
            for address, controller in self._by_address.items()
            if address in due
        ]
        requests += self._ask_peers(now_ms)
        fetched = {item.peer for item in fetches}
        return [*fetches, *(item for item in requests if item.peer not in fetched)]

    def list_fetches(self, now_ms: int) -> list[effects.Send]:
        """Return the request for a missing document that is due, if there is one.

        Args:
            now_ms: Monotonic time in ms.
        """
        source = self._choose_source(now_ms)
        if not source:
            return []
        request = (
            self._build_announcement(self._by_address[source])
            if source in self._by_address
            else self._build_request()
        )
        wanted = attrs.evolve(
            request,
            wants_document=True,
            part_version=self.transfer.version,
            part_offset=self.transfer.offset,
            max_part_bytes=parts.PART_BYTES,
        )
        return [effects.Send(source, wanted)]

    def apply_view(
        self, address: str, view: viewmessages.View, now_ms: int
    ) -> ViewUpdate | None:
        """Merge the view that a controller or another process answered with.

        Args:
            address: Address of the sender.
            view: View of the sender.
            now_ms: Monotonic time in ms.

        Returns:
            The change of the view; None if nothing has changed.
        """
        if self.controllers.apply_set(view.controllers_revision, view.controllers):
            self._update_addresses()
        controller = self._by_address.get(address)
        if controller is not None:
            self._record_answer(controller, view, now_ms)
        if view.document_version > self.newest:
            self.newest = view.document_version
            self._newest_ms = now_ms
        document = None
        document_age_ms = 0
        part = parts.read_part(view)
        if part is not None and part.version > self.version:
            document = self.transfer.receive(part, now_ms)
            if document is not None:
                document_age_ms = self.find_document_age_ms(now_ms)
                self.version = part.version
        has_changed = document is not None
        if view.domains_revision > self.domains_revision:
            self.domains_revision = view.domains_revision
            self.domains_out = frozenset(view.domains_out)
            has_changed = True
        if self._announcement.wants_peers and controller is not None:
            has_changed = self._update_peers(controller, view, now_ms) or has_changed
        if not has_changed:
            return None
        return ViewUpdate(document, self.domains_out, self.peers, document_age_ms)

    @staticmethod
    def _is_current(view: viewmessages.View) -> bool:
        return 0 <= view.view_age_ms <= MAX_VIEW_AGE_MS

    def _record_answer(
        self, controller: _Controller, view: viewmessages.View, now_ms: int
    ) -> None:
        controller.answered_ms = now_ms
        controller.version = view.document_version
        if self._is_current(view):
            if not self.has_recent_answer(now_ms):
                self.transfer.forget_request()
            controller.current_ms = self.answered_ms = now_ms

    def answer_peer(
        self, request: viewmessages.FetchView, document: bytes
    ) -> viewmessages.View | None:
        """Return what is newer here than at another process; None for nothing.

        Args:
            request: Request of a process that hears no controller.
            document: Content of the document held; empty where none is held.
        """
        held = {self.version: document} if document else {}
        part = parts.cut_part(held, request)
        if not (
            part
            or self.controllers.revision > request.controllers_revision
            or self.newest > request.newest_version
            or self.domains_revision > request.domains_revision
        ):
            return None
        view = viewmessages.View(
            self.newest if part is None else self.version,
            self.domains_revision,
            sorted(self.domains_out),
            list(self.controllers.stated),
            [],
            [],
            0,
            0,
            b"",
            self.controllers.revision,
            documents.NO_VIEW_AGE_MS,
        )
        return parts.add_part(view, part)

    def _ask_peers(self, now_ms: int) -> list[effects.Send]:
        """Ask other processes for newer parts of the view, if no controller answers.

        A process that was heard recently is asked in turn; gateways, which hold the
        document, also ask another gateway.
        """
        started_ms = now_ms if self._started_ms is None else self._started_ms
        if (
            self.has_recent_answer(now_ms)
            or now_ms - started_ms <= CONTROLLER_TIMEOUT_MS
            or now_ms - self._asked_peer_ms < ANNOUNCE_INTERVAL_MS
        ):
            return []
        self._asked_peer_ms = now_ms
        addresses = {self.recent_peers.choose_next(), self._choose_gateway()} - {""}
        return [
            effects.Send(address, self._build_request())
            for address in sorted(addresses)
        ]

    def _build_request(self) -> viewmessages.FetchView:
        return viewmessages.FetchView(
            self.controllers.revision,
            self.version,
            self.newest,
            self.domains_revision,
            wants_document=False,
        )

    def list_gateways(self) -> dict[str, str]:
        """Return the addresses of the other gateways by name."""
        own = self._announcement.process
        return {
            peer.process: peer.address
            for peer in self.peers
            if peer.role == "gateway" and peer.process != own
        }

    def _choose_gateway(self) -> str:
        """Return the address of another gateway, each in turn; empty for none."""
        gateways = list(self.list_gateways().values())
        if not gateways:
            return ""
        self._next_gateway += 1
        return gateways[self._next_gateway % len(gateways)]

    def _update_peers(
        self, controller: _Controller, view: viewmessages.View, now_ms: int
    ) -> bool:
        """Update the merged list of processes and return whether it has changed."""
        answered = frozenset(
            address
            for address, item in self._by_address.items()
            if now_ms - item.answered_ms <= PEER_LIST_TIMEOUT_MS
        )
        if not controller.apply_peers(view) and answered == self._merged_addresses:
            return False
        self._merged_addresses = answered
        before = self.peers
        self.peers = self._merge_peers(answered)
        return self.peers != before

    def _is_starting(self, now_ms: int) -> bool:
        """Return whether the process has just started and lacks what it needs."""
        started_ms = now_ms if self._started_ms is None else self._started_ms
        if now_ms - started_ms > STARTUP_PERIOD_MS:
            return False
        answered = sum(
            item.answered_ms >= started_ms for item in self._by_address.values()
        )
        return self._announcement.wants_peers or 2 * answered <= len(self._by_address)

    def _choose_next(self, now_ms: int) -> str:
        """Return the address of the controller for the next announcement."""
        self._next_position += 1
        addresses = self.list_asked(now_ms)
        return addresses[self._next_position % len(addresses)] if addresses else ""

    def _choose_source(self, now_ms: int) -> str:
        """Return the process to fetch a missing document from; empty for none.

        Only processes that route requests, and therefore want peers, need the document.
        """
        if not self._announcement.wants_peers or self.version >= self.newest:
            return ""
        if not self.transfer.is_due(now_ms):
            return ""
        sources = self._list_sources(now_ms)
        if not sources:
            self.transfer.forget_request()
            return ""
        previous = self.transfer.source
        if self.transfer.tries:
            sources = [address for address in sources if address != previous] or sources
        elif self.transfer.offset and previous in sources:
            sources = [previous]
        self.transfer.note_request(sources[0], now_ms)
        return sources[0]

    def _list_sources(self, now_ms: int) -> list[str]:
        """Return the processes that hold the newest document, the last heard first.

        Without contact, another gateway that may hold it comes after the controllers.
        """
        answers = {
            address: item.answered_ms
            for address, item in self._by_address.items()
            if item.version >= self.newest
            and now_ms - item.answered_ms <= PEER_LIST_TIMEOUT_MS
        }
        sources = sorted(answers, key=lambda address: answers[address], reverse=True)
        gateway = "" if self.has_recent_answer(now_ms) else self._choose_gateway()
        return [*sources, gateway] if gateway else sources

    def _build_announcement(self, controller: _Controller) -> viewmessages.Announce:
        return attrs.evolve(
            self._announcement,
            document_version=self.version,
            domains_revision=max(self.domains_revision, 0),
            peers_digest=controller.digest,
        )

    def _merge_peers(self, answered: frozenset[str]) -> tuple[viewmessages.Peer, ...]:
        """Return the latest incarnation of each process that any controller lists.

        If these lists are empty, the previous merged list remains in use.

        Args:
            answered: Addresses of the controllers whose lists are used.
        """
        merged: dict[str, viewmessages.Peer] = {}
        for address in answered:
            for peer in self._by_address[address].peers.values():
                latest = merged.get(peer.process)
                if latest is None or latest.incarnation < peer.incarnation:
                    merged[peer.process] = peer
        if not merged:
            return self.peers
        return tuple(merged[name] for name in sorted(merged))
