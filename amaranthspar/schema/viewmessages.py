"""Classes of the schema file ``schema/viewmessages.yaml``; generated."""

from __future__ import annotations

from typing import Any, Literal, TypeAlias

import attrs

ViewMessages: TypeAlias = Any


@attrs.frozen(slots=True)
class Announce:
    """Announces a running process to a controller and requests what has changed.

    Attributes:
        process: Unique process name.
        role: Role of the process.
        incarnation: Start time of the process in ms.
        address: Address at which the process listens.
        service: Service of a sidecar's upstream; empty for a gateway.
        failure_domain: Failure domain of the process.
        is_leaving: Whether the process is stopping.
        document_version: Version of the document that the process holds; -1 for none.
        domains_revision: Revision of `domains_out` that the process holds.
        wants_document: Whether the controller should send a newer document.
        wants_peers: Whether the controller should send a changed list of processes.
        peers_digest: Digest of the list that this controller sent last; 0 for none.
        part_version: Version of which the process holds the first bytes; -1 for none.
        part_offset: Number of these bytes.
        max_part_bytes: Largest part of a document that one answer may hold; 0 for whole documents.
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
    part_version: int = -1
    part_offset: int = 0
    max_part_bytes: int = 0


@attrs.frozen(slots=True)
class Peer:
    """A running process in the list of the controllers.

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
    """Answers an announcement with the current state of the controller.

    Attributes:
        document_version: Newest document version that the controller has applied; -1 for none.
        domains_revision: Revision of `domains_out`.
        domains_out: Failure domains that are out of service.
        controllers: Addresses of all controllers.
        peers: Processes that were added or changed since `peers_base`.
        peers_gone: Names of the processes in `peers_base` that are no longer in the list.
        peers_base: Digest of the list to which the changes apply; 0 if `peers` is the complete list.
        peers_digest: Digest of the list after the changes.
        document: Document, or a part of it, if it is newer than the version held and was requested.
        controllers_revision: Revision of `controllers`; 0 for an unknown one.
        view_age_ms: Age in ms of the sender's quorum-confirmed view; -1 for none, as from a process that is no controller.
        part_version: Version of `document`; -1 for `document_version`.
        part_offset: Offset of `document` in the whole one.
        document_size: Size of the whole document; 0 if `document` is the whole one.
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
    controllers_revision: int = 0
    view_age_ms: int = 0
    part_version: int = -1
    part_offset: int = 0
    document_size: int = 0


@attrs.frozen(slots=True)
class FetchView:
    """Requests newer parts of the view of another process, while no controller answers.

    Attributes:
        controllers_revision: Revision of the set of controllers that the sender holds; 0 for none.
        document_version: Version of the document that the sender holds; -1 for none.
        newest_version: Newest document version that the sender knows of; -1 for none.
        domains_revision: Revision of `domains_out` that the sender holds; -1 for none.
        wants_document: Whether the receiver should send a newer document.
        part_version: Version of which the process holds the first bytes; -1 for none.
        part_offset: Number of these bytes.
        max_part_bytes: Largest part of a document that one answer may hold; 0 for whole documents.
    """

    controllers_revision: int
    document_version: int
    newest_version: int
    domains_revision: int
    wants_document: bool
    part_version: int = -1
    part_offset: int = 0
    max_part_bytes: int = 0


@attrs.frozen(slots=True)
class PutDocument:
    """Proposes the routing document; the highest version wins.

    Attributes:
        request: Unique id of the request.
        version: Version of the document.
        content: Content of the document, which controllers do not interpret.
    """

    request: str
    version: int
    content: bytes


@attrs.frozen(slots=True)
class SetDomain:
    """Takes a failure domain out of service or puts it back.

    Attributes:
        request: Unique id of the request.
        domain: Name of the failure domain.
        is_out: Whether no new runs may start in the failure domain.
        base_order: Number of the newest order on domains that the receiver of this one knew; it is dropped after any other. -1 for none of these.
    """

    request: str
    domain: str
    is_out: bool
    base_order: int = -1


@attrs.frozen(slots=True)
class FetchDocument:
    """Requests the newest document, confirmed by a majority of the controllers.

    Attributes:
        request: Unique id of the request.
    """

    request: str


@attrs.frozen(slots=True)
class DocumentState:
    """Answers `PutDocument`, `SetDomain` and `FetchDocument`.

    Attributes:
        request: Copied from the request.
        version: Newest document version; -1 for none.
        content: Content of the document, in the answer to `FetchDocument`.
        newest_order: Number of the newest order on domains.
        is_outdated: Whether `SetDomain` was dropped, as its base is not the newest order.
    """

    request: str
    version: int
    content: bytes = b""
    newest_order: int = 0
    is_outdated: bool = False
