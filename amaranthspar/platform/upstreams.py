"""Client of the upstream on this host: start, stop and lease renewal over HTTP."""

import asyncio

import aiohttp

from amaranthspar import clock
from amaranthspar.platform import wire
from amaranthspar.roles import runsidecar
from amaranthspar.scheduling import incarnations, runevents
from amaranthspar.schema import runmessages
from amaranthspar.upstreams import exchange

START_PATH = "/amaranthspar/run-start"
STOP_PATH = "/amaranthspar/run-stop"
HOLD_PATH = "/amaranthspar/hold"
INSTANCE_HEADER = "X-Amaranthspar-Expected-Instance"
START_TIMEOUT_MS = 60
"""Timeout of a start on the same host. A response takes about 2 ms, and 35 ms more if
the host's share of its CPU core is used up. After a timeout, a caller still waits for
the steps that follow."""
STOP_TIMEOUT_MS = 120
"""Timeout of a stop."""
START_VALID_MS = 600
"""Time within which the upstream may carry out a start; more than twice its timeout."""
RENEWAL_MARGIN_MS = 80
"""Timeout of a renewal in addition to the time that the upstream is asked to wait."""
CALL_CONNECTIONS = 6
"""Connections for starts and stops. They carry a burst of starts within a few ms, and a
call without a response delays only a few others."""
KEEP_ALIVE_S = 60
"""Time for which idle connections are kept open; the upstream keeps them at least as
long."""
_OK = 200
_CONFLICT = 409
_OTHER_INSTANCE = 421
_INVALID = 400
_UNHEALTHY = (429, 503)
_REASONS = {
    "old": runevents.Answer.STALE,
    "late": runevents.Answer.LATE,
    "room": runevents.Answer.NO_ROOM,
    "ticket": runevents.Answer.INVALID,
}
_FENCE_REASON = "fence"


