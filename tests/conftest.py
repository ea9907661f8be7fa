"""Fixtures that several test modules share."""

from collections.abc import Iterator

import pytest

from tests import builders_shell


@pytest.fixture(scope="session")
def served() -> Iterator[builders_shell.Served]:
    running = builders_shell.Served()
    try:
        running.wait_ready()
        yield running
    finally:
        assert running.stop() == 0
        assert builders_shell.TOKEN not in builders_shell.read_output(running.process)
