"""Time in fractions of a ms, for measurements finer than the product's clock."""

import time


def read_ms() -> float:
    """Return the monotonic clock in ms; it is the same in all processes."""
    return time.monotonic_ns() / 1_000_000
