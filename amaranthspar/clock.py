"""Time in whole milliseconds."""

import time


class Clock:
    """Reads the monotonic and the wall clock of this host in ms."""

    def read_monotonic(self) -> int:
        """Return the monotonic clock in ms."""
        return time.monotonic_ns() // 1_000_000

    def read_wall(self) -> int:
        """Return the time since 1970 in ms."""
        return time.time_ns() // 1_000_000
