"""Tests of functions that the event loop calls at an interval."""

import asyncio
import time

import structlog

from amaranthspar import loop as loops


def test_error_in_repeated_call_is_logged_and_repetition_continues():
    done = []

    def act() -> None:
        done.append(len(done))
        if len(done) == 2:
            raise RuntimeError("unexpected")

    async def run() -> None:
        task = asyncio.get_running_loop().create_task(loops.repeat(1, act))
        async with asyncio.timeout(10):
            while len(done) < 5:
                await asyncio.sleep(0.001)
        task.cancel()

    with structlog.testing.capture_logs() as lines:
        asyncio.run(run())
    (line,) = lines
    assert line["event"] == "repeated work failed"
    assert "act" in line["work"]


def test_late_call_is_logged_and_its_lateness_recorded():
    late = []

    async def run():
        task = asyncio.get_running_loop().create_task(loops.repeat(1, int, late.append))
        await asyncio.sleep(0.01)
        time.sleep((loops.LATE_WARNING_MS + 50) / 1000)
        await asyncio.sleep(0.01)
        task.cancel()

    with structlog.testing.capture_logs() as lines:
        asyncio.run(run())

    assert max(late) >= loops.LATE_WARNING_MS
    assert [line["event"] for line in lines if line["late_ms"] >= loops.LATE_WARNING_MS]
