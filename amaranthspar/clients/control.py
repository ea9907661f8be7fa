"""Client of the controllers, for requests of a gateway."""

import asyncio
import itertools
from collections.abc import Hashable

from amaranthspar import errors
from amaranthspar.membership import controllers
from amaranthspar.network import links
from amaranthspar.schema import bodies, codec, messages

ATTEMPT_TIMEOUT_MS = 700
"""Time in ms to wait for one controller before the next one is asked."""
TIMEOUT_MS = 6000
"""Time in ms after which a request fails; rounded down to whole attempts."""


class ControlUnavailableError(errors.InputOutputError):
    """No controller answered in time; the request may still take effect."""


class ControllerClient:
    """Sends a request to one controller after another until one answers.

    Args:
        link: Links of this process to its peers.
        known: Addresses of the controllers, which change while the process runs.
    """

    def __init__(self, link: links.Links, known: controllers.Controllers) -> None:
        self._links = link
        self._controllers = known
        self._position = 0
        self._request_numbers = itertools.count(1)
        self._pending: dict[Hashable, asyncio.Future[codec.Message]] = {}

    @property
    def _target(self) -> str:
        """Address of the controller to ask; the settings' ones follow the stated set."""
        addresses = self._controllers.list_known()
        return addresses[self._position % len(addresses)]

    async def propose(
        self, proposal: messages.ProposeConfiguration
    ) -> messages.ConfigurationDecided:
        """Propose a configuration; the change id makes a retry safe.

        Raises:
            ControlUnavailableError: The outcome is unknown.
        """
        answer = await self._request(("change", proposal.change_id), proposal)
        assert isinstance(answer, messages.ConfigurationDecided)
        return answer

    async def fetch(self, version: int) -> messages.ConfigurationFetched:
        """Fetch a configuration.

        Args:
            version: Version to fetch; 0 for the newest.

        Raises:
            ControlUnavailableError: No controller answered.
        """
        number = next(self._request_numbers)
        request = messages.FetchConfiguration(number, version)
        answer = await self._request(("fetch", number), request)
        assert isinstance(answer, messages.ConfigurationFetched)
        return answer

    async def replace_replica(
        self, replacement: bodies.Replacement, operator: str
    ) -> messages.ReplicasChanged:
        """Replace a replica or fetch the set of replicas; a retry is safe.

        Args:
            replacement: Replicas to remove and add; empty fields to only fetch the
                set.
            operator: Name of the operator's account.

        Raises:
            ControlUnavailableError: The outcome is unknown.
        """
        number = next(self._request_numbers)
        request = messages.ReplaceReplica(
            number,
            replacement.removed,
            replacement.added,
            replacement.address,
            operator,
        )
        answer = await self._request(("replicas", number), request)
        assert isinstance(answer, messages.ReplicasChanged)
        return answer

    async def claim(self, claim: messages.ClaimSubmission) -> messages.ClaimDecided:
        """Claim an idempotency key for a submission; a retry is safe.

        Raises:
            ControlUnavailableError: The outcome of the claim is unknown.
        """
        answer = await self._request(("claim", claim.key, claim.submission), claim)
        assert isinstance(answer, messages.ClaimDecided)
        return answer

    def send(self, message: codec.Message) -> None:
        """Send a message that needs no answer to a controller.

        Args:
            message: Message; it may be lost.
        """
        self._links.send(self._target, message)

    def handle(self, message: codec.Message) -> None:
        """Process an answer of a controller.

        Args:
            message: Answer; it is dropped if no request is pending for it.
        """
        match message:
            case messages.ConfigurationDecided():
                if message.outcome != "unavailable":
                    self._resolve(("change", message.change_id), message)
            case messages.ConfigurationFetched():
                self._resolve(("fetch", message.request), message)
            case messages.ReplicasChanged():
                self._resolve(("replicas", message.request), message)
            case messages.ClaimDecided():
                if message.submission:
                    self._resolve_claims(message)
            case _:
                pass

    def _resolve_claims(self, decision: messages.ClaimDecided) -> None:
        for key in list(self._pending):
            if isinstance(key, tuple) and key[:2] == ("claim", decision.key):
                self._resolve(key, decision)

    def _resolve(self, key: Hashable, message: codec.Message) -> None:
        future = self._pending.get(key)
        if future is not None and not future.done():
            future.set_result(message)

    async def _request(self, key: Hashable, request: codec.Message) -> codec.Message:
        """Send a request until it is answered; join a pending one of the same key."""
        loop = asyncio.get_running_loop()
        future = self._pending.get(key)
        if future is not None:
            return await asyncio.shield(future)
        future = loop.create_future()
        self._pending[key] = future
        try:
            for _ in range(TIMEOUT_MS // ATTEMPT_TIMEOUT_MS):
                self._links.send(self._target, request)
                done, _ = await asyncio.wait(
                    [future], timeout=ATTEMPT_TIMEOUT_MS / 1000
                )
                if done:
                    return future.result()
                self._position += 1
            error = ControlUnavailableError("no controller answered")
            raise error
        finally:
            del self._pending[key]
            future.cancel()
