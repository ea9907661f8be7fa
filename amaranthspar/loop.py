"""The one event loop of a process."""

import asyncio
import os
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


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
