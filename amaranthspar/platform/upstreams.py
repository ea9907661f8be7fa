"""Calls to the upstream of this host, as the platform's upstreams understand them."""

import asyncio

import aiohttp

from amaranthspar import clock
from amaranthspar.platform import wire
from amaranthspar.roles import runsidecar
from amaranthspar.scheduling import runevents
from amaranthspar.schema import runmessages
from amaranthspar.upstreams import exchange

START_PATH = "/amaranthspar/run-start"
STOP_PATH = "/amaranthspar/run-stop"
HOLD_PATH = "/amaranthspar/hold"
LIFE_HEADER = "X-Amaranthspar-Expected-Instance"
START_TIMEOUT_MS = 60
"""Time for the answer to a start on the same host: it takes about 2 ms, and 35 ms more
where the host's share of its core is used up. A caller waits for what comes after."""
STOP_TIMEOUT_MS = 120
"""Time for the answer to a stop."""
START_VALID_MS = 600
"""Time within which a start may be carried out; more than twice its time limit."""
HOLD_SLACK_MS = 80
"""Time beyond the asked wait for the answer to a renewal."""
CALL_CONNECTIONS = 6
"""Connections for starts and stops; a burst of starts passes over them in some ms, and
one that is not answered holds up few others."""
KEEP_ALIVE_S = 60
"""Time for which an idle connection is kept; the upstream closes none before."""
_OK = 200
_CONFLICT = 409
_OTHER_LIFE = 421
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
    """Calls to one upstream.

    Args:
        address: Address of its HTTP server.
        hold_ms: Longest lease of runs in ms.
    """

    def __init__(self, address: str, hold_ms: int) -> None:
        self._hold_ms = hold_ms
        self._clock = clock.Clock()
        self._calls = exchange.Pool(address, CALL_CONNECTIONS, KEEP_ALIVE_S)
        self._holds = exchange.Pool(address, 1, KEEP_ALIVE_S)
        self._life = ""
        self._offset_ms: int | None = None
        self._lease_end_ms = 0
        self._started_end_ms = 0

    async def start(
        self,
        life: runsidecar.Registration,
        order: runmessages.RunOrder,
        spec: str,
        fence: int,
    ) -> runevents.Answer:
        """Start a run.

        Raises:
            runsidecar.FenceError: A higher fence was seen.
        """
        until_ms = self._read_clock(life) + START_VALID_MS
        body = wire.encode_start(order, spec, until_ms, fence)
        # A start that is carried out extends the lease of everything there.
        self._started_end_ms = self._clock.read_monotonic() + START_VALID_MS
        self._lease_end_ms = max(self._lease_end_ms, self._started_end_ms)
        return await self._call(life, START_PATH, body, START_TIMEOUT_MS)

    async def stop(
        self, life: runsidecar.Registration, name: runmessages.RunName, fence: int
    ) -> runevents.Answer:
        """Stop a run and bar it.

        Raises:
            runsidecar.FenceError: A higher fence was seen.
        """
        body = wire.encode_stop(name, fence)
        return await self._call(life, STOP_PATH, body, STOP_TIMEOUT_MS)

    async def hold(
        self, life: runsidecar.Registration, seen: int, wait_ms: int, fence: int
    ) -> runsidecar.Holding:
        """Renew the lease of everything and list it.

        Raises:
            runsidecar.SilentError: No answer in time.
            runsidecar.RefusedError: Nobody listens there.
            runsidecar.ReplacedError: Another life answered.
            runsidecar.FenceError: A higher fence was seen.
        """
        sent_ms = self._clock.read_monotonic()
        until_ms = 0
        if life.known.incarnation == self._life and self._offset_ms is not None:
            until_ms = sent_ms + self._offset_ms + self._hold_ms
        else:
            wait_ms = 0
        body = wire.encode_hold(seen, wait_ms, until_ms, fence)
        before_ms = self._lease_end_ms
        if until_ms:
            self._lease_end_ms = max(before_ms, sent_ms + self._hold_ms)
        try:
            status, data = await _post(
                self._holds, life, HOLD_PATH, body, wait_ms + HOLD_SLACK_MS
            )
        except runsidecar.UnreachedError:
            # What nobody received made no lease longer; starts may have, meanwhile.
            self._lease_end_ms = max(before_ms, self._started_end_ms)
            raise
        if status == _OTHER_LIFE:
            raise runsidecar.ReplacedError("another life of the upstream answered")
        if status == _CONFLICT and wire.decode_answer(data)[1] == _FENCE_REASON:
            raise runsidecar.FenceError("the upstream has seen a higher fence")
        if status != _OK:
            raise runsidecar.SilentError(f"status {status} for a renewal")
        try:
            listing = wire.decode_listing(data)
        except wire.BodyError as error:
            raise runsidecar.SilentError(str(error)) from error
        self._note_clock(life, listing.clock_ms)
        incarnation = build_incarnation(life.id, listing.born_ms)
        return runsidecar.Holding(
            incarnation if listing.born_ms else "",
            listing.last,
            self._lease_end_ms,
            listing.running,
            listing.ends,
        )

    def find_lease_end_ms(self) -> int:
        """Return the latest end of any lease that the upstream may have taken, in ms."""
        return self._lease_end_ms

    async def close(self) -> None:
        """End the connections."""
        await self._calls.close()
        await self._holds.close()

    def _read_clock(self, life: runsidecar.Registration) -> int:
        """Return the upstream's clock in ms."""
        offset_ms = self._offset_ms if life.known.incarnation == self._life else None
        return self._clock.read_monotonic() + (offset_ms or 0)

    def _note_clock(self, life: runsidecar.Registration, clock_ms: int) -> None:
        """Take the upstream's clock from an answer that has just come."""
        self._life = life.known.incarnation
        self._offset_ms = clock_ms - self._clock.read_monotonic()

    async def _call(
        self, life: runsidecar.Registration, path: str, body: bytes, timeout_ms: int
    ) -> runevents.Answer:
        try:
            status, data = await _post(self._calls, life, path, body, timeout_ms)
        except runsidecar.SilentError:
            return runevents.Answer.UNKNOWN
        if status == _OK:
            return runevents.Answer.ACCEPTED
        if status == _OTHER_LIFE:
            return runevents.Answer.REPLACED
        if status in _UNHEALTHY:
            return runevents.Answer.UNHEALTHY
        if status == _INVALID:
            return runevents.Answer.INVALID
        reason = wire.decode_answer(data)[1]
        if status == _CONFLICT and reason == _FENCE_REASON:
            raise runsidecar.FenceError("the upstream has seen a higher fence")
        return _REASONS.get(reason, runevents.Answer.UNKNOWN)


