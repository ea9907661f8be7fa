"""Writes the changes of one replica to its data folder and repeats failed writes."""

import asyncio
import concurrent.futures
from collections.abc import Callable

import structlog

from amaranthspar import clock, errors
from amaranthspar.consensus import transitions
from amaranthspar.storage import disk

RETRY_MS = 100
"""Pause after a failed write or a failed opening before it is repeated."""
REPORT_MS = 10_000
"""Shortest interval between two log lines on the same outage of a data folder."""

Change = transitions.Persist | transitions.SaveSnapshot

_log = structlog.get_logger()


class Outage:
    """Logs the beginning, the course and the end of an outage of a data folder.

    Args:
        name: Process name.

    Attributes:
        failures: Number of failed attempts since the start of the process.
        is_active: Whether the newest attempt failed.
    """

    def __init__(self, name: str) -> None:
        self.failures = 0
        self.is_active = False
        self._name = name
        self._clock = clock.Clock()
        self._since_ms = 0
        self._reported_ms = 0
        self._attempts = 0

    def record_failure(self, error: errors.DiskError) -> None:
        """Record a failed attempt.

        Args:
            error: Reason of the failure.
        """
        now_ms = self._clock.read_monotonic()
        self.failures += 1
        if not self.is_active:
            self.is_active = True
            self._since_ms = now_ms
            self._attempts = 0
        self._attempts += 1
        if self._attempts == 1 or now_ms - self._reported_ms >= REPORT_MS:
            self._reported_ms = now_ms
            _log.error(
                "data folder failed",
                name=self._name,
                error=str(error),
                attempts=self._attempts,
                failing_ms=now_ms - self._since_ms,
            )

    def record_success(self) -> None:
        """Record an attempt that succeeded."""
        if not self.is_active:
            return
        self.is_active = False
        _log.warning(
            "data folder works again",
            name=self._name,
            attempts=self._attempts,
            failing_ms=self._clock.read_monotonic() - self._since_ms,
        )


class DiskWriter:
    """Writes changes in order, in a thread, and confirms what is synced.

    A write that the disk refuses is repeated until it succeeds, with the changes that
    have come since. Until then nothing after it is confirmed, so that the replica
    takes part without counting as a copy.

    Args:
        folder: Data folder.
        outage: Log of the failures.
        confirm: Called with the number of the last change on disk.
        fail: Called once, with the reason, if writing has ended for good.
    """

    def __init__(
        self,
        folder: disk.Folder,
        outage: Outage,
        confirm: Callable[[int], None],
        fail: Callable[[errors.DiskError], None],
    ) -> None:
        self._folder = folder
        self._outage = outage
        self._confirm = confirm
        self._fail = fail
        self._executor = concurrent.futures.ThreadPoolExecutor(1)
        self._pending: list[Change] = []
        self._is_busy = False
        self._is_repeating = False
        self._is_closed = False
        self._retry: asyncio.TimerHandle | None = None

    def add(self, change: Change) -> None:
        """Write a change after all earlier ones.

        Args:
            change: Change that consensus has issued.
        """
        self._pending.append(change)
        if not self._is_busy:
            self._start()

    def close(self) -> None:
        """Wait for the write in progress and start no other."""
        self._is_closed = True
        if self._retry is not None:
            self._retry.cancel()
        self._executor.shutdown(wait=True)

    def _start(self) -> None:
        self._is_busy = True
        self._retry = None
        batch = list(self._pending)
        if self._is_repeating:
            # One change alone tells whether the disk works, however much waits.
            self._pending = drop_superseded(self._pending)
            batch = self._pending[:1]
        loop = asyncio.get_running_loop()
        future = loop.run_in_executor(self._executor, self._folder.write, batch)
        future.add_done_callback(lambda done: self._finish(done, batch))

    def _finish(self, done: "asyncio.Future[None]", batch: list[Change]) -> None:
        if self._is_closed:
            return
        error = done.exception()
        if isinstance(error, errors.DiskError):
            self._outage.record_failure(error)
            self._is_repeating = True
            loop = asyncio.get_running_loop()
            self._retry = loop.call_later(RETRY_MS / 1000, self._start)
            return
        if error is not None:
            # It is unknown what was written, so that nothing can follow it.
            failure = errors.DiskError(f"unexpected error of a write: {error!r}")
            failure.__cause__ = error
            self._fail(failure)
            return
        del self._pending[: len(batch)]
        if not self._pending or not self._is_repeating:
            self._outage.record_success()
        self._is_repeating = False
        self._is_busy = False
        self._confirm(batch[-1].number)
        if self._pending and not self._is_busy and not self._is_closed:
            self._start()


def drop_superseded(changes: list[Change]) -> list[Change]:
    """Return the changes from the last snapshot on, which holds all earlier ones.

    This bounds what waits during a long outage.

    Args:
        changes: Changes in order.
    """
    snapshots = [
        position
        for position, change in enumerate(changes)
        if isinstance(change, transitions.SaveSnapshot)
    ]
    return changes[snapshots[-1] :] if snapshots else changes
