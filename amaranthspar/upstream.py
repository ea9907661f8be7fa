"""Calls of an upstream over HTTP."""

import asyncio
import contextvars

import aiohttp
import attrs

from amaranthspar import clock, doubts, executor, messages, worker

SUBMISSION_HEADER = "Amaranthspar-Submission"
TASK_HEADER = "Amaranthspar-Task"
MAX_BODY_BYTES = 8 * 1024 * 1024
READ_BYTES = 256 * 1024
KEEP_ALIVE_S = 1
CONNECT_RETRY_MS = 250
CONNECT_PAUSE_MS = 50
STOP_GRACE_MS = 200

_NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class BodyTooLargeError(aiohttp.ClientError):
    """An upstream's body is larger than a result may be."""


@attrs.define(slots=True, eq=False)
class _Call:
    """A call that goes on."""

    run: executor.RunTask
    transport: asyncio.Transport | None = None
    stopped: bool = False
    task: asyncio.Task[messages.TaskResult] | None = None
    kill: asyncio.Task[bool] | None = None


_current: contextvars.ContextVar[_Call] = contextvars.ContextVar("call")


class _Connector(aiohttp.TCPConnector):
    """Notes on which connection a call goes out."""

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        connection = await super().connect(req, traces, timeout)
        _current.get().transport = connection.transport
        return connection


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
        self._address = address
        self._platform = platform
        self._clock = clock.Clock()
        self._calls: dict[tuple[str, int], _Call] = {}
        self._kills: set[asyncio.Task[bool]] = set()
        self._session = aiohttp.ClientSession(
            connector=_Connector(limit=connections, keepalive_timeout=KEEP_ALIVE_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent",),
            headers={"Accept-Encoding": "identity"},
        )

    async def close(self) -> None:
        """Close every connection."""
        for kill in self._kills:
            kill.cancel()
        await self._session.close()

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
        _current.set(call)
        try:
            return await self._request(call)
        except _NOT_CONNECTED as error:
            reason = f"upstream: {type(error).__name__}"
            return messages.TaskResult(*name, "not-run", reason)
        except (TimeoutError, aiohttp.ClientError, RuntimeError) as error:
            reason = f"upstream: {type(error).__name__}"
            if call.stopped:
                reason = "cancelled"
            await self._make_sure(call, call.stopped or isinstance(error, TimeoutError))
            return messages.TaskResult(*name, "unknown", reason)
        except asyncio.CancelledError:
            if call.transport is None:
                return messages.TaskResult(*name, "not-run", "cancelled")
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
        if self._platform is None:
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
        until_ms = self._clock.read_monotonic() + CONNECT_RETRY_MS
        while True:
            try:
                return await self._post(call)
            except _NOT_CONNECTED:
                if self._clock.read_monotonic() >= until_ms:
                    raise
            await asyncio.sleep(CONNECT_PAUSE_MS / 1000)

    async def _post(self, call: _Call) -> messages.TaskResult:
        run = call.run
        started_ms = self._clock.read_monotonic()
        async with self._session.post(
            f"http://{self._address}/{run.service}",
            data=run.payload,
            headers=_build_headers(run),
            timeout=aiohttp.ClientTimeout(
                total=run.timeout_ms / 1000, sock_connect=CONNECT_RETRY_MS / 1000
            ),
            allow_redirects=False,
        ) as response:
            body = await _read_body(response)
            if call.stopped:
                response.close()
        return messages.TaskResult(
            run.submission,
            run.index,
            "done",
            status=response.status,
            content_type=response.headers.get("Content-Type", ""),
            body=body,
            digest=doubts.digest_body(body),
            run_ms=self._clock.read_monotonic() - started_ms,
        )


def _build_headers(run: executor.RunTask) -> dict[str, str]:
    headers = {
        "Content-Type": run.content_type,
        SUBMISSION_HEADER: run.submission,
        TASK_HEADER: str(run.index),
    }
    if run.traceparent:
        headers["traceparent"] = run.traceparent
    return headers


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the whole body.

    Raises:
        BodyTooLargeError: The body is larger than a result may be.
        aiohttp.ClientError: The body ended early.
    """
    length = response.content_length or 0
    if length > MAX_BODY_BYTES:
        raise BodyTooLargeError(f"body of {length} bytes")
    if 0 < length <= READ_BYTES:
        return await response.read()
    body = bytearray()
    while chunk := await response.content.read(READ_BYTES):
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise BodyTooLargeError(f"body of more than {MAX_BODY_BYTES} bytes")
    return bytes(body)
