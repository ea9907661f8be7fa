"""HTTP client of one gateway, for callers and operators."""

import urllib.parse
from typing import TypeVar

import aiohttp
import attrs
import msgspec

from amaranthspar import errors
from amaranthspar.schema import bodies, explanations, messages, problems

Body = TypeVar("Body")

CONNECT_TIMEOUT_S = 5
REFUSED_CHANGE_STATUSES = (409, 422)


class ClientError(errors.InputOutputError):
    """A request failed; its outcome is unknown unless a subclass says otherwise."""


class NotSentError(ClientError):
    """No connection could be made, so the request was not sent."""


class RefusedError(ClientError):
    """A gateway answered with a problem document.

    Args:
        problem: Problem document of the response.
    """

    def __init__(self, problem: problems.Problem) -> None:
        super().__init__(f"{problem.title}: {problem.detail}")
        self.problem = problem


@attrs.frozen(slots=True)
class Reply:
    """HTTP response of a gateway.

    Attributes:
        status: HTTP status.
        outcome: ``done``, ``not-run``, ``unknown`` or empty.
        body: Complete body.
        location: Value of the header ``Location``, which names the result of an
            accepted job; may be empty.
    """

    status: int
    outcome: str
    body: bytes
    location: str = ""

    def read_problem(self) -> problems.Problem:
        """Return the problem document in the body, or one built from the status."""
        try:
            return msgspec.json.decode(self.body, type=problems.Problem)
        except msgspec.MsgspecError:
            detail = self.body[:200].decode(errors="replace")
            outcome = self.outcome or "unknown"
            return problems.Problem(
                "about:blank", f"HTTP {self.status}", self.status, detail, outcome
            )


class Client:
    """HTTP client of one gateway.

    Args:
        gateway: URL as in ``http://127.0.0.1:8000``.
        token: Bearer token.
        timeout_ms: Timeout of a request and its response in ms; none for no limit.
    """

    def __init__(self, gateway: str, token: str, timeout_ms: int | None = None) -> None:
        self._gateway = gateway.rstrip("/")
        headers = {"Authorization": f"Bearer {token}"}
        connector = aiohttp.TCPConnector(limit=0)
        total = None if timeout_ms is None else timeout_ms / 1000
        timeout = aiohttp.ClientTimeout(total=total, sock_connect=CONNECT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(
            headers=headers, connector=connector, timeout=timeout
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def send_request(
        self, service: str, body: bytes, headers: dict[str, str] | None = None
    ) -> Reply:
        """Send one request to a service.

        Args:
            service: Service name.
            body: Body that the upstream receives.
            headers: Additional headers, such as ``Idempotency-Key``.

        Raises:
            ClientError: No complete response arrived.
        """
        path = f"/v1/services/{quote(service)}/requests"
        return await self.call("POST", path, body, headers)

    async def submit_job(
        self, service: str, body: bytes, headers: dict[str, str] | None = None
    ) -> Reply:
        """Submit a job to a service.

        Args:
            service: Service name.
            body: JSON with the tasks.
            headers: Additional headers, such as ``Prefer: respond-async``.

        Raises:
            ClientError: No complete response arrived.
        """
        path = f"/v1/services/{quote(service)}/jobs"
        return await self.call("POST", path, body, headers)

    async def fetch_configuration(
        self, version: int = 0
    ) -> messages.ConfigurationFetched:
        """Fetch a configuration and the latest entries of its history.

        Args:
            version: Version to fetch; 0 for the newest.

        Raises:
            ClientError: The gateway refused the request or did not respond.
        """
        reply = await self.call("GET", f"/v1/configuration?version={version}")
        _expect_status(reply, (200,))
        return _decode(reply.body, messages.ConfigurationFetched)

    async def fetch_status(self) -> bodies.Status:
        """Fetch the status of the system as seen by the gateway.

        Raises:
            ClientError: The gateway refused the request or did not respond.
        """
        reply = await self.call("GET", "/v1/status")
        _expect_status(reply, (200,))
        return _decode(reply.body, bodies.Status)

    async def explain(
        self,
        kind: str,
        service: str,
        body: bytes,
        headers: dict[str, str] | None = None,
        account: str = "",
    ) -> explanations.Explanation:
        """Ask where a request or job would go now, without submitting it.

        Args:
            kind: ``requests`` or ``jobs``.
            service: Service name.
            body: Body as for `send_request` or `submit_job`.
            headers: Additional headers, such as ``Amaranthspar-Desk``.
            account: Account that would submit it; by default that of the token.

        Raises:
            ClientError: The gateway refused to explain it or did not respond.
        """
        path = f"/v1/services/{quote(service)}/{kind}/explanation"
        if account:
            path += f"?{urllib.parse.urlencode({'account': account})}"
        reply = await self.call("POST", path, body, headers)
        _expect_status(reply, (200,))
        return _decode(reply.body, explanations.Explanation)

    async def fetch_replicas(self) -> messages.ReplicasChanged:
        """Fetch the set of controller replicas.

        Raises:
            ClientError: The gateway refused the request or did not respond.
        """
        reply = await self.call("GET", "/v1/replicas")
        _expect_status(reply, (200,))
        return _decode(reply.body, messages.ReplicasChanged)

    async def replace_replica(
        self, replacement: bodies.Replacement
    ) -> messages.ReplicasChanged:
        """Replace a controller replica.

        Args:
            replacement: Replicas to remove and add; the request may be repeated.

        Raises:
            ClientError: The gateway refused the request, or the outcome is unknown.
        """
        body = bodies.encode_body(replacement)
        reply = await self.call("POST", "/v1/replicas", body)
        _expect_status(reply, (200,))
        return _decode(reply.body, messages.ReplicasChanged)

    async def submit_configuration(
        self, text: str, base_version: int, change_id: str
    ) -> messages.ConfigurationDecided:
        """Submit a configuration.

        Args:
            text: INI text.
            base_version: Version that it is based on.
            change_id: Unique id of the change; a retry must use the same.

        Raises:
            ClientError: The gateway refused the request, or the outcome is unknown.
        """
        values = {"base_version": base_version, "change_id": change_id}
        path = f"/v1/configuration?{urllib.parse.urlencode(values)}"
        reply = await self.call("PUT", path, text.encode())
        if reply.status in REFUSED_CHANGE_STATUSES:
            return _decode(reply.body, problems.ChangeProblem).decision
        _expect_status(reply, (200,))
        return _decode(reply.body, messages.ConfigurationDecided)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send one HTTP request and read the complete response.

        Raises:
            ClientError: No complete response arrived.
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
        except aiohttp.ClientConnectorError as error:
            raise NotSentError(f"cannot reach {self._gateway}: {error}") from error
        except aiohttp.InvalidURL as error:
            raise NotSentError(f"{self._gateway}: invalid URL") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise ClientError(f"{type(error).__name__}: {error}") from error


def quote(name: str) -> str:
    """Return a name percent-encoded as one segment of a path.

    Args:
        name: Service name or job id.
    """
    return urllib.parse.quote(name, safe="")


def _expect_status(reply: Reply, expected: tuple[int, ...]) -> None:
    if reply.status not in expected:
        raise RefusedError(reply.read_problem())


def _decode(body: bytes, kind: type[Body]) -> Body:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise ClientError(
            f"the response is not a valid {kind.__name__}: {error}"
        ) from error
