"""Calls of an upstream over HTTP."""

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
CONNECT_RETRY_MS = 250
CONNECT_PAUSE_MS = 50
STOP_GRACE_MS = 200
CACHED_PATHS = 256

_NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@attrs.define(slots=True, eq=False)
class _Call:
    """A call that goes on; nothing is sent before it has a transport."""

    run: executor.RunTask
    transport: asyncio.Transport | None = None
    stopped: bool = False
    task: asyncio.Task[messages.TaskResult] | None = None
    kill: asyncio.Task[bool] | None = None


class Upstream:
    """HTTP client of one upstream.

    No call is ever repeated once its request may have been sent: redirects are
    not followed, and the HTTP client repeats idempotent methods only.

    Args:
        address: Address of the upstream's HTTP server.
        connections: Connections that may be open at once.
        platform: Platform's interface, which stops what the upstream does not; none
            to wait for the upstream, or until the deadline.
    """

    def __init__(
        self, address: str, connections: int, platform: worker.Worker | None = None
    ) -> None:
        self._platform = platform
        self._clock = clock.Clock()
        self._calls: dict[tuple[str, int], _Call] = {}
        self._kills: set[asyncio.Task[bool]] = set()
        self._pool = exchange.Pool(address, connections)

    async def close(self) -> None:
        """Close every connection."""
        for kill in self._kills:
            kill.cancel()
        await self._pool.close()

    async def call(self, run: executor.RunTask) -> messages.TaskResult:
        """Run one task.

        Args:
            run: Task to run.

        Returns:
            Its result; ``not-run`` if no request was sent, and ``unknown`` if
            one was and no whole answer came.
        """
        name = (run.submission, run.index)
        call = self._calls[name] = _Call(run, task=asyncio.current_task())
        try:
            async with asyncio.timeout(run.timeout_ms / 1000):
                return await self._request(call)
        except (TimeoutError, aiohttp.ClientError, RuntimeError, ValueError) as error:
            await self._make_sure(call, call.stopped or isinstance(error, TimeoutError))
            return _build_failure(call, f"upstream: {type(error).__name__}")
        except asyncio.CancelledError:
            if call.transport is None:
                return _build_failure(call, "cancelled")
            raise
        finally:
            del self._calls[name]

    def stop(self, submission: str, index: int) -> bool:
        """Ask the upstream to stop a task.

        The connection is closed for sending only. A server that stops a request
        whose caller is gone then closes it, one that does not still answers:
        the slot stays taken until the upstream has let go of the task.

        Args:
            submission: Submission id.
            index: Position in the submission.

        Returns:
            Whether the call has begun and goes on.
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
            self._watch_stop(call)
        return True

    async def _make_sure(self, call: _Call, awaited: bool) -> None:
        """Have the platform stop what may still run after its connection has ended.

        The slot of a task that nobody waits for is free only once it has stopped; a
        caller who still waits is told at once.
        """
        if self._platform is None or call.transport is None:
            return
        kill = self._kill(call, self._platform)
        if awaited:
            await kill

    def _watch_stop(self, call: _Call) -> None:
        """Have the platform stop what its upstream does not stop by itself."""
        platform = self._platform
        if platform is None:
            return

        def kill() -> None:
            if self._find(call.run) is call:
                self._kill(call, platform).add_done_callback(end)

        def end(killed: asyncio.Task[bool]) -> None:
            confirmed = not killed.cancelled() and killed.result()
            if confirmed and call.transport is not None and self._find(call.run):
                call.transport.abort()

        asyncio.get_running_loop().call_later(STOP_GRACE_MS / 1000, kill)

    def _find(self, run: executor.RunTask) -> _Call | None:
        return self._calls.get((run.submission, run.index))

    def _kill(self, call: _Call, platform: worker.Worker) -> asyncio.Task[bool]:
        """Ask the platform once for each call."""
        if call.kill is None:
            stop = platform.stop_task(call.run.submission, call.run.index)
            call.kill = asyncio.get_running_loop().create_task(stop)
            self._kills.add(call.kill)
            call.kill.add_done_callback(self._kills.discard)
        return call.kill

    async def _request(self, call: _Call) -> messages.TaskResult:
        connection = await self._connect()
        try:
            started_ms = self._clock.read_monotonic()
            response = await self._exchange(call, connection)
        except BaseException:
            exchange.end_exchange(connection, whole=False)
            raise
        exchange.end_exchange(connection, whole=not call.stopped)
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
        """Connect, or try again for a while: an upstream may just be starting."""
        until_ms = self._clock.read_monotonic() + CONNECT_RETRY_MS
        while True:
            try:
                return await self._pool.connect()
            except _NOT_CONNECTED:
                if self._clock.read_monotonic() >= until_ms:
                    raise
            await asyncio.sleep(CONNECT_PAUSE_MS / 1000)

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


@functools.lru_cache(maxsize=CACHED_PATHS)
def _build_path(service: str) -> str:
    return "/" + urllib.parse.quote(service, safe="")


def _add_headers(headers: multidict.CIMultiDict[str], run: executor.RunTask) -> None:
    headers["Content-Type"] = run.content_type
    headers[SUBMISSION_HEADER] = run.submission
    headers[TASK_HEADER] = str(run.index)
    if run.traceparent:
        headers["traceparent"] = run.traceparent
