"""Monotonic time in fractions of a ms, which is finer than the product's clock."""

import time


def read_ms() -> float:
    """Return the monotonic time in ms, which is the same in all processes."""
    return time.monotonic_ns() / 1_000_000
