"""Sends a process's announcements to the controllers and logs changes of its view."""

from collections.abc import Callable
from typing import Literal

import structlog

from amaranthspar import effects, processes
from amaranthspar.membership import announcer, documents
from amaranthspar.schema import codec, viewmessages

SILENCE_LOG_INTERVAL_MS = 10_000
"""Interval at which a process without an answer of any controller logs this again."""

_log = structlog.get_logger()


class Contact:
    """Exchanges announcements and views with the controllers and logs each change.

    Args:
        process: Name and addresses of the process.
        role: Role of the process.
        service: Service of its upstream; empty for a gateway.
        failure_domain: Failure domain of the process.
        incarnation: Incarnation of the process.
        send: Function that sends a message to an address.

    Attributes:
        has_contact: Whether a controller had answered recently at the last event.
    """

    def __init__(
        self,
        process: processes.ProcessSettings,
        role: Literal["gateway", "sidecar"],
        service: str,
        failure_domain: str,
        incarnation: int,
        send: Callable[[str, codec.Message], None],
    ) -> None:
        announcement = viewmessages.Announce(
            process=process.name,
            role=role,
            incarnation=incarnation,
            address=process.listen,
            service=service,
            failure_domain=failure_domain,
            is_leaving=False,
            document_version=documents.NO_VERSION,
            domains_revision=0,
            wants_document=False,
            wants_peers=role == "gateway",
            peers_digest=0,
        )
        self._announcer = announcer.Announcer(announcement, process.controllers)
        self._send = send
        self.has_contact = False
        self._started_ms: int | None = None
        self._logged_ms = 0

    @property
    def version(self) -> int:
        """Version of the routing document held."""
        return self._announcer.version

    def list_gateways(self) -> dict[str, str]:
        """Return the addresses of the other gateways by name."""
        return self._announcer.list_gateways()

    def announce_leaving(self) -> None:
        """State in the announcements from now on that the process is stopping."""
        self._announcer.announce_leaving()

    def note_peer(self, address: str) -> None:
        """Note that a message of another process was received.

        Args:
            address: Address at which the process listens.
        """
        self._announcer.recent_peers.note(address)

    def apply_settings(self, controllers: list[str]) -> None:
        """Replace the addresses of the controllers from the settings.

        Args:
            controllers: Addresses in the settings.
        """
        if self._announcer.apply_settings(controllers):
            self._log_controllers("settings")

    def answer_peer(
        self, address: str, request: viewmessages.FetchView, document: bytes = b""
    ) -> None:
        """Send a process that hears no controller what is newer here.

        Args:
            address: Address of the process.
            request: What it holds.
            document: Content of the document held; empty where none is held.
        """
        answer = self._announcer.answer_peer(request, document)
        if answer is not None:
            self._send(address, answer)

    def _log_controllers(self, source: str) -> None:
        known = self._announcer.controllers
        _log.info(
            "controllers changed",
            source=source,
            revision=known.revision,
            stated=list(known.stated),
            known=known.list_known(),
        )

    def tick(self, now_ms: int) -> None:
        """Send the announcements that are due.

        Args:
            now_ms: Monotonic time in ms.
        """
        if self._started_ms is None:
            self._started_ms = self._logged_ms = now_ms
        for send in self._announcer.tick(now_ms):
            self._log_fetch(send, now_ms)
            self._send(send.peer, send.message)
        self._log_contact(now_ms, self.find_silence_ms(now_ms))

    def _log_fetch(self, send: effects.Send, now_ms: int) -> None:
        """Log the first request for a document, and each one that is repeated."""
        transfer = self._announcer.transfer
        match send.message:
            case (
                viewmessages.Announce(wants_document=True)
                | viewmessages.FetchView(wants_document=True)
            ) if transfer.tries > 1 or not transfer.offset:
                _log.info(
                    "document asked",
                    source=send.peer,
                    held=self.version,
                    newest=self._announcer.newest,
                    offset=transfer.offset,
                    tries=transfer.tries,
                    age_ms=self._announcer.find_document_age_ms(now_ms),
                )

    def find_silence_ms(self, now_ms: int) -> int:
        """Return the time since the last answer of any controller, in ms.

        Args:
            now_ms: Monotonic time in ms.

        Returns:
            The time, at most that since the first tick.
        """
        started_ms = now_ms if self._started_ms is None else self._started_ms
        return now_ms - max(self._announcer.answered_ms, started_ms)

    def _log_contact(self, now_ms: int, silence_ms: int) -> None:
        has_contact = self._announcer.has_recent_answer(now_ms)
        is_repeated = now_ms - self._logged_ms >= SILENCE_LOG_INTERVAL_MS
        if has_contact is self.has_contact and (has_contact or not is_repeated):
            return
        self.has_contact = has_contact
        self._logged_ms = now_ms
        _log.info(
            "controllers heard" if has_contact else "controllers silent",
            version=self.version,
            newest=self._announcer.newest,
            silent_ms=silence_ms,
            asked=self._announcer.list_asked(now_ms),
        )

    def apply_view(
        self, address: str, view: viewmessages.View, now_ms: int
    ) -> announcer.ViewUpdate | None:
        """Merge the view that a controller or another process answered with.

        Args:
            address: Address of the sender.
            view: View of the sender.
            now_ms: Monotonic time in ms.

        Returns:
            The change of the view; None if nothing has changed.
        """
        stated = set(self._announcer.controllers.stated)
        silence_ms = self.find_silence_ms(now_ms)
        update = self._announcer.apply_view(address, view, now_ms)
        if set(self._announcer.controllers.stated) != stated:
            self._log_controllers(address)
        self._log_contact(now_ms, silence_ms)
        if update is not None:
            _log.info(
                "view changed",
                source=address,
                version=self.version,
                document_age_ms=update.document_age_ms,
                document_bytes=len(update.document or b""),
                domains_out=sorted(update.domains_out),
                peers=len(update.peers),
            )
        for send in self._announcer.list_fetches(now_ms):
            self._log_fetch(send, now_ms)
            self._send(send.peer, send.message)
        return update