class Upstream:
    """HTTP client of one upstream.

    Args:
        address: Address of the upstream's HTTP server.
        max_lease_ms: Longest lease of runs in ms.
    """

    def __init__(self, address: str, max_lease_ms: int) -> None:
        self._max_lease_ms = max_lease_ms
        self._clock = clock.Clock()
        self._call_pool = exchange.Pool(address, CALL_CONNECTIONS, KEEP_ALIVE_S)
        self._renewal_pool = exchange.Pool(address, 1, KEEP_ALIVE_S)
        self._clock_incarnation = ""
        self._offset_ms: int | None = None
        self._lease_end_ms = 0
        self._start_lease_end_ms = 0

    async def start(
        self,
        registration: incarnations.Registration,
        order: runmessages.RunOrder,
        spec: str,
        fence: int,
        lease_ms: int | None = None,
    ) -> runevents.Answer:
        """Start a run.

        Raises:
            runsidecar.FenceError: The upstream has seen a higher fencing token.
        """
        valid_ms = START_VALID_MS
        if lease_ms is not None:
            valid_ms = min(valid_ms, lease_ms)
        deadline_ms = self._read_clock(registration) + valid_ms
        body = wire.encode_start(order, spec, deadline_ms, fence)
        # A start that is carried out extends the lease of all runs on the upstream.
        end_ms = self._clock.read_monotonic() + valid_ms
        self._start_lease_end_ms = max(self._start_lease_end_ms, end_ms)
        self._lease_end_ms = max(self._lease_end_ms, self._start_lease_end_ms)
        try:
            return await self._call(
                registration, START_PATH, body, START_TIMEOUT_MS, fence
            )
        except runsidecar.ReplacedError:
            return runevents.Answer.REPLACED

    async def stop(
        self,
        registration: incarnations.Registration,
        name: runmessages.RunName,
        fence: int,
    ) -> runevents.Answer:
        """Stop a run and prevent it from starting later.

        Raises:
            runsidecar.FenceError: The upstream has seen a higher fencing token.
        """
        body = wire.encode_stop(name, fence)
        return await self._call(registration, STOP_PATH, body, STOP_TIMEOUT_MS)

    async def renew_lease(
        self,
        registration: incarnations.Registration,
        seen: int,
        wait_ms: int,
        fence: int,
        lease_ms: int | None = None,
    ) -> runsidecar.RenewalResult:
        """Renew the lease of all runs and list them.

        Raises:
            runsidecar.SilentError: There was no valid response in time.
            runsidecar.RefusedError: The upstream refused the connection.
            runsidecar.ReplacedError: Another incarnation of the upstream responded.
            runsidecar.FenceError: The upstream has seen a higher fencing token.
        """
        sent_ms = self._clock.read_monotonic()
        deadline_ms = 0
        if lease_ms is None or lease_ms > self._max_lease_ms:
            lease_ms = self._max_lease_ms
        if (
            registration.incarnation != self._clock_incarnation
            or self._offset_ms is None
        ):
            wait_ms = 0
        elif lease_ms > 0:
            deadline_ms = sent_ms + self._offset_ms + lease_ms
        body = wire.encode_renewal(seen, wait_ms, deadline_ms, fence)
        before_ms = self._lease_end_ms
        if deadline_ms:
            self._lease_end_ms = max(before_ms, sent_ms + lease_ms)
        try:
            status, data = await _post(
                self._renewal_pool,
                registration,
                HOLD_PATH,
                body,
                wait_ms + RENEWAL_MARGIN_MS,
            )
        except runsidecar.UnreachedError:
            # The renewal was not received, so it extended no lease; starts sent in the
            # meantime may have.
            self._lease_end_ms = max(before_ms, self._start_lease_end_ms)
            raise
        if status == _OTHER_INSTANCE:
            raise runsidecar.ReplacedError("another life of the upstream answered")
        if status == _CONFLICT and wire.decode_answer(data)[1] == _FENCE_REASON:
            raise runsidecar.FenceError("the upstream has seen a higher fencing token")
        if status != _OK:
            raise runsidecar.SilentError(f"renewal failed with HTTP status {status}")
        try:
            listing = wire.decode_listing(data)
        except wire.BodyError as error:
            raise runsidecar.SilentError(str(error)) from error
        incarnation = ""
        if listing.born_ms:
            incarnation = build_incarnation(registration.id, listing.born_ms)
        self._note_clock(incarnation or registration.incarnation, listing.clock_ms)
        return runsidecar.RenewalResult(
            incarnation,
            listing.last,
            self._lease_end_ms,
            listing.running,
            listing.ends,
        )

    def find_lease_end_ms(self) -> int:
        """Return the latest end of a lease that the upstream may hold, in ms.

        The time is on this host's monotonic clock.
        """
        return self._lease_end_ms

    async def close(self) -> None:
        """Close the connections."""
        await self._call_pool.close()
        await self._renewal_pool.close()

    def _read_clock(self, registration: incarnations.Registration) -> int:
        """Return the estimated time on the upstream's clock in ms."""
        offset_ms = (
            self._offset_ms
            if registration.incarnation == self._clock_incarnation
            else None
        )
        return self._clock.read_monotonic() + (offset_ms or 0)

    def _note_clock(self, incarnation: str, clock_ms: int) -> None:
        """Update the offset of an incarnation's clock from a response just received."""
        self._clock_incarnation = incarnation
        self._offset_ms = clock_ms - self._clock.read_monotonic()

    async def _call(
        self,
        registration: incarnations.Registration,
        path: str,
        body: bytes,
        timeout_ms: int,
        checked_fence: int | None = None,
    ) -> runevents.Answer:
        """Make a call, on a connection to the given incarnation if there is a fence.

        Raises:
            runsidecar.ReplacedError: Another incarnation has the connection; the call
                was not sent.
            runsidecar.FenceError: The upstream has seen a higher fencing token.
        """
        try:
            status, data = await _post(
                self._call_pool, registration, path, body, timeout_ms, checked_fence
            )
        except runsidecar.SilentError:
            return runevents.Answer.UNKNOWN
        if status == _OK:
            return runevents.Answer.ACCEPTED
        if status == _OTHER_INSTANCE:
            return runevents.Answer.REPLACED
        if status in _UNHEALTHY:
            return runevents.Answer.UNHEALTHY
        if status == _INVALID:
            return runevents.Answer.INVALID
        reason = wire.decode_answer(data)[1]
        if status == _CONFLICT and reason == _FENCE_REASON:
            raise runsidecar.FenceError("the upstream has seen a higher fencing token")
        return _REASONS.get(reason, runevents.Answer.UNKNOWN)


def build_incarnation(upstream_id: str, born_ms: int) -> str:
    """Return the name of one incarnation of an upstream.

    Args:
        upstream_id: Name that the upstream gives itself; an earlier incarnation may
            have had the same name.
        born_ms: Wall-clock time of its start in ms.
    """
    return f"{upstream_id}@{born_ms}"