def build_incarnation(upstream_id: str, born_ms: int) -> str:
    """Return the name of one life of an upstream.

    Args:
        upstream_id: Name that the upstream gives itself, perhaps used before.
        born_ms: Wall clock of its start in ms.
    """
    return f"{upstream_id}@{born_ms}"


async def _post(
    pool: exchange.Pool,
    life: runsidecar.Registration,
    path: str,
    body: bytes,
    timeout_ms: int,
) -> tuple[int, bytes]:
    """Return the status and the body that a call is answered with.

    Raises:
        runsidecar.RefusedError: Nobody listens there.
        runsidecar.UnreachedError: No connection could be made.
        runsidecar.SilentError: There was no whole answer in time.
    """
    headers = pool.build_headers(body)
    headers[LIFE_HEADER] = life.id
    headers["Content-Type"] = "application/json"
    connection = None
    is_whole = False
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            connection = await pool.connect()
            await exchange.send_request(connection, path, headers, body)
            response = await exchange.read_response(connection)
        is_whole = True
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = f"{type(error).__name__}: {error}"
        if connection is not None:
            raise runsidecar.SilentError(reason) from error
        if _is_refusal(error):
            raise runsidecar.RefusedError(reason) from error
        raise runsidecar.UnreachedError(reason) from error
    finally:
        if connection is not None:
            exchange.release_connection(connection, reusable=is_whole)
    return response.status, response.body


def _is_refusal(error: Exception) -> bool:
    """Return whether a connection was refused, other than not answered."""
    if not isinstance(error, aiohttp.ClientConnectorError):
        return False
    return isinstance(error.os_error, ConnectionRefusedError)
