"""Requests of a gateway to the controllers."""

import asyncio
import itertools
from collections.abc import Hashable

from amaranthspar import errors
from amaranthspar.network import links
from amaranthspar.schema import bodies, codec, messages

ATTEMPT_TIMEOUT_MS = 700
TIMEOUT_MS = 6000


class ControlUnavailableError(errors.InputOutputError):
    """No controller answered in time; what was asked may still happen."""


class ControllerClient:
    """Asks one controller after another until one answers.

    Args:
        link: Links of this process.
        controllers: Addresses of the controllers.
    """

    def __init__(self, link: links.Links, controllers: list[str]) -> None:
        self._links = link
        self._controllers = itertools.cycle(controllers)
        self._target = next(self._controllers)
        self._numbers = itertools.count(1)
        self._waiting: dict[Hashable, asyncio.Future[codec.Message]] = {}

    async def propose(
        self, proposal: messages.ProposeConfiguration
    ) -> messages.ConfigurationDecided:
        """Propose a configuration; the change id makes repeats safe.

        Raises:
            ControlUnavailableError: The outcome is not known.
        """
        answer = await self._ask(("change", proposal.change_id), proposal)
        assert isinstance(answer, messages.ConfigurationDecided)
        return answer

    async def fetch(self, version: int) -> messages.ConfigurationFetched:
        """Fetch a configuration.

        Args:
            version: Version wanted; 0 for the newest.

        Raises:
            ControlUnavailableError: No controller could answer.
        """
        number = next(self._numbers)
        request = messages.FetchConfiguration(number, version)
        answer = await self._ask(("fetch", number), request)
        assert isinstance(answer, messages.ConfigurationFetched)
        return answer

    async def replace_replica(
        self, replacement: bodies.Replacement, operator: str
    ) -> messages.ReplicasChanged:
        """Replace a replica, or fetch the set; repeats of the same are safe.

        Args:
            replacement: What to replace; nothing to fetch the set.
            operator: Name of the operator's account.

        Raises:
            ControlUnavailableError: The outcome is not known.
        """
        number = next(self._numbers)
        request = messages.ReplaceReplica(
            number,
            replacement.removed,
            replacement.added,
            replacement.address,
            operator,
        )
        answer = await self._ask(("replicas", number), request)
        assert isinstance(answer, messages.ReplicasChanged)
        return answer

    async def claim(self, claim: messages.ClaimSubmission) -> messages.ClaimDecided:
        """Claim a keyed submission; repeats of the same claim are safe.

        Raises:
            ControlUnavailableError: The claim may or may not be held.
        """
        answer = await self._ask(("claim", claim.key, claim.submission), claim)
        assert isinstance(answer, messages.ClaimDecided)
        return answer

    def send(self, message: codec.Message) -> None:
        """Send a controller something that needs no answer.

        Args:
            message: Message that may get lost.
        """
        self._links.send(self._target, message)

    def handle(self, message: codec.Message) -> None:
        """Take a controller's answer.

        Args:
            message: Answer; one that nobody waits for is dropped.
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

    def _resolve_claims(self, decided: messages.ClaimDecided) -> None:
        for name in list(self._waiting):
            if isinstance(name, tuple) and name[:2] == ("claim", decided.key):
                self._resolve(name, decided)

    def _resolve(self, name: Hashable, message: codec.Message) -> None:
        future = self._waiting.get(name)
        if future is not None and not future.done():
            future.set_result(message)

    async def _ask(self, name: Hashable, request: codec.Message) -> codec.Message:
        loop = asyncio.get_running_loop()
        future = self._waiting.get(name)
        if future is not None:
            return await asyncio.shield(future)
        future = loop.create_future()
        self._waiting[name] = future
        try:
            for _ in range(TIMEOUT_MS // ATTEMPT_TIMEOUT_MS):
                self._links.send(self._target, request)
                done, _ = await asyncio.wait(
                    [future], timeout=ATTEMPT_TIMEOUT_MS / 1000
                )
                if done:
                    return future.result()
                self._target = next(self._controllers)
            unavailable = ControlUnavailableError("no controller answered")
            raise unavailable
        finally:
            del self._waiting[name]
            future.cancel()
