"""Sends requests for the routing document and failure domains, and awaits answers."""

import asyncio
import secrets
from collections.abc import Callable

from amaranthspar import clock, errors
from amaranthspar.membership import pauses
from amaranthspar.schema import codec, viewmessages

RETRY_INTERVAL_MS = 350
"""Time after which an unanswered request is sent again, as the leader may have changed."""
TOTAL_TIMEOUT_MS = 900
"""Time for all attempts of a request; operators' tools switch to another controller after
1 s."""
HANG_UP_MS = 20
"""Wait before an order is passed on; a sender that has given up is noticed within a round
trip, which cancels the request."""
RESUBMIT_MS = 500
"""Time after its arrival in which an order is passed on again after a newer one; its sender
still waits for it."""
REQUEST_NAME_BYTES = 8
"""Number of random bytes in the unique name of a request."""


class UnavailableError(errors.InputOutputError):
    """No leader answered in time; the requested change may still be applied."""


class DelayedError(errors.InputOutputError):
    """An order is or may be older than another one and was not passed on."""


class DocumentRequests:
    """Requests of one controller that await an answer of the leader.

    Args:
        send: Function that submits a message to the controllers.
        read_newest_order: Function that returns the number of the newest order on
            domains that is known here.
    """

    def __init__(
        self,
        send: Callable[[codec.Message], None],
        read_newest_order: Callable[[], int],
    ) -> None:
        self._send = send
        self._read_newest_order = read_newest_order
        self._clock = clock.Clock()
        self.pauses = pauses.PauseWatch(self._clock.read_monotonic())
        self._waiting: dict[str, asyncio.Future[viewmessages.DocumentState]] = {}

    async def put(self, version: int, content: bytes) -> viewmessages.DocumentState:
        """Put a document in force unless a higher version is in force.

        Args:
            version: Version of the document.
            content: Content of the document.

        Raises:
            UnavailableError: No leader answered; the document may or may not be in force.
        """
        name = _build_name()
        return await self._send_until_answered(
            name, viewmessages.PutDocument(name, version, content)
        )

    async def set_domain(self, domain: str, is_out: bool) -> viewmessages.DocumentState:
        """Take a failure domain out of service or put it back into service.

        An order has no version of its own. It gets the number of the newest one at its
        arrival, so that it undoes no newer one if it is delayed from here on. One that
        may have waited before it was read is refused, since its sender may have given
        it up and sent another one; the sender then repeats an order that it still wants.

        Args:
            domain: Failure domain.
            is_out: Whether to prevent new runs in the domain.

        Raises:
            UnavailableError: No leader answered; the change may or may not be in force.
            DelayedError: The order is or may be older than another one.
        """
        received_ms = self._clock.read_monotonic()
        base = self._read_newest_order()
        self._check_pauses(received_ms)
        await asyncio.sleep(HANG_UP_MS / 1000)
        while True:
            name = _build_name()
            state = await self._send_until_answered(
                name, viewmessages.SetDomain(name, domain, is_out, base)
            )
            if not state.is_outdated:
                return state
            now_ms = self._clock.read_monotonic()
            self._check_pauses(now_ms)
            if now_ms - received_ms > RESUBMIT_MS:
                reason = f"order {base} was followed by {state.newest_order}"
                raise DelayedError(reason)
            base = state.newest_order

    def _check_pauses(self, now_ms: int) -> None:
        if self.pauses.may_have_waited(now_ms):
            raise DelayedError("the order may have waited while this process paused")

    async def fetch(self) -> viewmessages.DocumentState:
        """Return the newest document, as confirmed by a majority.

        Raises:
            UnavailableError: No leader could confirm a document in time.
        """
        name = _build_name()
        return await self._send_until_answered(name, viewmessages.FetchDocument(name))

    def resolve(self, state: viewmessages.DocumentState) -> None:
        """Pass an answer to its request; an answer without a waiting request is dropped.

        Args:
            state: Answer of the leader.
        """
        future = self._waiting.get(state.request)
        if future is not None and not future.done():
            future.set_result(state)

    async def _send_until_answered(
        self, name: str, request: codec.Message
    ) -> viewmessages.DocumentState:
        future: asyncio.Future[viewmessages.DocumentState]
        future = asyncio.get_running_loop().create_future()
        self._waiting[name] = future
        try:
            for start_ms in range(0, TOTAL_TIMEOUT_MS, RETRY_INTERVAL_MS):
                self._send(request)
                wait_ms = min(RETRY_INTERVAL_MS, TOTAL_TIMEOUT_MS - start_ms)
                done, _ = await asyncio.wait([future], timeout=wait_ms / 1000)
                if done:
                    return future.result()
            unavailable = UnavailableError(
                f"no leader answered in {TOTAL_TIMEOUT_MS} ms"
            )
            raise unavailable
        finally:
            del self._waiting[name]
            future.cancel()


def _build_name() -> str:
    return secrets.token_hex(REQUEST_NAME_BYTES)
