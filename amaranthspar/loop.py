"""The one event loop of a process."""

import asyncio
import os
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import structlog

from amaranthspar import clock

HELD_UP_MS = 250
"""Lateness of repeated work from which a log line tells of it: the interval in which logs
are written, so that at most as many lines come as flushes."""

Result = TypeVar("Result")

_log = structlog.get_logger()


def run_loop(main_coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on a uvloop without io_uring.

    Args:
        main_coroutine: What to run.

    Returns:
        What it returned.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main_coroutine)


async def repeat(
    interval_ms: int,
    act: Callable[[], None],
    note_late: Callable[[int], None] | None = None,
) -> None:
    """Do something at an interval for ever.

    An unexpected error is logged and ends neither the process nor the repetition: a
    process without its clock would go on in appearance only. Lateness tells how far the
    loop is behind its work, or for how long the process stood still.

    Args:
        interval_ms: Pause between two times in ms.
        act: What is done.
        note_late: Called before with the lateness in ms.
    """
    time = clock.Clock()
    while True:
        due_ms = time.read_monotonic() + interval_ms
        await asyncio.sleep(interval_ms / 1000)
        late_ms = max(time.read_monotonic() - due_ms, 0)
        if late_ms >= HELD_UP_MS:
            _log.warning("loop held up", work=act.__qualname__, late_ms=late_ms)
        if note_late is not None:
            note_late(late_ms)
        try:
            act()
        except Exception:
            _log.exception("repeated work failed", work=act.__qualname__)
