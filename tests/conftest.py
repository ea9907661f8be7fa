"""Fixtures that are shared by several test modules."""

from collections.abc import Iterator

import pytest
import structlog

from tests import builders_shell


@pytest.fixture(autouse=True)
def reset_logs() -> Iterator[None]:
    """Undo the logging setup of commands that a test runs in its own process."""
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
