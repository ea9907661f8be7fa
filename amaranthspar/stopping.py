"""Signals that request a graceful shutdown."""

import asyncio
import signal
from collections.abc import Coroutine
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def watch_signals() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set.

    A second signal has no effect, because a planned stop must not interrupt requests.
    After the first signal, both are ignored until the process has exited: when the loop
    is closed or the interpreter ends, the default handler, which kills the process,
    would otherwise be restored.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()

    def request_stop(_number: int, _frame: FrameType | None) -> None:
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        loop.call_soon_threadsafe(stop_requested.set)

    for number in STOP_SIGNALS:
        signal.signal(number, request_stop)
    return stop_requested


async def run_unless_stopped(
    work: Coroutine[None, None, None], stop: asyncio.Event
) -> bool:
    """Run work to its end, or cancel it when a shutdown is requested.

    Args:
        work: Work that may wait for long.
        stop: Event of `watch_signals`.

    Returns:
        Whether the work has ended.
    """
    working = asyncio.ensure_future(work)
    waiting = asyncio.ensure_future(stop.wait())
    await asyncio.wait([working, waiting], return_when=asyncio.FIRST_COMPLETED)
    waiting.cancel()
    if not working.done():
        working.cancel()
        return False
    await working
    return True
