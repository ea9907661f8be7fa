"""Event loop of a process and work that is repeated on it."""

import asyncio
import os
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import structlog

from amaranthspar import clock

LATE_WARNING_MS = 250
"""Lateness of repeated work that is logged.

It equals the interval at which logs are written, so that there are at most as many of
these lines as flushes.
"""

Result = TypeVar("Result")

_log = structlog.get_logger()


def run_loop(main_coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on a uvloop event loop without io_uring.

    Args:
        main_coroutine: Coroutine to run.

    Returns:
        Result of the coroutine.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main_coroutine)


async def repeat(
    interval_ms: int,
    action: Callable[[], None],
    record_lateness: Callable[[int], None] | None = None,
) -> None:
    """Call a function at an interval until cancelled.

    An unexpected error is logged and ends neither the process nor the repetition: a
    process without its periodic work would only appear to run. Lateness shows how far
    the loop is behind its work, or for how long the process was suspended.

    Args:
        interval_ms: Pause between two calls in ms.
        action: Function to call.
        record_lateness: Called before each call with its lateness in ms.
    """
    time = clock.Clock()
    while True:
        due_ms = time.read_monotonic() + interval_ms
        await asyncio.sleep(interval_ms / 1000)
        late_ms = max(time.read_monotonic() - due_ms, 0)
        if late_ms >= LATE_WARNING_MS:
            _log.warning("loop held up", work=action.__qualname__, late_ms=late_ms)
        if record_lateness is not None:
            record_lateness(late_ms)
        try:
            action()
        except Exception:
            _log.exception("repeated work failed", work=action.__qualname__)
