"""A process's contact with the controllers: announcements out, newer views in."""

from collections.abc import Callable
from typing import Literal

import structlog

from amaranthspar import processes
from amaranthspar.membership import announcer, documents
from amaranthspar.schema import codec, viewmessages

_log = structlog.get_logger()


class Contact:
    """View of one process, with a log line for each change of it.

    Args:
        place: Name and addresses of the process.
        role: Role of the process.
        service: Service of its upstream; empty for a gateway.
        failure_domain: Failure domain of the process.
        incarnation: Incarnation of the process.
        send: Sends a message to an address.
    """

    def __init__(
        self,
        place: processes.ProcessSettings,
        role: Literal["gateway", "sidecar"],
        service: str,
        failure_domain: str,
        incarnation: int,
        send: Callable[[str, codec.Message], None],
    ) -> None:
        own = viewmessages.Announce(
            process=place.name,
            role=role,
            incarnation=incarnation,
            address=place.listen,
            service=service,
            failure_domain=failure_domain,
            is_leaving=False,
            document_version=documents.NO_VERSION,
            domains_revision=0,
            wants_document=False,
            wants_peers=role == "gateway",
            peers_digest=0,
        )
        self._announcer = announcer.Announcer(own, place.controllers)
        self._send = send
        self._was_heard = False

    @property
    def version(self) -> int:
        """Version of the routing document held."""
        return self._announcer.version

    def note_leaving(self) -> None:
        """Tell controllers from now on that the process is stopping."""
        self._announcer.note_leaving()

    def tick(self, now_ms: int) -> None:
        """Send the announcements that are due.

        Args:
            now_ms: Monotonic time in ms.
        """
        for send in self._announcer.tick(now_ms):
            match send.message:
                case viewmessages.Announce(wants_document=True):
                    _log.info(
                        "document asked",
                        source=send.peer,
                        held=self.version,
                        newest=self._announcer.newest,
                        age_ms=self._announcer.find_document_age_ms(now_ms),
                    )
            self._send(send.peer, send.message)
        is_heard = self._announcer.is_in_touch(now_ms)
        if is_heard is not self._was_heard:
            self._was_heard = is_heard
            event = "controllers heard" if is_heard else "controllers silent"
            _log.info(event, version=self.version)

    def take(
        self, address: str, view: viewmessages.View, now_ms: int
    ) -> announcer.Changed | None:
        """Take a controller's answer.

        Args:
            address: Address of the controller.
            view: What it knows.
            now_ms: Monotonic time in ms.

        Returns:
            The view, if it has changed.
        """
        changed = self._announcer.take(address, view, now_ms)
        if changed is not None:
            _log.info(
                "view changed",
                source=address,
                version=self.version,
                document_age_ms=changed.document_age_ms,
                domains_out=sorted(changed.domains_out),
                peers=len(changed.peers),
            )
        return changed
