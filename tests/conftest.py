"""Fixtures that several test modules share."""

from collections.abc import Iterator

import pytest
import structlog

from tests import builders_shell


@pytest.fixture(autouse=True)
def reset_logs() -> Iterator[None]:
    """Take back the logs that a command of a test set up on its own output."""
    yield
    structlog.reset_defaults()


@pytest.fixture(scope="session")
def served() -> Iterator[builders_shell.ServedDemo]:
    running = builders_shell.ServedDemo()
    try:
        running.wait_ready()
        yield running
    finally:
        assert running.stop() == 0
        assert builders_shell.TOKEN not in builders_shell.read_output(running.process)
