"""HTTP client of the platform, which stops tasks on one worker."""

import asyncio
import urllib.parse

import aiohttp

from amaranthspar import clock

REQUEST_TIMEOUT_MS = 500
RETRY_INTERVAL_MS = 250
STOP_TIMEOUT_MS = 5000
NOT_FOUND_STATUS = 404


class WorkerClient:
    """Client of the platform's interface that stops tasks on a worker.

    Args:
        address: Address of the platform's HTTP server.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._clock = clock.Clock()
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_MS / 1000)
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def stop_task(self, submission: str, index: int) -> bool:
        """Have a task stopped, with retries until the platform confirms it.

        Args:
            submission: Submission id.
            index: Position of the task in the submission.

        Returns:
            Whether the platform confirmed that the task does not run; false if it did
            not within 5 s.
        """
        quoted = urllib.parse.quote(submission, safe="")
        url = f"http://{self._address}/tasks/{quoted}/{index}/stop"
        until_ms = self._clock.read_monotonic() + STOP_TIMEOUT_MS
        while not await self._post(url):
            if self._clock.read_monotonic() >= until_ms:
                return False
            await asyncio.sleep(RETRY_INTERVAL_MS / 1000)
        return True

    async def _post(self, url: str) -> bool:
        try:
            async with self._session.post(url) as response:
                return response.ok or response.status == NOT_FOUND_STATUS
        except (aiohttp.ClientError, TimeoutError):
            return False
