"""Requests of an operator to any of several gateways, repeated until answered."""

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import TypeVar

from amaranthspar import configuration, errors
from amaranthspar.clients import access, client
from amaranthspar.schema import messages

Result = TypeVar("Result")

RETRY_INTERVAL_MS = 250
NOT_FOUND = 404
UNAVAILABLE = 503
ACCEPTED = "accepted"
CONFLICT = "conflict"


class UnknownDomainError(errors.InputOutputError):
    """The configuration has no failure domain of that name."""


class OperatorClient:
    """Asks one gateway after another; only requests that may be repeated.

    Args:
        wanted: Gateways and token.
        timeout_ms: Time for which requests are repeated in ms.
    """

    def __init__(self, wanted: access.Access, timeout_ms: int) -> None:
        self._clients = [
            client.Client(url, wanted.token, timeout_ms) for url in wanted.gateways
        ]
        self._timeout_ms = timeout_ms

    async def close(self) -> None:
        """Close every connection."""
        for item in self._clients:
            await item.close()

    async def retry(self, ask: Callable[[client.Client], Awaitable[Result]]) -> Result:
        """Ask the gateways in turn until one gives a final answer.

        Args:
            ask: Sends the request through a client; it must be safe to repeat.

        Raises:
            client.RefusedError: A gateway refused for good, or all were
                unavailable until the time was over.
            client.ClientError: No gateway answered in time.
        """
        until = time.monotonic() + self._timeout_ms / 1000
        number = 0
        while True:
            item = self._clients[number % len(self._clients)]
            number += 1
            left_s = until - time.monotonic()
            try:
                return await asyncio.wait_for(ask(item), max(left_s, 0.001))
            except client.RefusedError as error:
                if error.problem.status != UNAVAILABLE:
                    raise
                failure: client.ClientError = error
            except client.ClientError as error:
                failure = error
            except TimeoutError as error:
                raise client.ClientError("no gateway answered in time") from error
            if time.monotonic() + RETRY_INTERVAL_MS / 1000 >= until:
                raise failure
            if number % len(self._clients) == 0:
                await asyncio.sleep(RETRY_INTERVAL_MS / 1000)

    async def fetch_configuration(
        self, version: int = 0
    ) -> messages.ConfigurationFetched:
        """Fetch a configuration and the latest history.

        Args:
            version: Version wanted; 0 for the newest.

        Raises:
            client.ClientError: No gateway gave it.
        """
        return await self.retry(lambda item: item.fetch_configuration(version))

    async def submit_configuration(
        self, text: str, base_version: int, change_id: str
    ) -> messages.ConfigurationDecided:
        """Submit a configuration until its outcome is known.

        Args:
            text: INI text.
            base_version: Version that it is based on.
            change_id: Unique name of the change.

        Raises:
            client.ClientError: The outcome is unknown.
        """
        return await self.retry(
            lambda item: item.submit_configuration(text, base_version, change_id)
        )

    async def set_domain_state(
        self, name: str, state: str
    ) -> messages.ConfigurationDecided:
        """Take a failure domain out of service or back in.

        Reads the newest configuration and submits it with that one change. A
        conflict with another operator's change starts anew; a lost answer is
        asked for again under the same change id, so that no change of a later
        operator is undone.

        Args:
            name: Failure domain name.
            state: ``in`` or ``out``.

        Raises:
            UnknownDomainError: The configuration has no such failure domain.
            client.ClientError: The outcome is unknown.
        """
        while True:
            fetched = await self.fetch_configuration()
            settings = configuration.parse_text(fetched.text)
            domain = settings.domains.get(name)
            if domain is None:
                known = ", ".join(sorted(settings.domains)) or "none"
                raise UnknownDomainError(f"no failure domain {name!r}, known: {known}")
            if domain.state == state:
                return messages.ConfigurationDecided("", ACCEPTED, fetched.version, [])
            settings.add_domain(name, state=state)
            decided = await self.submit_configuration(
                str(settings), fetched.version, str(uuid.uuid4())
            )
            if decided.outcome != CONFLICT:
                return decided

    async def submit_job(
        self, service: str, body: bytes, headers: dict[str, str]
    ) -> client.Reply:
        """Submit a job under an idempotency key, again after a lost answer.

        Args:
            service: Service name.
            body: JSON with the tasks.
            headers: Headers, among them ``Idempotency-Key``.

        Raises:
            client.ClientError: No gateway answered.
        """
        return await self.retry(lambda item: item.submit_job(service, body, headers))

    async def find_job(self, job: str, method: str) -> client.Reply:
        """Ask each gateway for a job until one knows it.

        Args:
            job: Job id.
            method: ``GET`` to show it, ``DELETE`` to cancel it.

        Raises:
            client.ClientError: No gateway answered.
        """
        missing: client.Reply | None = None
        failure: client.ClientError | None = None
        for item in self._clients:
            try:
                reply = await item.call(method, f"/v1/jobs/{client.quote(job)}")
            except client.ClientError as error:
                failure = error
                continue
            if reply.status != NOT_FOUND:
                return reply
            missing = reply
        if failure is not None:
            raise failure
        assert missing is not None
        return missing
