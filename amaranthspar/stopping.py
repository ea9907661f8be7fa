"""Signals that ask a process to stop."""

import asyncio
import signal
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def watch_signals() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set.

    A second signal changes nothing: a planned stop cuts off no request. The first one
    has both ignored until the process has exited, since a closed loop or an ending
    interpreter would put the default back, by which a signal kills the process.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()

    def stop(_number: int, _frame: FrameType | None) -> None:
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        loop.call_soon_threadsafe(stopping.set)

    for number in STOP_SIGNALS:
        signal.signal(number, stop)
    return stopping
