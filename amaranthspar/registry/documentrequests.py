"""Requests for the routing document and the failure domains, and their answers."""

import asyncio
import secrets
from collections.abc import Callable

from amaranthspar import errors
from amaranthspar.schema import codec, viewmessages

TRY_MS = 350
"""Time after which a request is sent again, as the leader may have changed."""
TOTAL_MS = 900
"""Time for all tries; operators' tools turn to another controller after 1 s."""
REQUEST_BYTES = 8
"""Random bytes of a request's name."""


class UnavailableError(errors.InputOutputError):
    """No leader answered in time; what was asked may still happen."""


class DocumentRequests:
    """Requests that wait for an answer.

    Args:
        send: Hands a message to the controllers.
    """

    def __init__(self, send: Callable[[codec.Message], None]) -> None:
        self._send = send
        self._waiting: dict[str, asyncio.Future[viewmessages.DocumentState]] = {}

    async def put(self, version: int, content: bytes) -> viewmessages.DocumentState:
        """Put a document in force unless a higher version is.

        Args:
            version: Version of the document.
            content: The document.

        Raises:
            UnavailableError: It may or may not be in force.
        """
        name = _build_name()
        return await self._ask(name, viewmessages.PutDocument(name, version, content))

    async def set_domain(self, domain: str, is_out: bool) -> viewmessages.DocumentState:
        """Take a failure domain out of service or back in.

        Args:
            domain: Failure domain.
            is_out: Whether no runs may start there.

        Raises:
            UnavailableError: It may or may not be in force.
        """
        name = _build_name()
        return await self._ask(name, viewmessages.SetDomain(name, domain, is_out))

    async def fetch(self) -> viewmessages.DocumentState:
        """Return the newest document, as confirmed by a majority.

        Raises:
            UnavailableError: No leader could confirm one in time.
        """
        name = _build_name()
        return await self._ask(name, viewmessages.FetchDocument(name))

    def resolve(self, state: viewmessages.DocumentState) -> None:
        """Take an answer; one that nobody waits for is dropped.

        Args:
            state: Answer of the leader.
        """
        future = self._waiting.get(state.request)
        if future is not None and not future.done():
            future.set_result(state)

    async def _ask(
        self, name: str, request: codec.Message
    ) -> viewmessages.DocumentState:
        future: asyncio.Future[viewmessages.DocumentState]
        future = asyncio.get_running_loop().create_future()
        self._waiting[name] = future
        try:
            for start_ms in range(0, TOTAL_MS, TRY_MS):
                self._send(request)
                wait_ms = min(TRY_MS, TOTAL_MS - start_ms)
                done, _ = await asyncio.wait([future], timeout=wait_ms / 1000)
                if done:
                    return future.result()
            unavailable = UnavailableError(f"no leader answered in {TOTAL_MS} ms")
            raise unavailable
        finally:
            del self._waiting[name]
            future.cancel()


def _build_name() -> str:
    return secrets.token_hex(REQUEST_BYTES)
