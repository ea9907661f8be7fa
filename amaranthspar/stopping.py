"""Signals that ask a process to stop."""

import asyncio
import signal


def watch_signals() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set.

    A second signal changes nothing: a planned stop cuts off no request.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    return stopping
