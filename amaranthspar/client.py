"""HTTP client for callers and operators of a gateway."""

import aiohttp
import attrs
import msgspec

from amaranthspar import errors, messages


class ClientError(errors.InputOutputError):
    """A gateway gave no answer, so the outcome is unknown."""


@attrs.frozen(slots=True)
class Reply:
    """Answer of a gateway.

    Attributes:
        status: HTTP status.
        outcome: ``done``, ``not-run``, ``unknown`` or empty.
        body: Whole body.
        location: Where the result of an accepted job will be; may be empty.
    """

    status: int
    outcome: str
    body: bytes
    location: str = ""


class Client:
    """Connection to one gateway.

    Args:
        gateway: URL as in ``http://127.0.0.1:8000``.
        token: Bearer token.
    """

    def __init__(self, gateway: str, token: str) -> None:
        self._gateway = gateway.rstrip("/")
        headers = {"Authorization": f"Bearer {token}"}
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=5)
        self._session = aiohttp.ClientSession(
            headers=headers, connector=connector, timeout=timeout
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def send_request(
        self, service: str, body: bytes, headers: dict[str, str] | None = None
    ) -> Reply:
        """Send one request to a service.

        Args:
            service: Service name.
            body: Body for the upstream.
            headers: More headers, such as ``Idempotency-Key``.

        Raises:
            ClientError: No whole answer arrived.
        """
        path = f"/v1/services/{service}/requests"
        return await self.call("POST", path, body, headers)

    async def submit_job(
        self, service: str, body: bytes, headers: dict[str, str] | None = None
    ) -> Reply:
        """Submit a job to a service.

        Args:
            service: Service name.
            body: JSON with the tasks.
            headers: More headers, such as ``Prefer: respond-async``.

        Raises:
            ClientError: No whole answer arrived.
        """
        return await self.call("POST", f"/v1/services/{service}/jobs", body, headers)

    async def fetch_configuration(
        self, version: int = 0
    ) -> messages.ConfigurationFetched:
        """Fetch a configuration and the latest history.

        Args:
            version: Version wanted; 0 for the newest.

        Raises:
            ClientError: The gateway refused or gave no answer.
        """
        reply = await self.call("GET", f"/v1/configuration?version={version}")
        if reply.status != 200:
            raise ClientError(reply.body.decode(errors="replace"))
        return msgspec.json.decode(reply.body, type=messages.ConfigurationFetched)

    async def submit_configuration(
        self, text: str, base_version: int, change_id: str
    ) -> messages.ConfigurationDecided:
        """Submit a configuration.

        Args:
            text: INI text.
            base_version: Version that it is based on.
            change_id: Unique name of the change; a resend carries the same.

        Raises:
            ClientError: The outcome is unknown.
        """
        query = f"base_version={base_version}&change_id={change_id}"
        reply = await self.call("PUT", f"/v1/configuration?{query}", text.encode())
        if reply.status not in (200, 409, 422):
            raise ClientError(reply.body.decode(errors="replace"))
        return msgspec.json.decode(reply.body, type=messages.ConfigurationDecided)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send one HTTP request and read the whole answer.

        Raises:
            ClientError: No whole answer arrived.
        """
        url = self._gateway + path
        try:
            async with self._session.request(
                method, url, data=body, headers=headers
            ) as response:
                return Reply(
                    response.status,
                    response.headers.get("Amaranthspar-Outcome", ""),
                    await response.read(),
                    response.headers.get("Location", ""),
                )
        except aiohttp.ClientError as error:
            raise ClientError(f"{type(error).__name__}: {error}") from error
