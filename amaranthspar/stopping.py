"""Signals that request a graceful shutdown."""

import asyncio
import signal
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
