"""Calls of an upstream over HTTP."""

import aiohttp

from amaranthspar import clock, doubts, executor, messages

SUBMISSION_HEADER = "Amaranthspar-Submission"
TASK_HEADER = "Amaranthspar-Task"


class Upstream:
    """HTTP client of one upstream.

    Args:
        address: Address of the upstream's HTTP server.
        connections: Connections that may be open at once.
    """

    def __init__(self, address: str, connections: int) -> None:
        self._address = address
        self._clock = clock.Clock()
        connector = aiohttp.TCPConnector(limit=connections, keepalive_timeout=60)
        self._session = aiohttp.ClientSession(connector=connector)

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def call(self, run: executor.RunTask) -> messages.TaskResult:
        """Run one task.

        Args:
            run: Task to run.

        Returns:
            Its result; a failure to get a whole answer is ``unknown``.
        """
        headers = {
            "Content-Type": run.content_type,
            SUBMISSION_HEADER: run.submission,
            TASK_HEADER: str(run.index),
        }
        if run.traceparent:
            headers["traceparent"] = run.traceparent
        started_ms = self._clock.read_monotonic()
        timeout = aiohttp.ClientTimeout(total=run.timeout_ms / 1000)
        url = f"http://{self._address}/{run.service}"
        try:
            async with self._session.post(
                url, data=run.payload, headers=headers, timeout=timeout
            ) as response:
                body = await response.read()
                content_type = response.headers.get("Content-Type", "")
                status = response.status
        except (TimeoutError, aiohttp.ClientError) as error:
            reason = f"upstream: {type(error).__name__}"
            return messages.TaskResult(run.submission, run.index, "unknown", reason)
        return messages.TaskResult(
            run.submission,
            run.index,
            "done",
            status=status,
            content_type=content_type,
            body=body,
            digest=doubts.digest_body(body),
            run_ms=self._clock.read_monotonic() - started_ms,
        )
