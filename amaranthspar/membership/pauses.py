"""Pauses of this process, in which requests wait unread."""

MAX_PAUSE_MS = 250
"""Longest time between two steps of the loop that counts as none."""
DOUBT_MS = 1_000
"""Time after a pause in which a request just read may have waited through it."""


class PauseWatch:
    """Tells whether a request that was just read may have waited for long.

    A host that stands still, or a process that does, reads afterwards what has arrived
    meanwhile; nothing in a request tells its age.

    Args:
        now_ms: Monotonic time in ms, which includes the time in which the host slept.
    """

    def __init__(self, now_ms: int) -> None:
        self._progress_ms = now_ms
        self._resumed_ms = now_ms - DOUBT_MS

    def record_progress(self, now_ms: int) -> int:
        """Record a step of the loop.

        Args:
            now_ms: Monotonic time in ms.

        Returns:
            Length in ms of the pause that ends here; 0 for none.
        """
        pause_ms = now_ms - self._progress_ms
        self._progress_ms = now_ms
        if pause_ms <= MAX_PAUSE_MS:
            return 0
        self._resumed_ms = now_ms
        return pause_ms

    def may_have_waited(self, now_ms: int) -> bool:
        """Return whether a request read now may have waited through a pause.

        The loop may read requests before it takes its first step after the pause.

        Args:
            now_ms: Monotonic time in ms.
        """
        is_late = now_ms - self._progress_ms > MAX_PAUSE_MS
        return is_late or now_ms - self._resumed_ms < DOUBT_MS
