"""Classes of the schema file ``schema/viewmessages.yaml``; generated."""

from __future__ import annotations

from typing import Any, Literal, TypeAlias

import attrs

ViewMessages: TypeAlias = Any


@attrs.frozen(slots=True)
class Announce:
    """Tells a controller of a process that runs, and asks what changed.

    Attributes:
        process: Unique process name.
        role: Role of the process.
        incarnation: Start time of the process in ms.
        address: Address at which the process listens.
        service: Service of a sidecar's upstream; empty for a gateway.
        failure_domain: Failure domain of the process.
        is_leaving: Whether the process is stopping.
        document_version: Version of the document held; -1 for none.
        domains_revision: Revision of the domains out that is held.
        wants_document: Whether a newer document is to be sent.
        wants_peers: Whether a changed list of processes is to be sent.
        peers_digest: Digest of the list that this controller sent last; 0 for none.
    """

    process: str
    role: Literal["gateway", "sidecar"]
    incarnation: int
    address: str
    service: str
    failure_domain: str
    is_leaving: bool
    document_version: int
    domains_revision: int
    wants_document: bool
    wants_peers: bool
    peers_digest: int


@attrs.frozen(slots=True)
class Peer:
    """A process as controllers know it.

    Attributes:
        process: Unique process name.
        role: `gateway` or `sidecar`.
        incarnation: Start time of the process in ms.
        address: Address at which the process listens.
        service: Service of a sidecar's upstream.
        failure_domain: Failure domain of the process.
        is_leaving: Whether the process is stopping.
    """

    process: str
    role: str
    incarnation: int
    address: str
    service: str
    failure_domain: str
    is_leaving: bool


@attrs.frozen(slots=True)
class View:
    """What a controller knows; answers an announcement.

    Attributes:
        document_version: Newest document version applied; -1 for none.
        domains_revision: Revision of the domains out.
        domains_out: Failure domains that are out of service.
        controllers: Addresses of all controllers.
        peers: Processes that are new or have changed since `peers_base`.
        peers_gone: Names of processes listed in `peers_base` and no longer known.
        peers_base: Digest of the list that this changes; 0 if the peers are the whole list.
        peers_digest: Digest of the list as it is now.
        document: The document, where it is newer and wanted.
    """

    document_version: int
    domains_revision: int
    domains_out: list[str]
    controllers: list[str]
    peers: list[Peer]
    peers_gone: list[str]
    peers_base: int
    peers_digest: int
    document: bytes = b""


@attrs.frozen(slots=True)
class PutDocument:
    """Proposes the routing document; the highest version wins.

    Attributes:
        request: Unique name of the request.
        version: Version of the document.
        content: The document, which controllers do not read.
    """

    request: str
    version: int
    content: bytes


@attrs.frozen(slots=True)
class SetDomain:
    """Takes a failure domain out of service or back in.

    Attributes:
        request: Unique name of the request.
        domain: Failure domain.
        is_out: Whether no new runs may start there.
    """

    request: str
    domain: str
    is_out: bool


@attrs.frozen(slots=True)
class FetchDocument:
    """Asks for the newest document, confirmed by a majority.

    Attributes:
        request: Unique name of the request.
    """

    request: str


@attrs.frozen(slots=True)
class DocumentState:
    """Answers `PutDocument`, `SetDomain` and `FetchDocument`.

    Attributes:
        request: Copied from the request.
        version: Newest version; -1 for none.
        content: The document where it was fetched.
    """

    request: str
    version: int
    content: bytes = b""
