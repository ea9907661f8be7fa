"""Replicated routing document, and the failure domains that are out of service."""

import attrs

from amaranthspar.schema import viewmessages

NO_VERSION = -1
"""Version before the first document."""
NO_VIEW_AGE_MS = -1
"""Age of the view of a process without a view that a majority has confirmed."""
ANY_ORDER = -1
"""Base of an order on domains that holds after any other."""
MAX_PREVIOUS = 3
"""Number of previous documents kept for processes that are receiving one of them."""


@attrs.define(slots=True)
class Documents:
    """State set by committed entries; the document of the highest version is in force.

    Attributes:
        version: Version of the document.
        content: Content of the document, which is opaque here.
        domains_revision: Number that grows with each change of the domains.
        domains_out: Failure domains in which no run may start.
        newest_order: Number of the order on domains that was taken last.
        newest_order_name: Its request name.
        previous: Previous documents with their versions, the newest first. They are not
            part of the replicated state.
    """

    version: int = NO_VERSION
    content: bytes = b""
    domains_revision: int = 0
    domains_out: set[str] = attrs.field(factory=set)
    newest_order: int = 0
    newest_order_name: str = ""
    previous: tuple[tuple[int, bytes], ...] = ()

    def list_held(self) -> dict[int, bytes]:
        """Return the contents of the documents held, by version."""
        held = dict(self.previous)
        if self.version != NO_VERSION:
            held[self.version] = self.content
        return held

    def put(self, command: viewmessages.PutDocument) -> None:
        """Store a document if its version is higher than the stored one.

        Args:
            command: Committed entry.
        """
        if command.version > self.version:
            if self.version != NO_VERSION:
                kept = self.previous[: MAX_PREVIOUS - 1]
                self.previous = ((self.version, self.content), *kept)
            self.version = command.version
            self.content = command.content

    def set_domain(self, command: viewmessages.SetDomain) -> bool:
        """Take a failure domain out of service or put it back into service.

        An order is dropped if another one was taken after its receiver got it: it was
        delayed on the way, and its sender may have replaced it. An order that changes
        nothing counts, too, as a delayed one must not undo it either.

        Args:
            command: Committed entry.

        Returns:
            Whether the order holds; repeated, the newest one holds again.
        """
        if command.base_order not in (ANY_ORDER, self.newest_order):
            return command.request == self.newest_order_name
        self.newest_order += 1
        self.newest_order_name = command.request
        if command.is_out is (command.domain in self.domains_out):
            return True
        self.domains_revision += 1
        if command.is_out:
            self.domains_out.add(command.domain)
        else:
            self.domains_out.discard(command.domain)
        return True

    def answer(
        self, request: str, is_outdated: bool = False
    ) -> viewmessages.DocumentState:
        """Return the answer to a change that was applied or dropped.

        Args:
            request: Unique name of the request.
            is_outdated: Whether the change was dropped.
        """
        return viewmessages.DocumentState(
            request,
            self.version,
            newest_order=self.newest_order,
            is_outdated=is_outdated,
        )

    def fetch(self, request: str) -> viewmessages.DocumentState:
        """Return the answer to a fetch, with the document.

        Args:
            request: Unique name of the request.
        """
        return viewmessages.DocumentState(request, self.version, self.content)
