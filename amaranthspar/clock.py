"""Time in whole milliseconds."""

import time

# Counts the time for which the host was suspended, as a lease must.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock:
    """Reads the monotonic and the wall clock of this host in ms."""

    def read_monotonic(self) -> int:
        """Return the monotonic clock in ms."""
        return time.clock_gettime_ns(_BOOT_CLOCK) // 1_000_000

    def read_wall(self) -> int:
        """Return the time since 1970 in ms."""
        return time.time_ns() // 1_000_000
