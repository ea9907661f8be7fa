"""HTTP client that runs tasks on an upstream."""

import asyncio
import functools
import urllib.parse

import aiohttp
import attrs
import multidict

from amaranthspar import clock
from amaranthspar.dispatch import tracking
from amaranthspar.execution import executor
from amaranthspar.schema import messages
from amaranthspar.upstreams import exchange, worker

SUBMISSION_HEADER = "Amaranthspar-Submission"
TASK_HEADER = "Amaranthspar-Task"
CONNECT_RETRY_PERIOD_MS = 250
"""Time for which a failed connection attempt is repeated, in ms."""
CONNECT_RETRY_INTERVAL_MS = 50
STOP_GRACE_MS = 200
"""Time for the upstream to stop a task itself before the platform stops it, in ms."""
PATH_CACHE_SIZE = 256

_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@attrs.define(slots=True, eq=False)
class _Call:
    """A call in progress; nothing is sent before its transport is set."""

    run: executor.RunTask
    transport: asyncio.Transport | None = None
    stopped: bool = False
    task: asyncio.Task[messages.TaskResult] | None = None
    platform_stop: asyncio.Task[bool] | None = None


class UpstreamClient:
    """HTTP client of one upstream.

    A call is never retried once its request may have been sent: redirects are not
    followed, and the HTTP client retries idempotent methods only.

    Args:
        address: Address of the upstream's HTTP server.
        connections: Largest number of open connections.
        platform: Client of the platform, which stops tasks that the upstream does not
            stop itself; without one, a stopped call waits for the upstream or until
            the deadline.
    """

    def __init__(
        self,
        address: str,
        connections: int,
        platform: worker.WorkerClient | None = None,
    ) -> None:
        self._platform = platform
        self._clock = clock.Clock()
        self._calls: dict[tuple[str, int], _Call] = {}
        self._platform_stops: set[asyncio.Task[bool]] = set()
        self._pool = exchange.Pool(address, connections)

    async def close(self) -> None:
        """Close every connection."""
        for platform_stop in self._platform_stops:
            platform_stop.cancel()
        await self._pool.close()

    async def call(self, run: executor.RunTask) -> messages.TaskResult:
        """Run one task.

        Args:
            run: Task to run.

        Returns:
            Its result; the outcome is ``not-run`` if no request was sent, and
            ``unknown`` if one was sent and no complete response arrived.
        """
        name = (run.submission, run.index)
        call = self._calls[name] = _Call(run, task=asyncio.current_task())
        try:
            async with asyncio.timeout(run.timeout_ms / 1000):
                return await self._request(call)
        except (TimeoutError, aiohttp.ClientError, RuntimeError, ValueError) as error:
            await self._ensure_stopped(
                call, call.stopped or isinstance(error, TimeoutError)
            )
            return _build_failure(call, f"upstream: {type(error).__name__}")
        except asyncio.CancelledError:
            if call.transport is None:
                return _build_failure(call, "cancelled")
            raise
        finally:
            del self._calls[name]

    def stop(self, submission: str, index: int) -> bool:
        """Ask the upstream to stop a task.

        Only the sending side of the connection is closed. A server that stops a
        request when its client disconnects then closes the connection; any other
        server still responds. The slot stays occupied until the upstream has ended
        the task.

        Args:
            submission: Submission id.
            index: Position of the task in the submission.

        Returns:
            Whether the call is in progress.
        """
        call = self._calls.get((submission, index))
        if call is None:
            return False
        if call.stopped:
            return True
        call.stopped = True
        if call.transport is None:
            if call.task is not None:
                call.task.cancel()
        elif call.transport.can_write_eof() and not call.transport.is_closing():
            call.transport.write_eof()
            self._schedule_platform_stop(call)
        return True

    async def _ensure_stopped(self, call: _Call, should_wait: bool) -> None:
        """Have the platform stop a task that may still run after its call has failed.

        If the task was cancelled or its deadline has passed, nobody waits for its
        result, and its slot is free only once it has stopped. Otherwise the caller
        still waits and gets the failure at once.
        """
        if self._platform is None or call.transport is None:
            return
        platform_stop = self._stop_on_platform(call, self._platform)
        if should_wait:
            await platform_stop

    def _schedule_platform_stop(self, call: _Call) -> None:
        """Have the platform stop a task that the upstream does not stop in time."""
        platform = self._platform
        if platform is None:
            return

        def stop_on_platform() -> None:
            if self._find_call(call.run) is call:
                self._stop_on_platform(call, platform).add_done_callback(
                    abort_connection
                )

        def abort_connection(platform_stop: asyncio.Task[bool]) -> None:
            confirmed = not platform_stop.cancelled() and platform_stop.result()
            if confirmed and call.transport is not None and self._find_call(call.run):
                call.transport.abort()

        asyncio.get_running_loop().call_later(STOP_GRACE_MS / 1000, stop_on_platform)

    def _find_call(self, run: executor.RunTask) -> _Call | None:
        return self._calls.get((run.submission, run.index))

    def _stop_on_platform(
        self, call: _Call, platform: worker.WorkerClient
    ) -> asyncio.Task[bool]:
        """Ask the platform to stop the task of a call, once for each call."""
        if call.platform_stop is None:
            stop = platform.stop_task(call.run.submission, call.run.index)
            call.platform_stop = asyncio.get_running_loop().create_task(stop)
            self._platform_stops.add(call.platform_stop)
            call.platform_stop.add_done_callback(self._platform_stops.discard)
        return call.platform_stop

    async def _request(self, call: _Call) -> messages.TaskResult:
        connection = await self._connect()
        try:
            started_ms = self._clock.read_monotonic()
            response = await self._exchange(call, connection)
        except BaseException:
            exchange.release_connection(connection, reusable=False)
            raise
        exchange.release_connection(connection, reusable=not call.stopped)
        return messages.TaskResult(
            call.run.submission,
            call.run.index,
            "done",
            status=response.status,
            content_type=response.content_type,
            body=response.body,
            digest=tracking.digest_body(response.body),
            run_ms=self._clock.read_monotonic() - started_ms,
        )

    async def _connect(self) -> aiohttp.connector.Connection:
        """Connect, with retries because the upstream may still be starting."""
        until_ms = self._clock.read_monotonic() + CONNECT_RETRY_PERIOD_MS
        while True:
            try:
                return await self._pool.connect()
            except _CONNECT_ERRORS:
                if self._clock.read_monotonic() >= until_ms:
                    raise
            await asyncio.sleep(CONNECT_RETRY_INTERVAL_MS / 1000)

    async def _exchange(
        self, call: _Call, connection: aiohttp.connector.Connection
    ) -> exchange.Response:
        run = call.run
        headers = self._pool.build_headers(run.payload)
        _add_headers(headers, run)
        call.transport = connection.transport
        await exchange.send_request(
            connection, _build_path(run.service), headers, run.payload
        )
        return await exchange.read_response(connection)


def _build_failure(call: _Call, reason: str) -> messages.TaskResult:
    name = (call.run.submission, call.run.index)
    if call.stopped:
        reason = "cancelled"
    outcome = "not-run" if call.transport is None else "unknown"
    return messages.TaskResult(*name, outcome, reason)


@functools.lru_cache(maxsize=PATH_CACHE_SIZE)
def _build_path(service: str) -> str:
    return "/" + urllib.parse.quote(service, safe="")


def _add_headers(headers: multidict.CIMultiDict[str], run: executor.RunTask) -> None:
    headers["Content-Type"] = run.content_type
    headers[SUBMISSION_HEADER] = run.submission
    headers[TASK_HEADER] = str(run.index)
    if run.traceparent:
        headers["traceparent"] = run.traceparent
