"""Parts of a document, of which each fits on a slow link beside other messages."""

from collections.abc import Mapping

import attrs

from amaranthspar.membership import documents
from amaranthspar.schema import viewmessages

PART_BYTES = 32 * 1024
"""Size of a part: 130 ms on a link of 2 Mbit/s, where a link is replaced after 480 ms
without an acknowledgement."""
RETRY_MS = 400
"""Time after which a part is requested again, from another process; two requests without
an answer fit into the 2 s within which every gateway should use a new document."""
MAX_RETRY_MS = 3_200
"""Maximum of this time, which doubles with each request without an answer: more copies
on a slow link would delay those on the way."""
RETRY_FACTOR = 3
"""Multiple of the time that the last part took, after which the next one is late."""


@attrs.frozen(slots=True)
class Part:
    """Part of a document.

    Attributes:
        version: Version of the document.
        offset: Offset of the part in the document.
        size: Size of the whole document in bytes.
        content: Bytes of the part.
    """

    version: int
    offset: int
    size: int
    content: bytes


def cut_part(
    held: Mapping[int, bytes], request: viewmessages.Announce | viewmessages.FetchView
) -> Part | None:
    """Return the part that a process requests.

    A document that was begun is continued while its version is held, so that changes in
    quick succession do not delay a slow process for ever.

    Args:
        held: Contents by version.
        request: Request of the process.

    Returns:
        The part; None if it requests none, or none that is newer than its own.
    """
    if not (request.wants_document and held):
        return None
    version, offset = max(held), 0
    if version <= request.document_version:
        return None
    if request.document_version < request.part_version and request.part_version in held:
        version, offset = request.part_version, max(request.part_offset, 0)
    content = held[version]
    if offset >= len(content):
        offset = 0
    size = request.max_part_bytes if request.max_part_bytes > 0 else len(content)
    return Part(version, offset, len(content), content[offset : offset + size])


def add_part(view: viewmessages.View, part: Part | None) -> viewmessages.View:
    """Return an answer with a part of a document.

    Args:
        view: Answer without a document.
        part: The part; None for none.
    """
    if part is None:
        return view
    return attrs.evolve(
        view,
        document=part.content,
        part_version=part.version,
        part_offset=part.offset,
        document_size=part.size,
    )


def read_part(view: viewmessages.View) -> Part | None:
    """Return the part of a document in an answer; None if there is none.

    Args:
        view: Answer of another process.
    """
    if not view.document:
        return None
    has_version = view.part_version != documents.NO_VERSION
    return Part(
        view.part_version if has_version else view.document_version,
        view.part_offset,
        view.document_size or len(view.document),
        view.document,
    )


class Transfer:
    """Fetches a document in parts, one request at a time.

    The next part is requested when the one before has arrived, so that a process never
    has more on its link than it can take. A process that does not answer is replaced by
    another one, which continues where it stopped.

    Attributes:
        version: Version of the document on its way; -1 for none.
        source: Address of the process that was asked last; empty for none.
        tries: Number of requests since the last part arrived.
    """

    def __init__(self) -> None:
        self.version = documents.NO_VERSION
        self.source = ""
        self._size = 0
        self._content = bytearray()
        self.tries = 0
        self._first_asked_ms = 0
        self._asked_ms = 0
        self._retry_ms = RETRY_MS

    @property
    def offset(self) -> int:
        """Number of bytes that have arrived."""
        return len(self._content)

    def is_due(self, now_ms: int) -> bool:
        """Return whether a part is to be requested.

        Args:
            now_ms: Monotonic time in ms.
        """
        return not self.tries or now_ms - self._asked_ms >= self._retry_ms

    def note_request(self, source: str, now_ms: int) -> None:
        """Note that a part is requested.

        Args:
            source: Address of the process that is asked.
            now_ms: Monotonic time in ms.
        """
        if self.tries:
            self._retry_ms = min(2 * self._retry_ms, MAX_RETRY_MS)
        else:
            self._first_asked_ms = now_ms
        self.tries += 1
        self.source = source
        self._asked_ms = now_ms

    def forget_request(self) -> None:
        """Forget the request under way, so that the next one is due at once."""
        self.tries = 0
        self._retry_ms = RETRY_MS

    def receive(self, part: Part, now_ms: int) -> bytes | None:
        """Add a part.

        Args:
            part: Part that was received, of any process.
            now_ms: Monotonic time in ms.

        Returns:
            The whole document once it has arrived; None before.
        """
        if part.version > self.version and not part.offset:
            self._begin(part.version, part.size)
        if (part.version, part.size) != (self.version, self._size):
            return None
        if part.offset != len(self._content):
            return None
        self._content += part.content
        if self.tries:
            took_ms = now_ms - self._first_asked_ms
            self._retry_ms = min(max(RETRY_MS, RETRY_FACTOR * took_ms), MAX_RETRY_MS)
        self.tries = 0
        if len(self._content) < self._size:
            return None
        content = bytes(self._content)
        self._begin(documents.NO_VERSION, 0)
        self._retry_ms = RETRY_MS
        return content

    def _begin(self, version: int, size: int) -> None:
        self.version = version
        self._size = size
        self._content.clear()