async def _post(
    pool: exchange.Pool,
    registration: incarnations.Registration,
    path: str,
    body: bytes,
    timeout_ms: int,
    checked_fence: int | None = None,
) -> tuple[int, bytes]:
    """Send a POST request and return the status and the body of the response.

    Args:
        pool: Pool of connections to the upstream.
        registration: Incarnation that is called.
        path: Path of the call.
        body: Body of the call.
        timeout_ms: Time for the whole exchange in ms.
        checked_fence: Fencing token with which a connection is asked for its
            incarnation before the call; None to send the call to any.

    Raises:
        runsidecar.RefusedError: The upstream refused the connection.
        runsidecar.UnreachedError: The call was not sent.
        runsidecar.ReplacedError: Another incarnation has the connection; the call was
            not sent.
        runsidecar.SilentError: There was no complete response in time.
    """
    connection = None
    is_sent = is_complete = False
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            if checked_fence is None:
                connection = await pool.connect()
            else:
                connection = await _connect_to(pool, registration, checked_fence)
            is_sent = True
            response = await _exchange(pool, connection, registration, path, body)
        is_complete = True
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = f"{type(error).__name__}: {error}"
        if is_sent:
            raise runsidecar.SilentError(reason) from error
        if _is_connection_refused(error):
            raise runsidecar.RefusedError(reason) from error
        raise runsidecar.UnreachedError(reason) from error
    finally:
        if connection is not None:
            exchange.release_connection(connection, reusable=is_complete)
    return response.status, response.body


async def _connect_to(
    pool: exchange.Pool, registration: incarnations.Registration, fence: int
) -> aiohttp.connector.Connection:
    """Return a connection to an incarnation.

    The id in a call does not tell two incarnations apart that have the same one, and
    the next one may serve the listener at once. So a new connection is first asked for
    the list of runs, which states the incarnation that has it until it ends.

    Args:
        pool: Pool of connections to the upstream.
        registration: Incarnation.
        fence: Fencing token of calls to it.

    Raises:
        runsidecar.ReplacedError: Another incarnation has accepted the connection.
    """
    while True:
        connection = await pool.connect()
        is_usable = False
        try:
            owner = pool.find_owner(connection)
            is_new = owner is None
            if owner is None:
                owner = await _request_owner(pool, connection, registration, fence)
                pool.record_owner(connection, owner)
            is_usable = owner in ("", registration.incarnation)
            if is_usable:
                return connection
            if is_new:
                raise runsidecar.ReplacedError(f"{owner} has the connection")
        finally:
            if not is_usable:
                exchange.release_connection(connection, reusable=False)


async def _request_owner(
    pool: exchange.Pool,
    connection: aiohttp.connector.Connection,
    registration: incarnations.Registration,
    fence: int,
) -> str:
    """Return the incarnation that has a connection; empty if it does not state it."""
    body = wire.encode_renewal(0, 0, 0, fence)
    response = await _exchange(pool, connection, registration, HOLD_PATH, body)
    if response.status == _OTHER_INSTANCE:
        raise runsidecar.ReplacedError("another life of the upstream answered")
    if response.status == _CONFLICT:
        raise runsidecar.FenceError("the upstream has seen a higher fencing token")
    if response.status != _OK:
        reason = f"list failed with HTTP status {response.status}"
        raise aiohttp.ClientPayloadError(reason)
    try:
        listing = wire.decode_listing(response.body)
    except wire.BodyError as error:
        raise aiohttp.ClientPayloadError(str(error)) from error
    if not listing.born_ms:
        return ""
    return build_incarnation(registration.id, listing.born_ms)


async def _exchange(
    pool: exchange.Pool,
    connection: aiohttp.connector.Connection,
    registration: incarnations.Registration,
    path: str,
    body: bytes,
) -> exchange.Response:
    headers = pool.build_headers(body)
    headers[INSTANCE_HEADER] = registration.id
    headers["Content-Type"] = "application/json"
    await exchange.send_request(connection, path, headers, body)
    return await exchange.read_response(connection)


def _is_connection_refused(error: Exception) -> bool:
    """Return whether the connection was refused, as opposed to not answered."""
    if not isinstance(error, aiohttp.ClientConnectorError):
        return False
    return isinstance(error.os_error, ConnectionRefusedError)
