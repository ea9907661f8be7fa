"""Replicated routing document, and the failure domains that are out of service."""

import attrs

from amaranthspar.schema import viewmessages

NO_VERSION = -1
"""Version before the first document."""


@attrs.define(slots=True)
class Documents:
    """State set by committed entries; the document of the highest version is in force.

    Attributes:
        version: Version of the document.
        content: Content of the document, which is opaque here.
        domains_revision: Number that grows with each change of the domains.
        domains_out: Failure domains in which no run may start.
    """

    version: int = NO_VERSION
    content: bytes = b""
    domains_revision: int = 0
    domains_out: set[str] = attrs.field(factory=set)

    def put(self, command: viewmessages.PutDocument) -> None:
        """Store a document if its version is higher than the stored one.

        Args:
            command: Committed entry.
        """
        if command.version > self.version:
            self.version = command.version
            self.content = command.content

    def set_domain(self, command: viewmessages.SetDomain) -> None:
        """Take a failure domain out of service or put it back into service.

        Args:
            command: Committed entry.
        """
        if command.is_out is (command.domain in self.domains_out):
            return
        self.domains_revision += 1
        if command.is_out:
            self.domains_out.add(command.domain)
        else:
            self.domains_out.discard(command.domain)

    def answer(self, request: str) -> viewmessages.DocumentState:
        """Return the answer to a change that was applied.

        Args:
            request: Unique name of the request.
        """
        return viewmessages.DocumentState(request, self.version)

    def fetch(self, request: str) -> viewmessages.DocumentState:
        """Return the answer to a fetch, with the document.

        Args:
            request: Unique name of the request.
        """
        return viewmessages.DocumentState(request, self.version, self.content)
