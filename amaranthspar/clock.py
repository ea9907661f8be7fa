"""Clocks in whole milliseconds."""

import time

# Includes the time for which the host was suspended, which a lease must count.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock:
    """Reads the monotonic and the wall clock of the host in ms."""

    def read_monotonic(self) -> int:
        """Return the monotonic time in ms."""
        return time.clock_gettime_ns(_BOOT_CLOCK) // 1_000_000

    def read_wall(self) -> int:
        """Return the time since 1970 (Unix time) in ms."""
        return time.time_ns() // 1_000_000
