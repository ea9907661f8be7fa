"""Requests of an operator to several gateways, retried until one answers."""

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
"""Pause in ms after all gateways have been tried once."""
NOT_FOUND = 404
UNAVAILABLE = 503
ACCEPTED = "accepted"
CONFLICT = "conflict"


class UnknownDomainError(errors.InputOutputError):
    """The configuration has no failure domain of that name."""


class OperatorClient:
    """Client of several gateways, for requests that are safe to repeat.

    Args:
        find_access: Function that returns the gateways and the token. It is called
            again after all gateways have failed, as they may have been replaced.
        timeout_ms: Time in ms for which a request is retried.

    Raises:
        errors.SettingsError: No gateway or no token is given.
    """

    def __init__(
        self, find_access: Callable[[], access.Access], timeout_ms: int
    ) -> None:
        self._find_access = find_access
        self._timeout_ms = timeout_ms
        self._target = find_access()
        self._clients = self._build_clients()

    def _build_clients(self) -> list[client.Client]:
        return [
            client.Client(url, self._target.token, self._timeout_ms)
            for url in self._target.gateways
        ]

    async def _update_access(self) -> str:
        """Use changed gateways, and return why they could not be read, if so."""
        try:
            found = self._find_access()
        except errors.SettingsError as error:
            return str(error)
        if found != self._target:
            await self.close()
            self._target = found
            self._clients = self._build_clients()
        return ""

    async def close(self) -> None:
        """Close all connections."""
        for item in self._clients:
            await item.close()

    async def retry(self, send: Callable[[client.Client], Awaitable[Result]]) -> Result:
        """Send a request to the gateways in turn until one gives a final answer.

        Args:
            send: Sends the request with a client; it must be safe to repeat.

        Raises:
            client.RefusedError: A gateway refused the request with another status
                than 503, or answered 503 (unavailable) in the last attempt.
            client.ClientError: No gateway answered in time.
        """
        deadline_s = time.monotonic() + self._timeout_ms / 1000
        attempts = 0
        reason = ""
        while True:
            item = self._clients[attempts % len(self._clients)]
            attempts += 1
            remaining_s = deadline_s - time.monotonic()
            try:
                return await asyncio.wait_for(send(item), max(remaining_s, 0.001))
            except client.RefusedError as error:
                if error.problem.status != UNAVAILABLE:
                    raise
                failure: client.ClientError = error
            except client.ClientError as error:
                failure = error
            except TimeoutError as error:
                raise client.ClientError("no gateway answered in time") from error
            if time.monotonic() + RETRY_INTERVAL_MS / 1000 >= deadline_s:
                if reason:
                    failure.add_note(f"access not read again: {reason}")
                raise failure
            if attempts % len(self._clients) == 0:
                await asyncio.sleep(RETRY_INTERVAL_MS / 1000)
                reason = await self._update_access()
                attempts = 0

    async def fetch_configuration(
        self, version: int = 0
    ) -> messages.ConfigurationFetched:
        """Fetch a configuration and the latest entries of its history.

        Args:
            version: Version to fetch; 0 for the newest.

        Raises:
            client.ClientError: No gateway returned it in time.
        """
        return await self.retry(lambda item: item.fetch_configuration(version))

    async def submit_configuration(
        self, text: str, base_version: int, change_id: str
    ) -> messages.ConfigurationDecided:
        """Submit a configuration and retry until its outcome is known.

        Args:
            text: INI text.
            base_version: Version that it is based on.
            change_id: Unique id of the change.

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

        Fetches the newest configuration and submits it with that one change. After a
        conflict with another operator's change, it starts again with the newest
        configuration. After a lost answer, it retries with the same change id, so
        that it does not undo a later change by another operator.

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
                names = ", ".join(sorted(settings.domains)) or "none"
                raise UnknownDomainError(f"no failure domain {name!r}, known: {names}")
            if domain.state == state:
                return messages.ConfigurationDecided("", ACCEPTED, fetched.version, [])
            settings.add_domain(name, state=state)
            decision = await self.submit_configuration(
                str(settings), fetched.version, str(uuid.uuid4())
            )
            if decision.outcome != CONFLICT:
                return decision

    async def submit_job(
        self, service: str, body: bytes, headers: dict[str, str]
    ) -> client.Reply:
        """Submit a job with an idempotency key and retry after a lost answer.

        Args:
            service: Service name.
            body: JSON with the tasks.
            headers: Headers, which must include ``Idempotency-Key``.

        Raises:
            client.ClientError: No gateway answered.
        """
        return await self.retry(lambda item: item.submit_job(service, body, headers))

    async def find_job(self, job: str, method: str) -> client.Reply:
        """Request a job from each gateway until one finds it.

        Args:
            job: Job id.
            method: ``GET`` to show it, ``DELETE`` to cancel it.

        Returns:
            First response other than 404; that of the last gateway if all have
            answered 404.

        Raises:
            client.ClientError: No gateway found the job and at least one did not
                answer.
        """
        not_found: client.Reply | None = None
        failure: client.ClientError | None = None
        for item in self._clients:
            try:
                reply = await item.call(method, f"/v1/jobs/{client.quote(job)}")
            except client.ClientError as error:
                failure = error
                continue
            if reply.status != NOT_FOUND:
                return reply
            not_found = reply
        if failure is not None:
            raise failure
        assert not_found is not None
        return not_found
